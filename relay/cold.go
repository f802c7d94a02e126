package relay

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"kingcupcross/roster"
	"kingcupcross/route"
)

// coldLimiter limits the rate of requests to cold targets (recently started ones), so that all hosts together stay within what such a target can serve.
type coldLimiter struct {
	limits Limits
	// share returns this host's share of the limits over all hosts.
	share func() float64

	mu sync.Mutex
	// sent holds, per target, the times of the requests within the last window.
	sent map[string][]time.Time
}

// coldWindow is the sliding window over which requests to a cold target are counted.
const coldWindow = time.Second

// newColdLimiter returns a limiter that allows this host its share of the cold rate.
func newColdLimiter(l Limits, share func() float64) *coldLimiter {
	return &coldLimiter{limits: l, share: share, sent: map[string][]time.Time{}}
}

// allowance returns the number of requests that this host may send to a cold target within any window.
func (g *coldLimiter) allowance(s route.Service) int {
	return int(math.Floor((s.ColdRate*g.limits.ColdRateFactor + g.limits.ColdRateMargin) * g.share()))
}

// allows reports whether a target may receive one more request now; it counts nothing.
func (g *coldLimiter) allows(t *roster.Entry, s route.Service, now time.Time) bool {
	if s.ColdRate <= 0 || !now.Before(t.ColdUntil) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.recent(t.ID, now)) < g.allowance(s)
}

// tryTake counts one request to a target and reports whether the limit allows it.
func (g *coldLimiter) tryTake(t *roster.Entry, s route.Service, now time.Time) bool {
	if s.ColdRate <= 0 || !now.Before(t.ColdUntil) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	recent := g.recent(t.ID, now)
	if len(recent) >= g.allowance(s) {
		return false
	}
	g.sent[t.ID] = append(recent, now)
	return true
}

// refund removes a counted request that was not sent.
func (g *coldLimiter) refund(t *roster.Entry, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	times := g.sent[t.ID]
	if i := slices.IndexFunc(times, at.Equal); i >= 0 {
		g.sent[t.ID] = slices.Concat(times[:i], times[i+1:])
	}
}

// recent returns the times of the requests within the last window. The caller must hold g.mu.
func (g *coldLimiter) recent(id string, now time.Time) []time.Time {
	times := g.sent[id]
	for len(times) > 0 && now.Sub(times[0]) >= coldWindow {
		times = times[1:]
	}
	g.sent[id] = times
	return times
}

// retain deletes the entries of targets that known rejects.
func (g *coldLimiter) retain(known func(string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.sent, func(id string, _ []time.Time) bool { return !known(id) })
}
