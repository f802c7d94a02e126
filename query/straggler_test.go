package query

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// applySetting changes one setting of the test service.
func (b *testEngine) applySetting(t *testing.T, key, value string) {
	t.Helper()
	b.Engine.board.Tree.Update(func(old *tree.Tree) *tree.Tree {
		next, err := old.Apply(tree.Change{N: old.ChangeNumber + 1, ID: "c", Author: "a", Reason: "r", Ops: []tree.Op{{Path: "saltlade", Key: key, After: []byte(value)}}})
		require.NoError(t, err)
		return next
	})
}

func TestLateSubRequestIsHedgedAndCancelled(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		b.keepers.targets["t2"].late = true
		a := b.runQuery(t, "salt")
		require.True(t, completeFor(a, "salt"))
		require.Equal(t, 2, a.SubRequests.Hedges)
		require.Eventually(t, func() bool {
			b.keepers.mu.Lock()
			defer b.keepers.mu.Unlock()
			return len(b.keepers.dropped) == 1 && b.keepers.dropped[0].Targets[0] == "t2"
		}, time.Minute, time.Millisecond)
	})
}

func TestHedgesStayWithinBudget(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		b.keepers.targets["t2"].late = true
		s := b.statsOf(testService)
		s.hedgeBudget.tokens = urgentReserve + 1
		b.keepers.onAsk = func(_ wire.Ask, asked int) {
			if asked == 2 {
				b.keepers.release("t2")
			}
		}
		a := b.runQuery(t, "salt")
		require.True(t, completeFor(a, "salt"))
		require.Equal(t, 1, a.SubRequests.Hedges)
	})
}

func TestHedgeSettingDisablesHedges(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		b.applySetting(t, "hedge", "1")
		b.keepers.targets["t2"].late = true
		b.keepers.release("t2")
		a := b.runQuery(t, "salt")
		require.True(t, completeFor(a, "salt"))
		require.Zero(t, a.SubRequests.Hedges)
	})
}

func TestBudgetEarnsLessWhileTargetsShed(t *testing.T) {
	now := time.Unix(1000, 0)
	calm, shedding := newServiceStats(now), newServiceStats(now)
	for range 20 {
		shedding.recordResults(now, []wire.Result{{Target: "t0", Fault: fault.New(fault.Overload, "t0 sheds load")}}, time.Millisecond)
	}
	for _, s := range []*serviceStats{calm, shedding} {
		s.hedgeBudget.tokens = 0
		s.earnBudgets(100, 0.05)
	}
	require.True(t, calm.hedgeBudget.spend(now, 0))
	require.False(t, shedding.hedgeBudget.spend(now, 0))
}

func TestPausedKeeperCostsNoCoverage(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for _, name := range []string{"t0", "t2"} {
			b.keepers.targets[name].late = true
		}
		a := b.runQuery(t, "salt")
		require.True(t, completeFor(a, "salt"))
		require.Zero(t, a.SubRequests.Retries)
	})
}

func TestUnreachableKeeperCostsOneRetryPerTarget(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		ask := b.Engine.ask
		b.Engine.ask = func(ctx context.Context, m wire.Member, q wire.Ask) (wire.AskReply, error) {
			if m.Datacentre == "aarhus" {
				return wire.AskReply{}, errors.New("connection refused")
			}
			return ask(ctx, m, q)
		}
		a := b.runQuery(t, "salt")
		require.True(t, completeFor(a, "salt"))
		require.Equal(t, 2, a.SubRequests.Retries)
		require.Zero(t, a.SubRequests.Hedges)
	})
}

