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

// set puts settings of the service in force.
func (b *bench) set(t *testing.T, key, value string) {
	t.Helper()
	b.Engine.board.Tree.Update(func(old *tree.Tree) *tree.Tree {
		next, err := old.Apply(tree.Change{N: old.ChangeNumber + 1, ID: "c", Author: "a", Reason: "r", Ops: []tree.Op{{Path: "saltlade", Key: key, After: []byte(value)}}})
		require.NoError(t, err)
		return next
	})
}

func TestLateTargetIsHedgedAndDropped(t *testing.T) {
	withEngine(t, func(b *bench) {
		b.keepers.replicas["t2"].late = true
		a := b.query(t, "salt")
		require.True(t, own(a, "salt"))
		require.Equal(t, 2, a.Load.Hedges)
		require.Eventually(t, func() bool {
			b.keepers.mu.Lock()
			defer b.keepers.mu.Unlock()
			return len(b.keepers.dropped) == 1 && b.keepers.dropped[0].Targets[0] == "t2"
		}, time.Minute, time.Millisecond)
	})
}

func TestHedgesKeepToTheBudget(t *testing.T) {
	withEngine(t, func(b *bench) {
		b.keepers.replicas["t2"].late = true
		s := b.service(service1)
		s.hedges.tokens = budgetReserve + 1
		b.keepers.onAsk = func(_ wire.Ask, asked int) {
			if asked == 2 {
				b.keepers.let("t2")
			}
		}
		a := b.query(t, "salt")
		require.True(t, own(a, "salt"))
		require.Equal(t, 1, a.Load.Hedges)
	})
}

func TestNoHedgesWhereTheSettingSaysSo(t *testing.T) {
	withEngine(t, func(b *bench) {
		b.set(t, "hedge", "1")
		b.keepers.replicas["t2"].late = true
		b.keepers.let("t2")
		a := b.query(t, "salt")
		require.True(t, own(a, "salt"))
		require.Zero(t, a.Load.Hedges)
	})
}

func TestBudgetEarnsLessWhereTargetsShed(t *testing.T) {
	now := time.Unix(1000, 0)
	calm, shedding := newService(now), newService(now)
	for range 20 {
		shedding.learn(now, []wire.Result{{Target: "t0", Fault: fault.New(fault.Overload, "t0 sheds load")}}, time.Millisecond)
	}
	for _, s := range []*service{calm, shedding} {
		s.hedges.tokens = 0
		s.planned(100, 0.05)
	}
	require.True(t, calm.hedges.spend(now, 0))
	require.False(t, shedding.hedges.spend(now, 0))
}

func TestPausedKeeperCostsNoCoverage(t *testing.T) {
	withEngine(t, func(b *bench) {
		for _, name := range []string{"t0", "t2"} {
			b.keepers.replicas[name].late = true
		}
		a := b.query(t, "salt")
		require.True(t, own(a, "salt"))
		require.Zero(t, a.Load.Retries)
	})
}

func TestDeadKeeperCostsOneRetry(t *testing.T) {
	withEngine(t, func(b *bench) {
		ask := b.Engine.ask
		b.Engine.ask = func(ctx context.Context, m wire.Member, q wire.Ask) (wire.AskReply, error) {
			if m.Datacentre == "aarhus" {
				return wire.AskReply{}, errors.New("connection refused")
			}
			return ask(ctx, m, q)
		}
		a := b.query(t, "salt")
		require.True(t, own(a, "salt"))
		require.Equal(t, 2, a.Load.Retries)
		require.Zero(t, a.Load.Hedges)
	})
}

