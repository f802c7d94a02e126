package relay

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/route"
)

// arrivals notes when sub-requests come to a target.
type arrivals struct {
	mu  sync.Mutex
	all []time.Time
}

// act is the behaviour of a target that works for a time on each sub-request.
func (a *arrivals) act(work time.Duration) behaviour {
	return func() (time.Duration, *Reply, error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.all = append(a.all, time.Now())
		return work, &Reply{Status: 200, Signature: "x", Body: recordOf("x")}, nil
	}
}

// most returns the greatest number that came within a time.
func (a *arrivals) most(within time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, t := range a.all {
		for t.Sub(a.all[first]) >= within {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// together has many callers ask at the same moment and waits for their answers.
func (l *fleet) together(callers int, path string) {
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { l.ask(path) })
	}
	all.Wait()
}

// TestRequestsAtTheSameMomentKeepToATargetsLimits guards against limits that are checked when a target is chosen and counted when the sub-request goes out, between which other requests choose the same target.
func TestRequestsAtTheSameMomentKeepToATargetsLimits(t *testing.T) {
	const work, callers, rounds = 50 * time.Millisecond, 32, 40
	for _, one := range []struct {
		name    string
		service route.Service
		prepare func(*fleet)
		within  time.Duration
		most    int
	}{
		{
			name:    "connections",
			service: route.Service{Name: "one", Conns: 50},
			prepare: func(*fleet) {},
			within:  work,
			most:    4,
		},
		{
			name:    "a cold target",
			service: route.Service{Name: "one", ColdRate: 30},
			prepare: func(l *fleet) { l.entry("one", 0).ColdUntil = time.Now().Add(time.Hour) },
			within:  coldWindow,
			most:    4,
		},
		{
			name:    "a target that comes back from quiet",
			service: route.Service{Name: "one", Conns: 50},
			prepare: func(l *fleet) {
				l.says("one", 0, Word{Quiet: time.Second})
				time.Sleep(time.Second + returnMost)
			},
			within: work,
			most:   1,
		},
	} {
		t.Run(one.name, func(t *testing.T) {
			for range rounds {
				withFleet(t, func(l *fleet) {
					l.one(true, 2)
					l.force(map[string]route.Service{"one": one.service}, l.config.Routes[0])
					var a arrivals
					l.add("one", 0, a.act(work))
					one.prepare(l)
					l.together(callers, "/one/1")
					synctest.Wait()
					require.Positive(t, a.most(one.within))
					require.LessOrEqual(t, a.most(one.within), one.most)
				})
			}
		})
	}
}

// TestRequestsAtTheSameMomentShareTheRoom guards against a room that several requests are let into because each of them saw it empty.
func TestRequestsAtTheSameMomentShareTheRoom(t *testing.T) {
	const callers, rounds = 32, 40
	for range rounds {
		withFleet(t, func(l *fleet) {
			l.fanout(10, 0.9)
			var a arrivals
			for _, e := range l.view.Entries {
				l.acts[e.ID] = a.act(10 * time.Millisecond)
			}
			q := l.engine.newRun(t.Context(), &Request{Host: "h", Path: "/all/1"}, l.config, l.config.Match("h", "/all/1"), time.Now())
			room := int(q.room())
			q.cancel()
			l.together(callers, "/all/1")
			require.LessOrEqual(t, a.most(time.Millisecond), room)
		})
	}
}

// TestClaimsThatNothingIsSentWithAreGivenBack leaves a target with all of its limits after requests that were refused or whose hedge would have been of no use.
func TestClaimsThatNothingIsSentWithAreGivenBack(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		for _, s := range []string{"s00", "s01", "s02"} {
			l.says(s, 0, Word{Quiet: 10 * time.Second})
			l.says(s, 1, Word{Quiet: 10 * time.Second})
		}
		for range 100 {
			a, _ := l.ask("/all/1")
			require.NotNil(t, a.Fault)
		}
		for _, e := range l.view.Entries {
			require.Zero(t, l.engine.rank(e).Outstanding(), e.ID)
		}
		require.Empty(t, l.engine.load.groups)
	})
}
