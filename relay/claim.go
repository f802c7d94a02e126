package relay

import (
	"slices"
	"time"

	"kingcupcross/rank"
	"kingcupcross/roster"
	"kingcupcross/route"
)

// claim is the permission to send one sub-request to a target.
//
// It is taken in one step with the check of each limit that depends on what other requests have under way, so that two requests that choose at the same time can't both get the last place; it ends when the sub-request is launched or the claim is released.
type claim struct {
	to   *roster.Entry
	rank *rank.Estimator
	// estimate is the time that the sub-request is expected to take.
	estimate time.Duration
	// at is the time that the claim counts from at a cold target.
	at time.Time
}

// claimFastest claims the target of a part that is expected to answer first of those that may be asked, or returns nil.
func (q *run) claimFastest(p *part, now time.Time, may func(*roster.Entry) bool) *claim {
	p.full = false
	var taken []string
	for {
		to := q.fastest(p, now, func(t *roster.Entry) bool {
			return may(t) && !slices.Contains(taken, t.ID)
		})
		if to == nil {
			return nil
		}
		c, full := q.engine.claim(to, q.config.Services[p.service], now)
		if c != nil {
			return c
		}
		p.full = p.full || full
		taken = append(taken, to.ID)
	}
}

// claim takes the permission to send a sub-request to a target; full says that there is none because this host has enough under way there.
func (e *Engine) claim(t *roster.Entry, s route.Service, now time.Time) (c *claim, full bool) {
	most := e.conns(s)
	ramped := e.ramped(t, now)
	if ramped {
		most = 1
	}
	r := e.rank(t)
	c = &claim{
		to:       t,
		rank:     r,
		estimate: r.Estimate(now, t.Slots),
		at:       now,
	}
	if !r.Reserve(most) {
		return nil, !ramped
	}
	if !e.cold.take(t, s, now) {
		r.Release()
		return nil, false
	}
	return c, false
}

// release gives claims back that nothing is sent with; nil ones are passed over.
func (e *Engine) release(all ...*claim) {
	for _, c := range all {
		if c != nil {
			c.rank.Release()
			e.cold.giveBack(c.to, c.at)
		}
	}
}