func TestLatencyFirstAnswersAtTheTail(t *testing.T) {
	for _, prefer := range []tree.Preference{tree.PreferLatency, tree.PreferCoverage} {
		withEngine(t, func(b *bench) {
			b.set(t, "prefer", fmt.Sprintf("%q", prefer))
			for _, r := range b.keepers.replicas {
				r.late = true
			}
			b.keepers.replicas["t0"].late = false
			start := b.Engine.clock.Now()
			answers := make(chan *Answer)
			go func() { answers <- b.query(t, "feed") }()
			<-b.keepers.waiting
			<-b.keepers.waiting
			v := b.Engine.board.Tree.Load().ForService("jylland", service1)
			b.manual.Advance(v.Tail.D())
			if prefer == tree.PreferCoverage {
				b.keepers.let(allTargets...)
			}
			a := <-answers
			requireTruthful(t, a, shardCount)
			require.Equal(t, prefer == tree.PreferCoverage, len(a.Missing) == 0)
			require.Equal(t, v.Tail.D(), b.Engine.clock.Since(start))
		})
	}
}

// TestNothingIsHeldBack shows that the last word goes out without waiting for the deadline.
func TestNothingIsHeldBack(t *testing.T) {
	withEngine(t, func(b *bench) {
		for name, r := range b.keepers.replicas {
			r.fault = lost(name)
		}
		a := b.query(t, "salt")
		require.Len(t, a.Missing, shardCount)
	})
}

func TestDeadlineIsCutAtEachHop(t *testing.T) {
	withEngine(t, func(b *bench) {
		b.keepers.onAsk = func(q wire.Ask, _ int) {
			require.Less(t, q.Left, 100*time.Millisecond)
			require.LessOrEqual(t, q.Soft, q.Left)
			require.Equal(t, wire.Recall, q.Class)
		}
		_, err := b.Run(t.Context(), Request{Service: service1, Deadline: 100 * time.Millisecond, Class: wire.Recall})
		require.NoError(t, err)
	})
}

func TestSlowReplicaIsAvoidedAndTriedAgain(t *testing.T) {
	withEngine(t, func(b *bench) {
		now := b.Engine.clock.Now()
		s := b.service(service1)
		for range minSamples {
			s.learn(now, []wire.Result{{Target: "t0", Took: 5 * time.Millisecond}, {Target: "t1", Took: 5 * time.Millisecond}}, time.Second)
		}
		chosen := func() int {
			return b.planner(s, testMap(1, 1, shardCount)).replica(0, nil).target
		}
		require.Equal(t, 0, chosen())
		s.lost(now, "t0", 20*time.Millisecond)
		require.Equal(t, 1, chosen())
		b.SetPolicy(Policy{NoChoice: true})
		require.Equal(t, 0, chosen(), "without the choice")
		b.SetPolicy(Policy{})
		b.manual.Advance(10 * halfLife)
		require.Equal(t, 1, chosen(), "time alone must not send a caller back to it")
		for _, name := range []string{"t1", "t2", "t3"} {
			b.keepers.replicas[name].late = true
		}
		s.hedges.tokens = budgetReserve + 1
		done := make(chan *Answer, 1)
		go func() { done <- b.query(t, "salt") }()
		require.Eventually(t, func() bool { return chosen() == 0 }, time.Minute, time.Millisecond, "the probe's reply ends the suspicion")
		b.keepers.let("t1", "t2", "t3")
		a := <-done
		require.True(t, own(a, "salt"))
		require.Equal(t, 1, a.Load.Hedges, "one probe beside the other replica")
	})
}

func TestProbesOfSlowTargetsAreBounded(t *testing.T) {
	withEngine(t, func(b *bench) {
		s := b.service(service1)
		now := b.Engine.clock.Now()
		slow := func() {
			for range minSamples {
				s.learn(now, []wire.Result{{Target: "t1", Took: time.Millisecond}}, time.Second)
			}
			s.penalize(b.Engine.clock.Now(), "t0", time.Second)
		}
		slow()
		b.keepers.replicas["t0"].late = true
		probes := 0
		for range 30 {
			probes += b.query(t, "salt").Load.Hedges
			b.manual.Advance(probePeriod / 10)
			slow()
		}
		require.Equal(t, 2, probes, "one a period")
	})
}

