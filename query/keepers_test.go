package query

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const service1 = "dispatch"

// replica scripts what the keepers bring of one target.
type replica struct {
	// holds are the snapshots that the target answers from; it refuses others and names the last.
	holds []shard.Snapshot
	// serves is a snapshot that the target answers from whatever it was asked for.
	serves  shard.Snapshot
	fault   *fault.Error
	corrupt bool
	// short leaves the last shard out, foreign adds a shard of another target, twice repeats each part.
	short, foreign, twice bool
	// late is brought by Rest only, once the test frees the target.
	late bool
}

// keepers stands for all keepers: it answers at once but for late targets.
type keepers struct {
	mu       sync.Mutex
	replicas map[string]*replica
	late     map[string][]wire.Result
	asked    int
	dropped  []wire.Drop
	onAsk    func(q wire.Ask, asked int)
	free     map[string]bool
	changed  chan struct{}
	// waiting gets the id of each Ask whose rest is waited for.
	waiting chan string
	// crossed swaps the replies of the first two Asks.
	crossed chan wire.AskReply
}

func payload(query []byte, s shard.Snapshot, n int) string {
	return fmt.Sprintf("%s of shard %d at %d/%d", query, n, s.Map, s.Index)
}

func (k *keepers) ask(_ context.Context, _ wire.Member, q wire.Ask) (wire.AskReply, error) {
	r, asked := k.begin(q)
	if k.onAsk != nil {
		k.onAsk(q, asked)
	}
	if k.crossed == nil || asked > 2 {
		return r, nil
	}
	if asked == 1 {
		k.crossed <- r
		return <-k.crossed, nil
	}
	other := <-k.crossed
	k.crossed <- r
	return other, nil
}

func (k *keepers) begin(q wire.Ask) (r wire.AskReply, asked int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked++
	delete(k.late, q.ID)
	for _, p := range q.Parts {
		script := k.replicas[p.Target]
		if script.late {
			k.late[q.ID] = append(k.late[q.ID], script.answer(q, p))
			continue
		}
		r.Results = append(r.Results, script.answer(q, p))
	}
	r.ID, r.Pending = q.ID, len(k.late[q.ID]) > 0
	return r, k.asked
}

// let frees late targets.
func (k *keepers) let(targets ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range targets {
		k.free[t] = true
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *keepers) rest(ctx context.Context, _ wire.Member, r wire.Rest) (wire.AskReply, error) {
	k.waiting <- r.ID
	for {
		reply, changed := k.freed(r.ID)
		if len(reply.Results) > 0 || !reply.Pending {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return wire.AskReply{}, ctx.Err()
		}
	}
}

func (k *keepers) freed(id string) (r wire.AskReply, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept []wire.Result
	for _, result := range k.late[id] {
		if k.free[result.Target] {
			r.Results = append(r.Results, result)
		} else {
			kept = append(kept, result)
		}
	}
	k.late[id] = kept
	r.ID, r.Pending = id, len(kept) > 0
	return r, k.changed
}

func (k *keepers) drop(_ context.Context, _ wire.Member, d wire.Drop) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropped = append(k.dropped, d)
	return nil
}

func (s *replica) answer(q wire.Ask, p wire.Part) wire.Result {
	r := wire.Result{Target: p.Target, Fault: s.fault, Took: time.Millisecond}
	if s.fault != nil {
		return r
	}
	r.Snapshot = q.Snapshot
	if s.serves != (shard.Snapshot{}) {
		r.Snapshot = s.serves
	}
	if len(s.holds) > 0 && !holds(s.holds, r.Snapshot) {
		return wire.Result{Target: p.Target, Newest: s.holds[len(s.holds)-1], Fault: fault.New(fault.Moved, "%s doesn't hold the snapshot", p.Target)}
	}
	shards := p.Shards
	if s.short {
		shards = shards[:len(shards)-1]
	}
	if s.foreign {
		r.Parts = append(r.Parts, target.NewPart((shards[0]+2)%shardCount, []byte("of another partition")))
	}
	for _, n := range shards {
		part := target.NewPart(n, []byte(payload(q.Payload, r.Snapshot, n)))
		if s.corrupt {
			part.Payload = []byte("broken")
		}
		r.Parts = append(r.Parts, part)
		if s.twice {
			r.Parts = append(r.Parts, part)
		}
	}
	return r
}

