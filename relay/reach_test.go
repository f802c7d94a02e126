package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// suspected reports whether a suspicion that the way to the targets is lost is pending, and takes it.
func suspected(l *testCluster) bool {
	select {
	case <-l.engine.ReachSuspicions():
		return true
	default:
		return false
	}
}

// TestSilenceOfAllTargetsIsSuspicious guards against a loss of the way to the targets being noticed only when they count as unresponsive, and against checks while some answer.
func TestSilenceOfAllTargetsIsSuspicious(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.5)
		for i := range 5 {
			l.setBehaviour(l.config.Routes[0].Shards[i], 0, neverAnswers)
		}
		for range 10 {
			l.request("/all/x")
		}
		require.False(t, suspected(l), "most targets answer")
		for _, s := range l.config.Routes[0].Shards {
			l.setBehaviour(s, 0, neverAnswers)
			l.setBehaviour(s, 1, neverAnswers)
		}
		go l.request("/all/x")
		time.Sleep(minSilenceOfAll + 50*time.Millisecond)
		synctest.Wait()
		require.True(t, suspected(l))
	})
}

// TestQueriesEndWhenTheWayIsLost guards against queries that wait for their deadline although another host could answer them, and against requests that may not be repeated being given up while a target may run them.
func TestQueriesEndWhenTheWayIsLost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		withCluster(t, func(l *testCluster) {
			l.setSingleRoute(idempotent, 2)
			l.addTarget("one", 0, neverAnswers)
			l.addTarget("one", 1, neverAnswers)
			answers := make(chan *Answer, 1)
			go func() {
				a, _ := l.request("/one/x")
				answers <- a
			}()
			time.Sleep(100 * time.Millisecond)
			l.engine.SetPathLost(true)
			synctest.Wait()
			if !idempotent {
				require.Empty(t, answers)
				return
			}
			a := <-answers
			require.True(t, a.PathLost)
			require.Positive(t, a.AttemptsUsed)
			require.False(t, a.Fault.NotRun())
			// A request that begins meanwhile is handled, as no other host may have taken it.
			l.setBehaviour("one", 0, answersAfter(10*time.Millisecond, "a"))
			a, _ = l.request("/one/x")
			require.Nil(t, a.Fault)
		})
	}
}

// TestTargetsAreAskedAgainOnceTheWayIsBack guards against the silence of targets during the loss keeping requests from them afterwards.
func TestTargetsAreAskedAgainOnceTheWayIsBack(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for _, s := range l.config.Routes[0].Shards {
			l.setBehaviour(s, 0, refusesConnection)
			l.setBehaviour(s, 1, refusesConnection)
		}
		l.request("/all/x")
		l.engine.SetPathLost(true)
		for i, s := range l.config.Routes[0].Shards {
			l.setBehaviour(s, 0, answersAfter(10*time.Millisecond, l.view.Services[l.config.Routes[0].Shards[i]][0].ID))
			l.setBehaviour(s, 1, answersAfter(10*time.Millisecond, l.view.Services[l.config.Routes[0].Shards[i]][1].ID))
		}
		l.engine.SetPathLost(false)
		a, _ := l.request("/all/x")
		require.Nil(t, a.Fault)
		require.Zero(t, a.Missing)
	})
}

// TestAttemptsUsedElsewhereCount guards against a request that waited at a host without a way reaching more targets of a shard in all than its route allows.
func TestAttemptsUsedElsewhereCount(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for _, s := range l.config.Routes[0].Shards {
			l.setBehaviour(s, 0, losesConnection)
		}
		a := l.engine.Handle(context.Background(), &Request{ID: "q", Method: "GET", Host: "h", Path: "/all/x", URI: "/all/x", TimeLeft: deadline, AttemptsUsed: 1})
		require.NotNil(t, a.Fault)
		for _, e := range l.view.Entries {
			if e.Datacentre == "dc1" {
				require.Zero(t, l.sentTo(e.ID))
			}
		}
	})
}
