package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const askService = "dispatch"

// controlledTarget is a target that answers a request when the test releases it, and ends it with an error when it is cancelled.
type controlledTarget struct {
	started   chan string
	release   chan struct{}
	cancelled chan string
	// stop is closed by a cancellation, unless ignoresCancel is set, and ends the running request.
	stop          chan struct{}
	ignoresCancel bool
}

// ServeHTTP serves queries and cancellations.
func (a *controlledTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == target.PathCancel {
		var c target.Cancel
		if json.NewDecoder(r.Body).Decode(&c) == nil {
			a.cancelled <- c.ID
			if !a.ignoresCancel {
				close(a.stop)
			}
		}
		return
	}
	var q target.Query
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	a.started <- q.ID
	select {
	case <-a.release:
	case <-a.stop:
		http.Error(w, "given up", http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	reply := target.Reply{ID: q.ID, Snapshot: q.Snapshot}
	for _, s := range q.Shards {
		reply.Parts = append(reply.Parts, target.NewPart(s, q.Payload))
	}
	json.NewEncoder(w).Encode(reply)
}

// withTargets runs f with a keeper of two targets: fast answers at once, and slow when the test releases it.
func withTargets(t *testing.T, f func(k *Keeper, slow *controlledTarget, manual *timer.ManualClock)) {
	t.Helper()
	fast := newControlledTarget()
	close(fast.release)
	slow := newControlledTarget()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "h1", Incarnation: 1}, Region: "jylland", Datacentre: "aarhus"})
	m := &shard.Map{Service: askService, Version: 1, Index: 1, Shards: [][]int{{0}, {1}}}
	for i, a := range []*controlledTarget{fast, slow} {
		server := httptest.NewServer(a)
		t.Cleanup(server.Close)
		m.Targets = append(m.Targets, shard.Target{
			Name:       []string{"fast", "slow"}[i],
			Address:    netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			Datacentre: "aarhus",
			Slots:      2,
			Conns:      4,
		})
	}
	b.PutShardMap(m)
	k := New(clock, b, zap.NewNop(), tally.NoopScope)
	k.KeepAssignedForTesting()
	f(k, slow, manual)
}

// newControlledTarget returns a target that has got no request yet.
func newControlledTarget() *controlledTarget {
	return &controlledTarget{
		started:   make(chan string, 10),
		release:   make(chan struct{}),
		cancelled: make(chan string, 10),
		stop:      make(chan struct{}),
	}
}

// testAsk returns an Ask with one part for each of the two targets.
func testAsk(id, payload string) wire.Ask {
	return wire.Ask{
		ID:       id,
		Service:  askService,
		Snapshot: shard.Snapshot{Map: 1, Index: 1},
		Left:     time.Minute,
		Soft:     board.PauseThreshold / 2,
		Payload:  []byte(payload),
		Parts:    []wire.Part{{Target: "fast", Shards: []int{0}}, {Target: "slow", Shards: []int{1}}},
	}
}

// askUntilSoftTime makes an Ask and lets the soft time pass once both targets have got their requests and the fast one has answered.
func askUntilSoftTime(t *testing.T, k *Keeper, slow *controlledTarget, manual *timer.ManualClock, q wire.Ask) wire.AskReply {
	t.Helper()
	replies := make(chan wire.AskReply)
	go func() { replies <- k.Ask(t.Context(), q) }()
	<-slow.started
	<-k.findAsk(q.ID).parts["fast"].ended.Done()
	manual.Advance(q.Soft)
	k.board.PauseDetector.Heartbeat()
	return <-replies
}

// TestSlowTargetDoesNotHoldUpTheOthers checks that Ask returns the fast target's result after the soft time and Rest the slow one's.
func TestSlowTargetDoesNotHoldUpTheOthers(t *testing.T) {
	withTargets(t, func(k *Keeper, slow *controlledTarget, manual *timer.ManualClock) {
		r := askUntilSoftTime(t, k, slow, manual, testAsk("q1", "salt"))
		require.True(t, r.Pending)
		require.Len(t, r.Results, 1)
		require.Equal(t, "fast", r.Results[0].Target)
		close(slow.release)
		r = k.Rest(t.Context(), wire.Rest{ID: "q1"})
		require.False(t, r.Pending)
		require.Equal(t, "slow", r.Results[0].Target)
		require.Nil(t, k.findAsk("q1"), "a finished Ask is unregistered")
	})
}

