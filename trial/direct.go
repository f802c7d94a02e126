package trial

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/bound"
	"kingcupcross/query"
	"kingcupcross/shard"
	"kingcupcross/target"
)

// directRunner implements the baseline policy without keepers: a host calls the targets itself, without hedges, retries
// or any limit other than its share of the targets' connections.
type directRunner struct {
	cluster    *Cluster
	host       *Host
	clients    []*target.Client
	queryCount atomic.Uint64
}

// directReplyMemory is the memory in bytes for the replies that a runner is receiving.
const directReplyMemory = 24 << 20

// newDirectRunner returns a runner that sends a host's queries; each target's connections are divided evenly among the hosts.
func newDirectRunner(s *Cluster, h *Host) *directRunner {
	d := &directRunner{cluster: s, host: h}
	memory := bound.NewMemory(directReplyMemory)
	for _, t := range s.Map.Targets {
		d.clients = append(d.clients, target.NewClient(t.Address, max(1, t.Conns/len(s.Hosts)), memory))
	}
	return d
}

// run sends a query to one replica of each shard and returns an answer with the parts that arrive before the deadline.
func (d *directRunner) run(ctx context.Context, r query.Request) (*query.Answer, error) {
	m := d.cluster.Map
	shardsByTarget := map[int][]int{}
	for s, replicas := range m.Shards {
		t := d.chooseReplica(m, s, replicas)
		shardsByTarget[t] = append(shardsByTarget[t], s)
	}
	a := &query.Answer{
		Snapshot:    m.Snapshot(),
		ShardCount:  len(m.Shards),
		Parts:       map[int][]byte{},
		SubRequests: query.SubRequestCounts{First: len(shardsByTarget)},
	}
	ctx, cancel := d.cluster.Clock.WithTimeout(ctx, queryDeadline)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	id := d.queryCount.Add(1)
	for t, shards := range shardsByTarget {
		group.Go(func() {
			reply, err := d.clients[t].Query(ctx, target.Query{
				ID:       fmt.Sprintf("%s/%d/%d", d.host.Board.Self.Name, id, t),
				Service:  Service,
				Snapshot: m.Snapshot(),
				Shards:   shards,
				Deadline: target.RemainingDeadline(queryDeadline),
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

// queryDeadline is the time allowed for every query.
const queryDeadline = 2 * time.Second

// chooseReplica returns the index of the target to query for a shard. It ranks replicas as the engine does: those in the host's own data centre first,
// those in a drained one last. Among replicas of equal rank, the choice depends on the shard's number.
func (d *directRunner) chooseReplica(m *shard.Map, shardIndex int, replicas []int) int {
	best, bestRank := replicas[0], -1
	for i := range replicas {
		t := replicas[(shardIndex+i)%len(replicas)]
		rank := 1
		if m.Targets[t].Datacentre == d.host.Board.Self.Datacentre {
			rank = 2
		}
		if d.host.Board.Tree.Load().DatacentreOut(regionOf(m.Targets[t].Datacentre), m.Targets[t].Datacentre) {
			rank = 0
		}
		if rank > bestRank {
			best, bestRank = t, rank
		}
	}
	return best
}

// regionOf returns the region of a data centre, "" if it isn't one of places.
func regionOf(datacentre string) string {
	for _, p := range places {
		if p.Datacentre == datacentre {
			return p.Region
		}
	}
	return ""
}
