package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/roster"
)

// targetEntry returns the roster entry of the n-th target of a service.
func (l *testCluster) targetEntry(service string, n int) *roster.Entry {
	return l.currentView().Services[service][n]
}

// notify delivers a notice of the n-th target of a service to the engine.
func (l *testCluster) notify(service string, n int, notice TargetNotice) {
	l.engine.handleNotice(l.targetEntry(service, n), notice, time.Now())
}

// restartTarget replaces a target by a later process with the same id.
func (l *testCluster) restartTarget(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.view.Listing(time.Now())
	p.Revision++
	id := l.view.Services[service][n].ID
	for i := range p.Targets {
		if p.Targets[i].ID == id {
			p.Targets[i].Born, p.Targets[i].Revision = time.Now(), p.Revision
		}
	}
	l.view = l.view.Merge(p, time.Now(), time.Time{})
}

// leavingTimeout is the time after which a leaving target must receive no more work.
const leavingTimeout = 5 * time.Second

// TestLeavingTargetsServeAsLastResort checks that leaving targets serve for most of the allowed time if a shard has no others, and never after it. A later process with the same id is not affected.
func TestLeavingTargetsServeAsLastResort(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.engine.limits.LeavingTimeout = leavingTimeout
		l.setSingleRoute(true, 2)
		first, second := l.addTarget("one", 0, nil), l.addTarget("one", 1, nil)
		l.notify("one", 0, TargetNotice{Leaving: true})
		l.notify("one", 1, TargetNotice{Leaving: true})
		for range 10 {
			a, _ := l.request("/one/1")
			require.Nil(t, a.Fault)
		}
		time.Sleep(leavingTimeout)
		sent := l.sent()
		a, took := l.request("/one/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
		require.Equal(t, sent, l.sent())
		l.engine.Prune()
		l.restartTarget("one", 1)
		a, _ = l.request("/one/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, l.sent()-sent)
		require.Equal(t, sent, l.sentTo(first)+l.sentTo(second)-1)
	})
}

// TestNoHedgeToLeavingTarget checks that no hedge goes to a leaving target while another one holds the shard, even if that one is slow.
func TestNoHedgeToLeavingTarget(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.engine.limits.LeavingTimeout = leavingTimeout
		l.setSingleRoute(true, 3)
		l.addTarget("one", 0, answersAfter(100*time.Millisecond, "slow"))
		second := l.addTarget("one", 0, nil)
		l.notify("one", 1, TargetNotice{Leaving: true})
		a, _ := l.request("/one/1")
		require.Nil(t, a.Fault)
		require.Zero(t, l.sentTo(second))
	})
}

// TestLeavingOutlastsTheStoresEntry guards against using a leaving target again because its roster entry disappeared and reappeared while the store was unavailable.
func TestLeavingOutlastsTheStoresEntry(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		first := l.addTarget("one", 0, nil)
		second := l.addTarget("one", 1, nil)
		before := l.currentView()
		l.notify("one", 0, TargetNotice{Leaving: true})
		l.takeTargetOut(first, false)
		l.engine.Prune()
		l.mu.Lock()
		l.view = before
		l.mu.Unlock()
		l.engine.Prune()
		a, _ := l.request("/one/1")
		require.Nil(t, a.Fault)
		require.Zero(t, l.sentTo(first))
		require.Equal(t, 1, l.sentTo(second))
	})
}

// TestLeavingNoticesFromOtherHostAreApplied checks that leaving notices received from another host are applied, and passed on with their age to hosts but not to callers.
func TestLeavingNoticesFromOtherHostAreApplied(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		first := l.addTarget("one", 0, nil)
		l.addTarget("one", 1, nil)
		l.engine.LearnLeaving([]roster.Leaver{{ID: first, Age: time.Second}})
		a, _ := l.request("/one/1")
		require.Nil(t, a.Fault)
		require.Zero(t, l.sentTo(first))
		require.Empty(t, a.LeavingTargets, "callers get no leaving notices")
		a = l.engine.Handle(context.Background(), &Request{ID: "q", Host: "h", Path: "/one/1", TimeLeft: deadline, Origin: "other"})
		require.Len(t, a.LeavingTargets, 1)
		require.GreaterOrEqual(t, a.LeavingTargets[0].Age, time.Second)
		time.Sleep(maxSharedAge)
		require.Empty(t, l.engine.LeavingTargets())
		require.True(t, l.engine.IsLeaving(l.targetEntry("one", 0)))
	})
}