func TestDropCancelsAtTheTargetAndKeepsTheConnection(t *testing.T) {
	withTargets(t, func(k *Keeper, slow *controlledTarget, manual *timer.ManualClock) {
		askUntilSoftTime(t, k, slow, manual, testAsk("q1", "salt"))
		k.Drop(wire.Drop{ID: "q1", Targets: []string{"slow"}})
		require.Equal(t, "q1/slow", <-slow.cancelled)
		r := k.Rest(t.Context(), wire.Rest{ID: "q1"})
		require.NotNil(t, r.Results[0].Fault)
	})
}

func TestTargetThatIgnoresCancelLosesItsConnection(t *testing.T) {
	withTargets(t, func(k *Keeper, slow *controlledTarget, manual *timer.ManualClock) {
		slow.ignoresCancel = true
		askUntilSoftTime(t, k, slow, manual, testAsk("q1", "salt"))
		k.Drop(wire.Drop{ID: "q1"})
		<-slow.cancelled
		manual.Advance(cancelTimeout)
		r := k.Rest(t.Context(), wire.Rest{ID: "q1"})
		require.NotNil(t, r.Results[0].Fault)
	})
}

// TestAskIDInUseIsRefused guards against mixing two queries that use the same id: without the check, the first query's caller gets results of the second.
func TestAskIDInUseIsRefused(t *testing.T) {
	for _, reuse := range []bool{true, false} {
		withTargets(t, func(k *Keeper, slow *controlledTarget, manual *timer.ManualClock) {
			k.allowReusedIDs = reuse
			askUntilSoftTime(t, k, slow, manual, testAsk("q1", "salt"))
			if reuse {
				askUntilSoftTime(t, k, slow, manual, testAsk("q1", "feed"))
			} else {
				r := k.Ask(t.Context(), testAsk("q1", "feed"))
				require.True(t, fault.Is(r.Fault, fault.Conflict))
			}
			close(slow.release)
			r := k.Rest(context.Background(), wire.Rest{ID: "q1"})
			got := string(r.Results[0].Parts[0].Payload)
			require.Equal(t, reuse, got == "feed", "the first query got %q", got)
		})
	}
}

func TestUnfinishedPartsFailAtTheDeadline(t *testing.T) {
	withTargets(t, func(k *Keeper, slow *controlledTarget, manual *timer.ManualClock) {
		q := testAsk("q1", "salt")
		askUntilSoftTime(t, k, slow, manual, q)
		manual.Advance(q.Left - q.Soft)
		r := k.Rest(t.Context(), wire.Rest{ID: "q1"})
		require.False(t, r.Pending)
		require.NotNil(t, r.Results[0].Fault)
		manual.Advance(askRetention)
		require.Zero(t, len(k.pendingAsks))
	})
}

// TestRemainingTimesDoesNotRaceWithAcquire guards against a data race: a claim of another host reads the requests in flight while others start.
func TestRemainingTimesDoesNotRaceWithAcquire(t *testing.T) {
	withTargets(t, func(k *Keeper, _ *controlledTarget, _ *timer.ManualClock) {
		g, f := k.gateFor(askService, "fast")
		require.Nil(t, f)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range 20 {
				p, err := g.acquire(context.Background(), wire.Routine, k.clock.Now().Add(time.Second))
				if err != nil {
					continue
				}
				p.setRequestID("q")
				p.done(target.State{}, nil)
			}
		}()
		for reading := true; reading; {
			select {
			case <-ended:
				reading = false
			default:
			}
			g.mu.Lock()
			g.remainingTimes(k.clock.Now())
			g.mu.Unlock()
		}
	})
}
