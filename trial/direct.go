package trial

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/query"
	"kingcupcross/shard"
	"kingcupcross/target"
)

// direct is the baseline without keepers: a host calls each target itself, without limits besides its share of connections, hedges or retries.
type direct struct {
	site    *Site
	host    *Host
	clients []*target.Client
	serial  atomic.Uint64
}

func newDirect(s *Site, h *Host) *direct {
	d := &direct{site: s, host: h}
	for _, t := range s.Map.Targets {
		d.clients = append(d.clients, target.NewClient(t.Address, max(1, t.Conns/len(s.Hosts))))
	}
	return d
}

func (d *direct) run(ctx context.Context, r query.Request) (*query.Answer, error) {
	m := d.site.Map
	chosen := map[int][]int{}
	for s, replicas := range m.Shards {
		t := d.choose(m, s, replicas)
		chosen[t] = append(chosen[t], s)
	}
	a := &query.Answer{
		Snapshot: m.Snapshot(),
		Total:    len(m.Shards),
		Parts:    map[int][]byte{},
		Load:     query.Load{First: len(chosen)},
	}
	ctx, cancel := d.site.Clock.WithTimeout(ctx, deadline)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	id := d.serial.Add(1)
	for t, shards := range chosen {
		group.Go(func() {
			reply, err := d.clients[t].Query(ctx, target.Query{
				ID:       fmt.Sprintf("%s/%d/%d", d.host.Board.Self.Name, id, t),
				Service:  Service,
				Snapshot: m.Snapshot(),
				Shards:   shards,
				Deadline: target.RemainingDeadline(deadline),
				Payload:  r.Payload,
			})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, p := range reply.Parts {
				a.Parts[p.Shard] = p.Payload
			}
		})
	}
	group.Wait()
	return a, nil
}

// deadline is that of every query.
const deadline = 2 * time.Second

// choose prefers the own data centre and leaves out what is out, as the engine does.
func (d *direct) choose(m *shard.Map, s int, replicas []int) int {
	best, rank := replicas[0], -1
	for i := range replicas {
		t := replicas[(s+i)%len(replicas)]
		r := 1
		if m.Targets[t].Datacentre == d.host.Board.Self.Datacentre {
			r = 2
		}
		if d.host.Board.Tree.Load().DatacentreOut(regionOf(m.Targets[t].Datacentre), m.Targets[t].Datacentre) {
			r = 0
		}
		if r > rank {
			best, rank = t, r
		}
	}
	return best
}

func regionOf(datacentre string) string {
	for _, p := range places {
		if p.Datacentre == datacentre {
			return p.Region
		}
	}
	return ""
}
