package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/roster"
)

// stated returns the notice of a response that states a rate limit.
func stated(perSecond float64) TargetNotice {
	return TargetNotice{Rate: StatedRate{
		Known:     true,
		Limited:   true,
		PerSecond: perSecond,
	}}
}

// unstated is the notice of a response without a rate limit.
var unstated = TargetNotice{Rate: StatedRate{Known: true}}

// failing returns a behaviour that fails after the work, with or without having run.
func failing(after time.Duration, notRun bool) behaviour {
	return func() (time.Duration, *Reply, error) {
		return after, &Reply{Status: 503, NotRun: notRun}, nil
	}
}

// TestEveryWayToATargetKeepsItsRateLimit guards against ways around a target's rate limit: first sub-requests, hedges, retries, those for other hosts, those of a fan-out, and those that wait for a connection when the limit is stated.
func TestEveryWayToATargetKeepsItsRateLimit(t *testing.T) {
	const perSecond, period = 5.0, 10 * time.Second
	// The platform's tolerance for a limit over 4 s.
	const window, allowed = 4 * time.Second, 1.5*perSecond*4 + 5
	for _, tc := range []struct {
		name    string
		prepare func(*testCluster)
		path    string
		origin  string
	}{
		{name: "first", path: "/one/1"},
		{name: "other host", path: "/one/1", origin: "h1"},
		{name: "fan-out", path: "/all/1"},
		{name: "hedge", path: "/one/1", prepare: func(l *testCluster) {
			l.setBehaviour("one", 1, answersAfter(120*time.Millisecond, "slow"))
		}},
		{name: "hedge of a fan-out", path: "/all/1", prepare: func(l *testCluster) {
			l.setBehaviour("s00", 1, answersAfter(120*time.Millisecond, "slow"))
		}},
		{name: "retry after failure", path: "/one/1", prepare: func(l *testCluster) {
			l.setBehaviour("one", 1, failing(time.Millisecond, false))
		}},
		{name: "retry after refusal", path: "/all/1", prepare: func(l *testCluster) {
			l.setBehaviour("s00", 1, failing(time.Millisecond, true))
		}},
		{name: "repeat at the same target", path: "/one/1", prepare: func(l *testCluster) {
			l.setBehaviour("one", 1, refusesConnection)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.hosts = 1
				l.setFanoutRoute(4, 0.5)
				routes, services := l.config.Routes, l.config.Services
				l.setSingleRoute(true, 2)
				services["one"] = l.config.Services["one"]
				l.setConfig(services, append(routes, l.config.Routes...)...)
				l.addTarget("one", 0, nil)
				l.addTarget("one", 1, nil)
				service := map[string]string{"/one/1": "one", "/all/1": "s00"}[tc.path]
				var a arrivalLog
				l.setBehaviour(service, 0, a.behaviour(10*time.Millisecond))
				if tc.prepare != nil {
					tc.prepare(l)
				}
				l.notify(service, 0, stated(perSecond))
				for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					go l.engine.Handle(context.Background(), &Request{
						ID:       "q",
						Method:   "GET",
						Host:     "h",
						Path:     tc.path,
						URI:      tc.path,
						TimeLeft: deadline,
						Origin:   tc.origin,
					})
				}
				synctest.Wait()
				require.LessOrEqual(t, float64(a.maxWithin(window)), allowed)
				// This host's share of the limit is 0.8.
				require.GreaterOrEqual(t, float64(len(a.times)), 0.7*0.8*perSecond*period.Seconds(), "the target gets what it accepts")
			})
		})
	}
}

// TestRateLimitStatedWhileConnecting guards against sub-requests that were reserved before the target stated its limit and go out uncounted once they have a connection.
func TestRateLimitStatedWhileConnecting(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		id := l.addTarget("one", 0, nil)
		l.connectTimes[id] = 20 * time.Millisecond
		time.AfterFunc(10*time.Millisecond, func() { l.notify("one", 0, stated(5)) })
		l.requestAtOnce(4, "/one/1")
		require.Zero(t, l.sentTo(id))
	})
}

// TestRateLimitFollowsLatestStatement guards against a limit that outlives its statement or ends without one.
func TestRateLimitFollowsLatestStatement(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name string
		then func(*testCluster)
		want float64
	}{
		{name: "falls", then: func(l *testCluster) { l.notify("one", 0, stated(2)) }, want: 2},
		{name: "rises", then: func(l *testCluster) { l.notify("one", 0, stated(40)) }, want: 40},
		{name: "zero", then: func(l *testCluster) { l.notify("one", 0, stated(0)) }, want: 0},
		{name: "malformed", then: func(l *testCluster) { l.notify("one", 0, TargetNotice{Malformed: "x"}) }, want: 10},
		{name: "ends", then: func(l *testCluster) { l.notify("one", 0, unstated) }, want: 100},
		{name: "target restarts", then: func(l *testCluster) { l.restartTarget("one", 0) }, want: 100},
		{name: "response to an earlier request", then: func(l *testCluster) {
			l.engine.handleNotice(l.targetEntry("one", 0), unstated, time.Now().Add(-5*second))
		}, want: 10},
		{name: "response of another target", then: func(l *testCluster) {
			l.notify("one", 0, TargetNotice{Leaving: true, AnsweredBy: "unknown", Rate: StatedRate{Known: true}})
		}, want: 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.hosts = 1
				l.setSingleRoute(true, 2)
				id := l.addTarget("one", 0, nil)
				l.addTarget("one", 1, nil)
				l.notify("one", 0, stated(10))
				play := func(d time.Duration) int {
					before := l.sentTo(id)
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						go l.request("/one/1")
					}
					return l.sentTo(id) - before
				}
				require.InDelta(t, 0.8*10*4, play(4*second), 2)
				tc.then(l)
				if tc.want == 100 {
					require.Greater(t, play(4*second), 100, "many times the limit")
					return
				}
				got := play(4 * second)
				require.LessOrEqual(t, float64(got), 0.8*tc.want*4+0.8*10+1)
				require.GreaterOrEqual(t, float64(got), 0.8*tc.want*4-2)
			})
		})
	}
}

