package relay

import (
	"maps"
	"math"
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

// note counts a request to a target.
func (g *coldGate) note(t *roster.Entry, s route.Service, now time.Time) {
	if s.ColdRate <= 0 || !now.Before(t.ColdUntil) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent[t.ID] = append(g.recent(t.ID, now), now)
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