// TestLeavingNoticeOfReplacementTarget checks that a notice applies to the target that took over the address and answered, not to the one that was asked.
func TestLeavingNoticeOfReplacementTarget(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		l.addTarget("one", 0, nil)
		second := l.addTarget("one", 1, nil)
		l.notify("one", 0, TargetNotice{Leaving: true, AnsweredBy: second})
		require.False(t, l.engine.IsLeaving(l.targetEntry("one", 0)))
		require.True(t, l.engine.IsLeaving(l.targetEntry("one", 1)))
		l.notify("one", 0, TargetNotice{Leaving: true, AnsweredBy: "nobody"})
		require.False(t, l.engine.IsLeaving(l.targetEntry("one", 0)))
	})
}

// TestShardsInBackoffRefuseWithRetryTime checks that a query is refused at once, with the earliest end of a backoff as its retry time, if it needs shards all of whose targets are in backoff.
func TestShardsInBackoffRefuseWithRetryTime(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for n := range 2 {
			for _, s := range []string{"s00", "s01", "s02"} {
				l.notify(s, n, TargetNotice{Backoff: 10 * time.Second})
			}
		}
		a, took := l.request("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
		require.Zero(t, l.sent())
		require.InDelta(t, 10, a.Fault.RetryAfter().Seconds(), 0.6)
		l.restartTarget("s00", 0)
		a, _ = l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 2, a.Missing)
	})
}

// TestTargetResumesGraduallyAfterBackoff checks that a target gets nothing during its longest backoff, resumes within the jitter after it, and then gets one sub-request at a time.
func TestTargetResumesGraduallyAfterBackoff(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		id := l.addTarget("one", 0, answersAfter(50*time.Millisecond, "x"))
		l.notify("one", 0, TargetNotice{Backoff: 4 * time.Second})
		l.notify("one", 0, TargetNotice{Backoff: time.Second})
		start := time.Now()
		for l.sentTo(id) == 0 {
			l.request("/one/1")
			time.Sleep(10 * time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(start), 4*time.Second)
		require.Less(t, time.Since(start), 4*time.Second+maxResumeJitter+objective)
		answers := make(chan *Answer)
		for range 5 {
			go func() {
				a, _ := l.request("/one/1")
				answers <- a
			}()
		}
		succeeded := 0
		for range 5 {
			if a := <-answers; a.Fault == nil {
				succeeded++
			}
		}
		require.Equal(t, 1, succeeded)
	})
}

// TestRefusedDelegationCostsBudgetIfTargetsWereAsked checks that sending the parts of a refused delegation costs budget if its targets already received them.
func TestRefusedDelegationCostsBudgetIfTargetsWereAsked(t *testing.T) {
	for _, tc := range []struct {
		name           string
		status         int
		reachedTargets bool
		spent          float64
	}{
		{name: "refused by its targets", status: http.StatusServiceUnavailable, reachedTargets: true, spent: 1},
		{name: "refused without asking targets", status: http.StatusServiceUnavailable},
		{name: "overloaded", status: http.StatusTooManyRequests},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.setRegionalRoute(func(*Request) (*Answer, error) {
					return &Answer{Status: tc.status, ReachedTargets: tc.reachedTargets}, nil
				})
				parts := []*part{{service: "s01"}}
				before := l.engine.budgets.lowest(parts)
				a, _ := l.request("/all/1")
				require.Nil(t, a.Fault)
				require.InDelta(t, tc.spent, before-l.engine.budgets.lowest(parts), 0.2)
			})
		})
	}
}

// TestDelegatedRequestMayMissAsManyAsWholeQuery guards against failing a delegated request although the whole query can do without the missing shards.
func TestDelegatedRequestMayMissAsManyAsWholeQuery(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(40, 0.9)
		for _, s := range []string{"s00", "s01", "s02", "s03"} {
			l.setBehaviour(s, 0, refusesConnection)
			l.setBehaviour(s, 1, refusesConnection)
		}
		r := &Request{ID: "q", Host: "h", Path: "/all/1", TimeLeft: deadline, Version: l.config.Version}
		for i := range 20 {
			r.Shards = append(r.Shards, i)
		}
		a := l.engine.Handle(context.Background(), r)
		require.Nil(t, a.Fault)
		require.Len(t, a.Signatures, 16)
		l.setBehaviour("s04", 0, refusesConnection)
		l.setBehaviour("s04", 1, refusesConnection)
		require.NotNil(t, l.engine.Handle(context.Background(), r).Fault)
	})
}