// TestCallersRefusedForRateLimitReturnOneByOne guards against refusing requests late, and against telling all refused callers to return at the same time.
func TestCallersRefusedForRateLimitReturnOneByOne(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.hosts = 1
		l.setSingleRoute(true, 2)
		l.addTarget("one", 0, nil)
		l.notify("one", 0, stated(10))
		var delays []time.Duration
		for range 5 {
			a, took := l.request("/one/1")
			require.Equal(t, fault.NoReplica, a.Fault.Kind)
			require.True(t, a.Fault.NotRun())
			require.Zero(t, took)
			delays = append(delays, a.Fault.RetryAfter())
		}
		interval := 125 * time.Millisecond
		for i, d := range delays {
			require.Equal(t, time.Duration(i+1)*interval, d)
		}
		for range delays {
			time.Sleep(interval)
			a, _ := l.request("/one/1")
			require.Nil(t, a.Fault, "a caller that returns when told is served")
		}
	})
}

// TestFanoutIsAnsweredWithoutShardsAtTheirRateLimit checks that shards whose targets are all at their rate limit are left out while enough others answer, and that the request is refused at once otherwise.
func TestFanoutIsAnsweredWithoutShardsAtTheirRateLimit(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(10, 0.8)
		limit := func(service string) {
			l.notify(service, 0, stated(1))
			l.notify(service, 1, stated(1))
		}
		limit("s00")
		limit("s01")
		a, _ := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 2, a.Missing)
		limit("s02")
		a, took := l.request("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
		require.Positive(t, a.Fault.RetryAfter())
	})
}

// TestLastAllowedSubRequestIsKeptForHedges guards against first sub-requests that use up a target's rate limit, so that its shard can't be hedged.
func TestLastAllowedSubRequestIsKeptForHedges(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.hosts = 1
		l.setSingleRoute(true, 2)
		limited := l.addTarget("one", 0, nil)
		l.addTarget("one", 1, nil)
		l.notify("one", 0, stated(10))
		for range 400 {
			go l.request("/one/1")
			time.Sleep(10 * time.Millisecond)
		}
		l.setBehaviour("one", 1, neverAnswers)
		before := l.sentTo(limited)
		a, _ := l.request("/one/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, l.sentTo(limited)-before)
	})
}

// TestUnsentSubRequestsDontCountTowardsRateLimit checks that a sub-request that never reached the target gives its token back.
func TestUnsentSubRequestsDontCountTowardsRateLimit(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.hosts = 1
		l.setSingleRoute(true, 2)
		l.addTarget("one", 0, func() (time.Duration, *Reply, error) {
			return time.Millisecond, nil, &pool.Error{Err: pool.ErrNoLongerAllowed}
		})
		l.notify("one", 0, stated(10))
		time.Sleep(130 * time.Millisecond)
		l.request("/one/1")
		synctest.Wait()
		require.NotEqual(t, rateClosed, l.engine.rateStateOf(l.targetEntry("one", 0), time.Now()))
	})
}

// TestRateLimitsOfOtherHostsAreLearned checks that the newest statement holds, whichever host has heard it, and that statements about unknown or earlier processes and invalid ones are ignored.
func TestRateLimitsOfOtherHostsAreLearned(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		l.addTarget("one", 0, nil)
		target := l.targetEntry("one", 0)
		learn := func(r roster.RateLimit) { l.engine.LearnRateLimits([]roster.RateLimit{r}) }
		want := func(perSecond float64, limited bool) {
			t.Helper()
			gotRate, gotLimited := l.engine.statedRate(target)
			require.Equal(t, limited, gotLimited)
			if limited {
				require.InDelta(t, perSecond, gotRate, 0)
			}
		}
		learn(roster.RateLimit{ID: target.ID, Limited: true, PerSecond: -1})
		learn(roster.RateLimit{ID: target.ID, Limited: true, PerSecond: 4, Born: time.Now()})
		learn(roster.RateLimit{ID: "unknown", Limited: true, PerSecond: 4})
		want(0, false)
		learn(roster.RateLimit{ID: target.ID, Limited: true, PerSecond: 4, Age: 2 * time.Second})
		want(4, true)
		learn(roster.RateLimit{ID: target.ID, Limited: true, PerSecond: 9, Age: 3 * time.Second})
		want(4, true)
		l.notify("one", 0, stated(5))
		learn(roster.RateLimit{ID: target.ID, Age: time.Second})
		want(5, true)
		time.Sleep(time.Second)
		learn(roster.RateLimit{ID: target.ID})
		want(0, false)
		l.engine.Prune()
		require.Len(t, l.engine.RateLimits(), 1, "the end of the limit is passed on")
		time.Sleep(endedRateRetention + time.Second)
		l.engine.Prune()
		require.Empty(t, l.engine.RateLimits())
	})
}
