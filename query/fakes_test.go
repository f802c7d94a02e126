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

const testService = "dispatch"

// scriptedTarget defines the results that the fake keepers return for one target.
type scriptedTarget struct {
	// heldSnapshots, if set, are the only snapshots that the target holds. It refuses others and names the last one held.
	heldSnapshots []shard.Snapshot
	// answersFrom, if set, is the snapshot that the target answers from regardless of the one asked for.
	answersFrom shard.Snapshot
	fault       *fault.Error
	corrupt     bool
	// omitsLast omits the last shard, addsForeign adds a shard that was not asked for, repeatsParts sends each part twice.
	omitsLast, addsForeign, repeatsParts bool
	// late results are returned by askRest only, once the test has released the target.
	late bool
}

// fakeKeepers replaces all keepers. It answers immediately except for late targets.
type fakeKeepers struct {
	mu          sync.Mutex
	targets     map[string]*scriptedTarget
	lateResults map[string][]wire.Result
	askCount    int
	dropped     []wire.Drop
	onAsk       func(q wire.Ask, asked int)
	released    map[string]bool
	// releaseSignal is closed and replaced at each release.
	releaseSignal chan struct{}
	// awaitedAsks receives the id of an Ask each time the engine asks for its remaining results.
	awaitedAsks chan string
	// swappedReplies, if set, is used to swap the replies of the first two Asks.
	swappedReplies chan wire.AskReply
}

// payload returns the payload of shard n for a query on snapshot s.
func payload(query []byte, s shard.Snapshot, n int) string {
	return fmt.Sprintf("%s of shard %d at %d/%d", query, n, s.Map, s.Index)
}

func (k *fakeKeepers) ask(_ context.Context, _ wire.Member, q wire.Ask) (wire.AskReply, error) {
	r, asked := k.resultsOf(q)
	if k.onAsk != nil {
		k.onAsk(q, asked)
	}
	if k.swappedReplies == nil || asked > 2 {
		return r, nil
	}
	if asked == 1 {
		k.swappedReplies <- r
		return <-k.swappedReplies, nil
	}
	other := <-k.swappedReplies
	k.swappedReplies <- r
	return other, nil
}

// resultsOf counts an Ask and returns the reply to it, without the results of late targets.
func (k *fakeKeepers) resultsOf(q wire.Ask) (r wire.AskReply, asked int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.askCount++
	delete(k.lateResults, q.ID)
	for _, p := range q.Parts {
		script := k.targets[p.Target]
		if script.late {
			k.lateResults[q.ID] = append(k.lateResults[q.ID], script.result(q, p))
			continue
		}
		r.Results = append(r.Results, script.result(q, p))
	}
	r.ID, r.Pending = q.ID, len(k.lateResults[q.ID]) > 0
	return r, k.askCount
}

// release lets late targets reply.
func (k *fakeKeepers) release(targets ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range targets {
		k.released[t] = true
	}
	close(k.releaseSignal)
	k.releaseSignal = make(chan struct{})
}