func TestSlowTargetIsForgivenWhereHedgesAreOff(t *testing.T) {
	withEngine(t, func(b *bench) {
		s := b.service(service1)
		now := b.Engine.clock.Now()
		for range minSamples {
			s.learn(now, []wire.Result{{Target: "t0", Took: 5 * time.Millisecond}, {Target: "t1", Took: 5 * time.Millisecond}}, time.Second)
		}
		s.penalize(now, "t0", 20*time.Millisecond)
		b.set(t, "hedge", "1")
		b.manual.Advance(probePeriod)
		require.Zero(t, b.query(t, "salt").Load.Hedges)
		b.manual.Advance(10 * halfLife)
		require.Equal(t, 0, b.planner(s, testMap(1, 1, shardCount)).replica(0, nil).target)
	})
}

func TestQuantilesForgetWhatIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLatency(now)
	_, known := l.quantile(now, 0.95)
	require.False(t, known)
	for range minSamples {
		l.record(now, time.Second)
	}
	d, known := l.quantile(now, 0.95)
	require.True(t, known)
	require.InEpsilon(t, time.Second, d, 0.05)
	for range 3 {
		now = now.Add(rotation)
		for range minSamples {
			l.record(now, time.Millisecond)
		}
	}
	d, _ = l.quantile(now, 0.95)
	require.InEpsilon(t, time.Millisecond, d, 0.05)
}

func TestPartsOfAnUnknownPartitionAreNotCounted(t *testing.T) {
	m := newMerge(testMap(1, 1, 2), newGuards())
	open := m.add([]int{0}, wire.Result{Target: "t0", Snapshot: at(1, 1), Parts: []target.Part{target.NewPart(99, nil)}})
	require.Equal(t, []int{0}, open)
}

// TestReserveIsForTheVeryLate shows that ordinary lateness can't use up what a straggler needs; it steps one attempt by hand.
func TestReserveIsForTheVeryLate(t *testing.T) {
	withEngine(t, func(b *bench) {
		b.keepers.replicas["t2"].late = true
		b.service(service1).hedges.tokens = budgetReserve / 2
		v := b.Engine.board.Tree.Load().ForService("jylland", service1)
		a := newAttempt(newRun(b.Engine, Request{Service: service1}, v, time.Second, 0), testMap(1, 1, shardCount))
		a.delay = 100 * time.Millisecond
		a.send(t.Context(), a.all(), first)
		a.take(t.Context(), <-a.replies)
		require.Zero(t, a.load.Hedges)
		b.manual.Advance(2 * a.delay)
		a.tick(t.Context())
		require.Zero(t, a.load.Hedges)
		b.manual.Advance(a.delay)
		a.tick(t.Context())
		require.Equal(t, 2, a.load.Hedges)
	})
}

func TestLateTargetIsAvoidedBeforeItsQueryEnds(t *testing.T) {
	withEngine(t, func(b *bench) {
		s := b.service(service1)
		now := b.Engine.clock.Now()
		for range minSamples {
			s.learn(now, []wire.Result{{Target: "t2", Took: 5 * time.Millisecond}, {Target: "t3", Took: 5 * time.Millisecond}}, time.Second)
		}
		s.hedges.tokens = 0
		b.set(t, "deadline", `"30s"`)
		b.keepers.replicas["t2"].late = true
		chosen := func() int {
			return b.planner(s, testMap(1, 1, shardCount)).replica(2, nil).target
		}
		require.Equal(t, 2, chosen())
		done := make(chan *Answer, 1)
		go func() { done <- b.query(t, "salt") }()
		<-b.keepers.waiting
		stop := b.step()
		require.Eventually(t, func() bool { return chosen() == 3 || len(done) > 0 }, time.Minute, time.Millisecond)
		require.Equal(t, 3, chosen())
		require.Empty(t, done, "the query has no budget for a hedge and must still wait for the target")
		b.keepers.let("t2")
		stop()
		require.True(t, own(<-done, "salt"))
	})
}