func TestPreferLatencyAnswersAtTailTimeout(t *testing.T) {
	for _, prefer := range []tree.Preference{tree.PreferLatency, tree.PreferCoverage} {
		withTestEngine(t, func(b *testEngine) {
			b.applySetting(t, "prefer", fmt.Sprintf("%q", prefer))
			for _, r := range b.keepers.targets {
				r.late = true
			}
			b.keepers.targets["t0"].late = false
			start := b.Engine.clock.Now()
			answers := make(chan *Answer)
			go func() { answers <- b.runQuery(t, "feed") }()
			<-b.keepers.awaitedAsks
			<-b.keepers.awaitedAsks
			v := b.Engine.board.Tree.Load().ForService("jylland", testService)
			b.manualClock.Advance(v.Tail.D())
			if prefer == tree.PreferCoverage {
				b.keepers.release(allTargets...)
			}
			a := <-answers
			requireConsistent(t, a, shardCount)
			require.Equal(t, prefer == tree.PreferCoverage, len(a.Missing) == 0)
			require.Equal(t, v.Tail.D(), b.Engine.clock.Since(start))
		})
	}
}

// TestAnswerDoesNotWaitWhenNothingIsInFlight checks that a query whose replicas have all failed returns before its deadline:
// the clock stands still.
func TestAnswerDoesNotWaitWhenNothingIsInFlight(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for name, r := range b.keepers.targets {
			r.fault = noReplicaFault(name)
		}
		a := b.runQuery(t, "salt")
		require.Len(t, a.Missing, shardCount)
	})
}

func TestAskLeavesMarginBeforeDeadline(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		b.keepers.onAsk = func(q wire.Ask, _ int) {
			require.Less(t, q.Left, 100*time.Millisecond)
			require.LessOrEqual(t, q.Soft, q.Left)
			require.Equal(t, wire.Recall, q.Class)
		}
		_, err := b.Run(t.Context(), Request{Service: testService, Deadline: 100 * time.Millisecond, Class: wire.Recall})
		require.NoError(t, err)
	})
}

func TestSlowReplicaIsAvoidedAndTriedAgain(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		now := b.Engine.clock.Now()
		s := b.statsOf(testService)
		for range minSamples {
			s.recordResults(now, []wire.Result{{Target: "t0", Took: 5 * time.Millisecond}, {Target: "t1", Took: 5 * time.Millisecond}}, time.Second)
		}
		chosen := func() int {
			return b.newPlanner(s, testMap(1, 1, shardCount)).chooseReplica(0, nil).target
		}
		require.Equal(t, 0, chosen())
		s.recordAbandoned(now, "t0", 20*time.Millisecond)
		require.Equal(t, 1, chosen())
		b.SetPolicy(Policy{IgnoreLatency: true})
		require.Equal(t, 0, chosen(), "with the choice by latency disabled")
		b.SetPolicy(Policy{})
		b.manualClock.Advance(10 * halfLife)
		require.Equal(t, 1, chosen(), "time alone must not make the target preferred again")
		for _, name := range []string{"t1", "t2", "t3"} {
			b.keepers.targets[name].late = true
		}
		s.hedgeBudget.tokens = urgentReserve + 1
		done := make(chan *Answer, 1)
		go func() { done <- b.runQuery(t, "salt") }()
		require.Eventually(t, func() bool { return chosen() == 0 }, time.Minute, time.Millisecond, "the probe's reply must clear the slow mark")
		b.keepers.release("t1", "t2", "t3")
		a := <-done
		require.True(t, completeFor(a, "salt"))
		require.Equal(t, 1, a.SubRequests.Hedges, "one probe in addition to the other replica")
	})
}

func TestProbesOfSlowTargetsAreBounded(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		s := b.statsOf(testService)
		now := b.Engine.clock.Now()
		makeSlow := func() {
			for range minSamples {
				s.recordResults(now, []wire.Result{{Target: "t1", Took: time.Millisecond}}, time.Second)
			}
			s.penalize(b.Engine.clock.Now(), "t0", time.Second)
		}
		makeSlow()
		b.keepers.targets["t0"].late = true
		probes := 0
		for range 30 {
			probes += b.runQuery(t, "salt").SubRequests.Hedges
			b.manualClock.Advance(probePeriod / 10)
			makeSlow()
		}
		require.Equal(t, 2, probes, "one per period")
	})
}