func (k *fakeKeepers) askRest(ctx context.Context, _ wire.Member, r wire.Rest) (wire.AskReply, error) {
	k.awaitedAsks <- r.ID
	for {
		reply, changed := k.releasedResults(r.ID)
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

// releasedResults returns and removes the late results of an Ask that were released. The channel is closed at the next
// release.
func (k *fakeKeepers) releasedResults(id string) (r wire.AskReply, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept []wire.Result
	for _, result := range k.lateResults[id] {
		if k.released[result.Target] {
			r.Results = append(r.Results, result)
		} else {
			kept = append(kept, result)
		}
	}
	k.lateResults[id] = kept
	r.ID, r.Pending = id, len(kept) > 0
	return r, k.releaseSignal
}

func (k *fakeKeepers) dropParts(_ context.Context, _ wire.Member, d wire.Drop) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropped = append(k.dropped, d)
	return nil
}

func (s *scriptedTarget) result(q wire.Ask, p wire.Part) wire.Result {
	r := wire.Result{Target: p.Target, Fault: s.fault, Took: time.Millisecond}
	if s.fault != nil {
		return r
	}
	r.Snapshot = q.Snapshot
	if s.answersFrom != (shard.Snapshot{}) {
		r.Snapshot = s.answersFrom
	}
	if len(s.heldSnapshots) > 0 && !containsSnapshot(s.heldSnapshots, r.Snapshot) {
		return wire.Result{Target: p.Target, Newest: s.heldSnapshots[len(s.heldSnapshots)-1], Fault: fault.New(fault.Moved, "%s doesn't hold the snapshot", p.Target)}
	}
	shards := p.Shards
	if s.omitsLast {
		shards = shards[:len(shards)-1]
	}
	if s.addsForeign {
		r.Parts = append(r.Parts, target.NewPart((shards[0]+2)%shardCount, []byte("of another partition")))
	}
	for _, n := range shards {
		part := target.NewPart(n, []byte(payload(q.Payload, r.Snapshot, n)))
		if s.corrupt {
			part.Payload = []byte("broken")
		}
		r.Parts = append(r.Parts, part)
		if s.repeatsParts {
			r.Parts = append(r.Parts, part)
		}
	}
	return r
}

func containsSnapshot(all []shard.Snapshot, s shard.Snapshot) bool {
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

// testMap returns a shard map with replicas of shard s at targets s and s+1, which lie in different data centres.
func testMap(version, index uint64, shards int) *shard.Map {
	m := &shard.Map{Service: testService, Version: version, Index: index}
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

// testEngine is an engine with a manual clock and fake keepers.
type testEngine struct {
	*Engine
	keepers     *fakeKeepers
	manualClock *timer.ManualClock
}

// withTestEngine runs f with an engine that has version 1 of the shard map at version 1 of the index.
func withTestEngine(t *testing.T, f func(*testEngine)) {
	t.Helper()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "h1", Incarnation: 7}, Region: "jylland", Datacentre: "aarhus"})
	b.PutShardMap(testMap(1, 1, shardCount))
	k := &fakeKeepers{
		targets:       map[string]*scriptedTarget{},
		lateResults:   map[string][]wire.Result{},
		released:      map[string]bool{},
		releaseSignal: make(chan struct{}),
		awaitedAsks:   make(chan string, 100),
	}
	for _, name := range allTargets {
		k.targets[name] = &scriptedTarget{}
	}
	e := New(clock, b, keeper.NewClient("h1", nil, nil), zap.NewNop(), tally.NoopScope)
	e.ask, e.askRest, e.dropParts = k.ask, k.askRest, k.dropParts
	e.keeperTable = func() func(string) (wire.Member, bool) {
		return func(target string) (wire.Member, bool) {
			name := datacentreOf(target)
			return wire.Member{HostID: wire.HostID{Name: "keeper of " + name}, Datacentre: name, Region: "jylland"}, true
		}
	}
	f(&testEngine{Engine: e, keepers: k, manualClock: manual})
}

func (b *testEngine) runQuery(t *testing.T, text string) *Answer {
	t.Helper()
	a, err := b.Run(t.Context(), Request{Service: testService, Payload: []byte(text)})
	require.NoError(t, err)
	return a
}

// wrongParts returns the shards whose payload does not match the answer's snapshot and the query's text.
func wrongParts(a *Answer, text string) (wrong []int) {
	for s, p := range a.Parts {
		if string(p) != payload([]byte(text), a.Snapshot, s) {
			wrong = append(wrong, s)
		}
	}
	return wrong
}

// requireConsistent checks that each of the shards is either answered or missing with a reason, and that the coverage
// matches.
func requireConsistent(t *testing.T, a *Answer, shards int) {
	t.Helper()
	require.Equal(t, shards, a.ShardCount)
	require.Equal(t, shards, len(a.Parts)+len(a.Missing))
	require.InDelta(t, float64(len(a.Parts))/float64(shards), a.Coverage(), 1e-9)
	for _, m := range a.Missing {
		require.NotContains(t, a.Parts, m.Shard)
		require.NotEmpty(t, m.Reason)
	}
}
