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

// coldGate holds back requests to cold targets, so that all hosts together stay within what such a target bears.
type coldGate struct {
	limits Limits
	share  func() float64

	mu   sync.Mutex
	sent map[string][]time.Time
}

// coldWindow is the time over which requests to a cold target are counted.
const coldWindow = time.Second

func newColdGate(l Limits, share func() float64) *coldGate {
	return &coldGate{limits: l, share: share, sent: map[string][]time.Time{}}
}

// allowance is the number of requests that this host may send to a cold target in any window.
func (g *coldGate) allowance(s route.Service) int {
	return int(math.Floor((s.ColdRate*g.limits.Heat + g.limits.Margin) * g.share()))
}

// open reports whether a target may get one more request now.
func (g *coldGate) open(t *roster.Entry, s route.Service, now time.Time) bool {
	if s.ColdRate <= 0 || !now.Before(t.ColdUntil) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.recent(t.ID, now)) < g.allowance(s)
}

// take counts a request to a target and reports whether it may get it.
func (g *coldGate) take(t *roster.Entry, s route.Service, now time.Time) bool {
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

// giveBack takes back the count of a request of a time that was not sent.
func (g *coldGate) giveBack(t *roster.Entry, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.sent[t.ID]
	if i := slices.IndexFunc(all, at.Equal); i >= 0 {
		g.sent[t.ID] = slices.Concat(all[:i], all[i+1:])
	}
}

// recent returns the sends of the last window; the lock is held.
func (g *coldGate) recent(id string, now time.Time) []time.Time {
	all := g.sent[id]
	for len(all) > 0 && now.Sub(all[0]) >= coldWindow {
		all = all[1:]
	}
	g.sent[id] = all
	return all
}

// keep forgets the targets that known doesn't name.
func (g *coldGate) keep(known func(string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.sent, func(id string, _ []time.Time) bool { return !known(id) })
}
