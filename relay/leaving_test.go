package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// takeTargetOut removes a target from the roster or marks it as draining. Views taken earlier are unchanged.
func (l *testCluster) takeTargetOut(id string, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.view.Listing(time.Now())
	p.Revision++
	kept := p.Targets[:0]
	for _, t := range p.Targets {
		if t.ID == id && !draining {
			continue
		}
		if t.ID == id {
			t.Draining, t.Revision = true, p.Revision
		}
		kept = append(kept, t)
	}
	p.Targets = kept
	l.view = l.view.Merge(p, time.Now(), time.Time{})
}

// TestTargetThatLeavesDuringARequest guards against a hedge or retry to a target that started draining or was removed after the request began.
func TestTargetThatLeavesDuringARequest(t *testing.T) {
	fails := func(after time.Duration) behaviour {
		return func() (time.Duration, *Reply, error) {
			_, reply, err := losesConnection()
			return after, reply, err
		}
	}
	for _, tc := range []struct {
		name        string
		first       behaviour
		leavesAfter time.Duration
		draining    bool
	}{
		{name: "retry, draining", first: fails(5 * time.Millisecond), leavesAfter: time.Millisecond, draining: true},
		{name: "retry, removed", first: fails(5 * time.Millisecond), leavesAfter: time.Millisecond},
		{name: "hedge, draining", first: neverAnswers, leavesAfter: time.Millisecond, draining: true},
		{name: "hedge, removed", first: neverAnswers, leavesAfter: time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.setSingleRoute(true, 3)
				// Of two targets in the engine's data centre the first one is asked first.
				first := l.addTarget("one", 0, tc.first)
				second := l.addTarget("one", 0, nil)
				other := l.addTarget("one", 1, nil)
				go func() {
					time.Sleep(tc.leavesAfter)
					l.takeTargetOut(second, tc.draining)
				}()
				a, _ := l.request("/one/1")
				require.Nil(t, a.Fault)
				require.Equal(t, 1, l.sentTo(first))
				require.Zero(t, l.sentTo(second))
				require.Equal(t, 1, l.sentTo(other))
			})
		})
	}
}

// TestOnlyTargetLeavesDuringARequest guards against a retry at the failed target after it was removed.
func TestOnlyTargetLeavesDuringARequest(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		only := l.addTarget("one", 0, losesConnection)
		go func() {
			time.Sleep(time.Millisecond)
			l.takeTargetOut(only, false)
		}()
		a, took := l.request("/one/1")
		require.NotNil(t, a.Fault)
		require.Less(t, took, objective)
		require.Equal(t, 1, l.sentTo(only))
	})
}

// TestTargetThatLeavesDuringADial guards against sending a sub-request whose target left, or whose data centre was taken out of service, while the connection was being set up. Another target must get it, even if the request is not idempotent.
func TestTargetThatLeavesDuringADial(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		leave      func(*testCluster, string)
	}{
		{name: "draining", idempotent: true, leave: func(l *testCluster, id string) { l.takeTargetOut(id, true) }},
		{name: "removed, not idempotent", leave: func(l *testCluster, id string) { l.takeTargetOut(id, false) }},
		{name: "data centre out of service", idempotent: true, leave: func(l *testCluster, _ string) { l.takeDatacentreOut("dc0") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.setSingleRoute(tc.idempotent, 2)
				first := l.addTarget("one", 0, nil)
				other := l.addTarget("one", 1, nil)
				l.connectTimes[first] = 20 * time.Millisecond
				go func() {
					time.Sleep(10 * time.Millisecond)
					tc.leave(l, first)
				}()
				a, _ := l.request("/one/1")
				require.Nil(t, a.Fault)
				require.Zero(t, l.sentTo(first))
				require.Equal(t, 1, l.sentTo(other))
			})
		})
	}
}

// takeDatacentreOut takes a data centre out of service.
func (l *testCluster) takeDatacentreOut(datacentre string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outDatacentres[datacentre] = true
}
