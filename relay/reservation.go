package relay

import (
	"slices"
	"time"

	"kingcupcross/rank"
	"kingcupcross/roster"
	"kingcupcross/route"
)

// reservation is the permission to send one sub-request to a target.
//
// Reserving checks and updates the limits on concurrent work at the target in one step, so that two concurrent requests cannot both take the last free place within a limit. A reservation ends when its sub-request is sent or when it is released.
type reservation struct {
	target    *roster.Entry
	estimator *rank.Estimator
	// estimate is the expected latency of the sub-request.
	estimate time.Duration
	// reservedAt is the time under which the cold limiter has counted the sub-request.
	reservedAt time.Time
	// limit is the rate limit towards which the sub-request counts, nil if it doesn't.
	limit *targetRate
}

// reserveFastest reserves a sub-request at the eligible target of a part that is expected to answer first, or returns nil. It sets p.saturated if one of the targets was saturated.
func (q *query) reserveFastest(p *part, now time.Time, eligible func(*roster.Entry) bool) *reservation {
	p.saturated = false
	var tried []string
	for {
		t := q.fastestTarget(p, now, func(t *roster.Entry) bool {
			return eligible(t) && !slices.Contains(tried, t.ID)
		})
		if t == nil {
			return nil
		}
		res, saturated := q.engine.reserve(t, q.config.Services[p.service], now)
		if res != nil {
			return res
		}
		p.saturated = p.saturated || saturated
		tried = append(tried, t.ID)
	}
}

// reserve reserves a sub-request at a target. If the reservation fails, saturated reports whether the reason is the number of sub-requests that this host has in flight there; a target that resumes after a backoff does not count as saturated.
func (e *Engine) reserve(t *roster.Entry, s route.Service, now time.Time) (res *reservation, saturated bool) {
	limit := e.maxConcurrentPerTarget(s)
	resuming := e.resuming(t, now)
	if resuming {
		limit = 1
	}
	estimator := e.estimatorOf(t)
	res = &reservation{
		target:     t,
		estimator:  estimator,
		estimate:   estimator.Estimate(now, t.Slots),
		reservedAt: now,
	}
	if !estimator.Reserve(limit) {
		return nil, !resuming
	}
	if !e.cold.tryTake(t, s, now) {
		estimator.Release()
		return nil, false
	}
	if !e.takeRate(res, now) {
		e.release(res)
		return nil, false
	}
	return res, false
}

// release returns reservations for which no sub-request is sent; nil entries are skipped.
func (e *Engine) release(all ...*reservation) {
	for _, res := range all {
		if res != nil {
			res.estimator.Release()
			e.cold.refund(res.target, res.reservedAt)
			res.refundRate()
		}
	}
}