func holds(all []shard.Snapshot, s shard.Snapshot) bool {
	for _, h := range all {
		if h == s {
			return true
		}
	}
	return false
}

const (
	targetCount = 4
	shardCount  = 8
)

func datacentreOf(target string) string {
	if target == "t0" || target == "t2" {
		return "aarhus"
	}
	return "odense"
}

// testMap puts shard s on targets s and s+1, which lie in different data centres.
func testMap(version, index uint64, shards int) *shard.Map {
	m := &shard.Map{Service: service1, Version: version, Index: index}
	for t := range targetCount {
		m.Targets = append(m.Targets, shard.Target{
			Name:       allTargets[t],
			Address:    netip.MustParseAddrPort("127.0.0.1:1"),
			Datacentre: datacentreOf(allTargets[t]),
			Slots:      2,
			Conns:      2,
		})
	}
	for s := range shards {
		m.Shards = append(m.Shards, []int{s % targetCount, (s + 1) % targetCount})
	}
	return m
}

var allTargets = []string{"t0", "t1", "t2", "t3"}

// bench is an engine on a manual clock before scripted keepers.
type bench struct {
	*Engine
	keepers *keepers
	manual  *timer.ManualClock
}

// withEngine runs f with an engine whose map is at map 1 index 1.
func withEngine(t *testing.T, f func(*bench)) {
	t.Helper()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "h1", Incarnation: 7}, Region: "jylland", Datacentre: "aarhus"})
	b.PutShardMap(testMap(1, 1, shardCount))
	k := &keepers{
		replicas: map[string]*replica{},
		late:     map[string][]wire.Result{},
		free:     map[string]bool{},
		changed:  make(chan struct{}),
		waiting:  make(chan string, 100),
	}
	for _, name := range allTargets {
		k.replicas[name] = &replica{}
	}
	e := New(clock, b, keeper.NewClient("h1", nil, nil), zap.NewNop(), tally.NoopScope)
	e.ask, e.rest, e.drop = k.ask, k.rest, k.drop
	e.table = func() func(string) (wire.Member, bool) {
		return func(target string) (wire.Member, bool) {
			name := datacentreOf(target)
			return wire.Member{HostID: wire.HostID{Name: "keeper of " + name}, Datacentre: name, Region: "jylland"}, true
		}
	}
	f(&bench{Engine: e, keepers: k, manual: manual})
}

func (b *bench) query(t *testing.T, text string) *Answer {
	t.Helper()
	a, err := b.Run(t.Context(), Request{Service: service1, Payload: []byte(text)})
	require.NoError(t, err)
	return a
}

// violations returns the shards whose part is not of the answer's snapshot and request.
func violations(a *Answer, text string) (wrong []int) {
	for s, p := range a.Parts {
		if string(p) != payload([]byte(text), a.Snapshot, s) {
			wrong = append(wrong, s)
		}
	}
	return wrong
}

// requireTruthful checks the label against the map that the answer names and what a reachable replica could bring.
func requireTruthful(t *testing.T, a *Answer, shards int) {
	t.Helper()
	require.Equal(t, shards, a.Total)
	require.Equal(t, shards, len(a.Parts)+len(a.Missing))
	require.InDelta(t, float64(len(a.Parts))/float64(shards), a.Coverage(), 1e-9)
	for _, m := range a.Missing {
		require.NotContains(t, a.Parts, m.Shard)
		require.NotEmpty(t, m.Reason)
	}
}
