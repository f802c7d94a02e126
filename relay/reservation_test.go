package relay

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/route"
)

// arrivalLog records the times at which sub-requests reach a target.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

// behaviour returns the behaviour of a target that works on each sub-request for a fixed time.
func (a *arrivalLog) behaviour(work time.Duration) behaviour {
	return func() (time.Duration, *Reply, error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.times = append(a.times, time.Now())
		return work, &Reply{Status: 200, Signature: "x", Body: recordFrom("x")}, nil
	}
}

// maxWithin returns the largest number of arrivals within any period of the given length.
func (a *arrivalLog) maxWithin(within time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	largest, first := 0, 0
	for i, t := range a.times {
		for t.Sub(a.times[first]) >= within {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// requestAtOnce sends a request from many callers at the same time and waits for the answers.
func (l *testCluster) requestAtOnce(callers int, path string) {
	var requests sync.WaitGroup
	for range callers {
		requests.Go(func() { l.request(path) })
	}
	requests.Wait()
}

// TestConcurrentRequestsKeepTargetLimits guards against exceeding a target's limits through a race: with a check at the choice of the target and a count when the sub-request is sent, other requests choose the same target in between.
func TestConcurrentRequestsKeepTargetLimits(t *testing.T) {
	const work, callers, rounds = 50 * time.Millisecond, 32, 40
	for _, tc := range []struct {
		name        string
		service     route.Service
		prepare     func(*testCluster)
		within      time.Duration
		maxArrivals int
	}{
		{
			name:        "connections",
			service:     route.Service{Name: "one", Conns: 50},
			prepare:     func(*testCluster) {},
			within:      work,
			maxArrivals: 4,
		},
		{
			name:        "cold target",
			service:     route.Service{Name: "one", ColdRate: 30},
			prepare:     func(l *testCluster) { l.targetEntry("one", 0).ColdUntil = time.Now().Add(time.Hour) },
			within:      coldWindow,
			maxArrivals: 4,
		},
		{
			name:    "target resuming after backoff",
			service: route.Service{Name: "one", Conns: 50},
			prepare: func(l *testCluster) {
				l.notify("one", 0, TargetNotice{Backoff: time.Second})
				time.Sleep(time.Second + maxResumeJitter)
			},
			within:      work,
			maxArrivals: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range rounds {
				withCluster(t, func(l *testCluster) {
					l.setSingleRoute(true, 2)
					l.setConfig(map[string]route.Service{"one": tc.service}, l.config.Routes[0])
					var a arrivalLog
					l.addTarget("one", 0, a.behaviour(work))
					tc.prepare(l)
					l.requestAtOnce(callers, "/one/1")
					synctest.Wait()
					require.Positive(t, a.maxWithin(tc.within))
					require.LessOrEqual(t, a.maxWithin(tc.within), tc.maxArrivals)
				})
			}
		})
	}
}

// TestConcurrentRequestsKeepConcurrencyLimit guards against a race in which several requests are admitted because each one sees the load before the others are counted.
func TestConcurrentRequestsKeepConcurrencyLimit(t *testing.T) {
	const callers, rounds = 32, 40
	for range rounds {
		withCluster(t, func(l *testCluster) {
			l.setFanoutRoute(10, 0.9)
			var a arrivalLog
			for _, e := range l.view.Entries {
				l.behaviours[e.ID] = a.behaviour(10 * time.Millisecond)
			}
			q := l.engine.newQuery(t.Context(), &Request{Host: "h", Path: "/all/1"}, l.config, l.config.Match("h", "/all/1"), time.Now())
			limit := int(q.concurrencyLimit())
			q.cancelSubs()
			l.requestAtOnce(callers, "/all/1")
			require.LessOrEqual(t, a.maxWithin(time.Millisecond), limit)
		})
	}
}

// TestUnusedReservationsAreReleased checks that refused requests leave no reservations at targets and no load.
func TestUnusedReservationsAreReleased(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for _, s := range []string{"s00", "s01", "s02"} {
			l.notify(s, 0, TargetNotice{Backoff: 10 * time.Second})
			l.notify(s, 1, TargetNotice{Backoff: 10 * time.Second})
		}
		for range 100 {
			a, _ := l.request("/all/1")
			require.NotNil(t, a.Fault)
		}
		for _, e := range l.view.Entries {
			require.Zero(t, l.engine.estimatorOf(e).Outstanding(), e.ID)
		}
		require.Empty(t, l.engine.load.inFlight)
	})
}
