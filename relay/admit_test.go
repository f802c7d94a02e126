package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
)

// boundedTarget is a target with two slots and a short queue that refuses requests beyond them. A request beyond the idle connections needs a new one, whose setup occupies a slot even if the request is refused.
type boundedTarget struct {
	mu       sync.Mutex
	work     time.Duration
	freeAt   [2]time.Time
	endTimes []time.Time
}

const (
	// boundedQueue is the length of the target's queue.
	boundedQueue = 12
	// boundedIdleConns is the number of idle connections kept to the target, boundedConnSetup the slot time that a new connection takes.
	boundedIdleConns = 8
	boundedConnSetup = 6 * time.Millisecond
)

// serve handles one request; it is the target's behaviour.
func (c *boundedTarget) serve() (time.Duration, *Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.endTimes = slices.DeleteFunc(c.endTimes, func(t time.Time) bool { return !t.After(now) })
	slot := 0
	if c.freeAt[1].Before(c.freeAt[0]) {
		slot = 1
	}
	if c.freeAt[slot].Before(now) {
		c.freeAt[slot] = now
	}
	if len(c.endTimes) >= boundedIdleConns {
		c.freeAt[slot] = c.freeAt[slot].Add(boundedConnSetup)
	}
	if len(c.endTimes) >= len(c.freeAt)+boundedQueue {
		return boundedConnSetup, &Reply{Status: 503, NotRun: true}, nil
	}
	c.freeAt[slot] = c.freeAt[slot].Add(c.work)
	c.endTimes = append(c.endTimes, c.freeAt[slot])
	return c.freeAt[slot].Sub(now), &Reply{Status: 200, Signature: "s", Body: recordFrom("s")}, nil
}

// sendAtRate sends queries at a mean rate for a duration, with random intervals drawn from a seed, and returns the answers with their latencies.
func (l *testCluster) sendAtRate(seed uint64, perSecond int, d time.Duration) (answers []*Answer, times []time.Duration) {
	r := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	var queries sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		queries.Go(func() {
			a, took := l.request("/all/1")
			mu.Lock()
			defer mu.Unlock()
			answers, times = append(answers, a), append(times, took)
		})
	}
	queries.Wait()
	return answers, times
}

// withBoundedTargets runs f with a cluster of 10 shards with two bounded targets each, which together serve 400 queries per second.
func withBoundedTargets(t *testing.T, f func(*testCluster)) {
	withCluster(t, func(l *testCluster) {
		l.hosts = 1
		l.setFanoutRoute(10, 0.9)
		for _, e := range l.view.Entries {
			e.Datacentre = "dc0"
			l.behaviours[e.ID] = (&boundedTarget{work: 10 * time.Millisecond}).serve
		}
		f(l)
	})
}

// TestTripleCapacityServesHalfAndRefusesEarly sends three times what the targets can serve. At least half of their capacity must be answered in time, and overload refusals must come early, with a retry delay, and state correctly that nothing ran.
func TestTripleCapacityServesHalfAndRefusesEarly(t *testing.T) {
	const capacity, seconds, bursts = 400, 4, 3
	inTime, refused := 0, 0
	for seed := range uint64(bursts) {
		withBoundedTargets(t, func(l *testCluster) {
			answers, times := l.sendAtRate(seed, 3*capacity, seconds*time.Second)
			for i, a := range answers {
				switch {
				case a.Fault == nil && times[i] <= objective:
					inTime++
				case a.Fault != nil && a.Fault.Kind == fault.Overload:
					refused++
					requireEarlyRefusal(t, a, times[i])
				}
			}
		})
	}
	require.Greater(t, inTime, bursts*capacity*seconds/2)
	require.Positive(t, refused)
}

// requireEarlyRefusal checks that a refusal leaves the caller enough time to retry.
func requireEarlyRefusal(t *testing.T, a *Answer, took time.Duration) {
	require.True(t, a.Fault.NotRun())
	require.Positive(t, a.Fault.RetryAfter())
	bound := objective / 4
	if strings.Contains(a.Fault.Text, "no target took") {
		// The request was sent to targets first, and each of them refused it.
		bound = objective / 2
	}
	require.LessOrEqual(t, took, bound, a.Fault.Text)
}

// TestNoRefusalsBelowCapacity sends two thirds of the capacity, at which nothing may be refused.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	withBoundedTargets(t, func(l *testCluster) {
		answers, _ := l.sendAtRate(1, 260, 4*time.Second)
		for _, a := range answers {
			require.Nil(t, a.Fault)
		}
	})
}

// TestUrgentRequestsAdmittedWhenLimitIsReached fills the part of the limit that low-priority requests may use. Another such request must be refused, and one of high priority admitted.
func TestUrgentRequestsAdmittedWhenLimitIsReached(t *testing.T) {
	withBoundedTargets(t, func(l *testCluster) {
		urgent := l.config.Routes[0]
		urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
		less := l.config.Routes[0]
		less.Priority = 2
		l.setConfig(l.config.Services, urgent, less)
		q := l.engine.newQuery(context.Background(), &Request{Host: "h", Path: "/all/1"}, l.config, l.config.Match("h", "/all/1"), time.Now())
		l.engine.load.add(loadGroup(q.route, nil), int(lowPriorityShare*q.concurrencyLimit()))
		a, _ := l.request("/all/1")
		require.Equal(t, fault.Overload, a.Fault.Kind)
		a, _ = l.request("/urgent/1")
		require.Nil(t, a.Fault)
		q.cancelSubs()
	})
}

// TestOverdueSubRequestsDoNotCountAsLoad guards against refusals for overload while some targets hang, caused by counting overdue sub-requests.
func TestOverdueSubRequestsDoNotCountAsLoad(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(10, 0.5)
		for _, s := range []string{"s00", "s01", "s02"} {
			l.setBehaviour(s, 0, neverAnswers)
			l.setBehaviour(s, 1, neverAnswers)
		}
		// The rate is this host's share of what the targets can serve.
		answers, _ := l.sendAtRate(1, 30, 3*time.Second)
		for _, a := range answers {
			require.Nil(t, a.Fault)
		}
	})
}

// TestSilentShardsDoNotLowerAdmission guards against a lower admission factor when answers are late only because a few shards are silent: admitting fewer requests would not bring these shards back.
func TestSilentShardsDoNotLowerAdmission(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for _, s := range []string{"s00", "s01", "s02"} {
			l.setBehaviour(s, 0, neverAnswers)
			l.setBehaviour(s, 1, neverAnswers)
		}
		for range 3 {
			l.request("/all/1")
		}
		require.InDelta(t, 1, l.engine.load.admissionFactor(loadGroup(&l.config.Routes[0], nil)), 0)
	})
}