func TestSlowTargetRecoversWithoutHedges(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		s := b.statsOf(testService)
		now := b.Engine.clock.Now()
		for range minSamples {
			s.recordResults(now, []wire.Result{{Target: "t0", Took: 5 * time.Millisecond}, {Target: "t1", Took: 5 * time.Millisecond}}, time.Second)
		}
		s.penalize(now, "t0", 20*time.Millisecond)
		b.applySetting(t, "hedge", "1")
		b.manualClock.Advance(probePeriod)
		require.Zero(t, b.runQuery(t, "salt").SubRequests.Hedges)
		b.manualClock.Advance(10 * halfLife)
		require.Equal(t, 0, b.newPlanner(s, testMap(1, 1, shardCount)).chooseReplica(0, nil).target)
	})
}

func TestQuantilesForgetOldSamples(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLatencyWindow(now)
	_, known := l.quantile(now, 0.95)
	require.False(t, known)
	for range minSamples {
		l.record(now, time.Second)
	}
	d, known := l.quantile(now, 0.95)
	require.True(t, known)
	require.InEpsilon(t, time.Second, d, 0.05)
	for range 3 {
		now = now.Add(rotationPeriod)
		for range minSamples {
			l.record(now, time.Millisecond)
		}
	}
	d, _ = l.quantile(now, 0.95)
	require.InEpsilon(t, time.Millisecond, d, 0.05)
}

func TestPartsOfUnknownShardsAreNotCounted(t *testing.T) {
	m := newMerger(testMap(1, 1, 2), newResultChecks())
	open := m.add([]int{0}, wire.Result{Target: "t0", Snapshot: snapshotAt(1, 1), Parts: []target.Part{target.NewPart(99, nil)}})
	require.Equal(t, []int{0}, open)
}

// TestUrgentReserveIsForVeryLateSubRequests checks that hedges of slightly late sub-requests don't use up the budget that
// hedges of very late ones need. It drives one attempt by hand.
func TestUrgentReserveIsForVeryLateSubRequests(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		b.keepers.targets["t2"].late = true
		b.statsOf(testService).hedgeBudget.tokens = urgentReserve / 2
		v := b.Engine.board.Tree.Load().ForService("jylland", testService)
		a := newAttempt(newExecution(b.Engine, Request{Service: testService}, v, time.Second, 0), testMap(1, 1, shardCount))
		a.hedgeDelay = 100 * time.Millisecond
		a.send(t.Context(), a.allShards(), firstPlan)
		a.handleReply(t.Context(), <-a.replies)
		require.Zero(t, a.counts.Hedges)
		b.manualClock.Advance(2 * a.hedgeDelay)
		a.onTimer(t.Context())
		require.Zero(t, a.counts.Hedges)
		b.manualClock.Advance(a.hedgeDelay)
		a.onTimer(t.Context())
		require.Equal(t, 2, a.counts.Hedges)
	})
}

func TestOverdueTargetIsAvoidedBeforeItsQueryEnds(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		s := b.statsOf(testService)
		now := b.Engine.clock.Now()
		for range minSamples {
			s.recordResults(now, []wire.Result{{Target: "t2", Took: 5 * time.Millisecond}, {Target: "t3", Took: 5 * time.Millisecond}}, time.Second)
		}
		s.hedgeBudget.tokens = 0
		b.applySetting(t, "deadline", `"30s"`)
		b.keepers.targets["t2"].late = true
		chosen := func() int {
			return b.newPlanner(s, testMap(1, 1, shardCount)).chooseReplica(2, nil).target
		}
		require.Equal(t, 2, chosen())
		done := make(chan *Answer, 1)
		go func() { done <- b.runQuery(t, "salt") }()
		<-b.keepers.awaitedAsks
		stop := b.runClock()
		require.Eventually(t, func() bool { return chosen() == 3 || len(done) > 0 }, time.Minute, time.Millisecond)
		require.Equal(t, 3, chosen())
		require.Empty(t, done, "the query has no budget for a hedge, so it must still wait for the target")
		b.keepers.release("t2")
		stop()
		require.True(t, completeFor(<-done, "salt"))
	})
}
