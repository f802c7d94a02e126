package relay

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcross/roster"
)

// StatedRate is what one response says about the target's rate limit.
type StatedRate struct {
	// Known is set if the response shows whether the target has a limit. A malformed value doesn't, nor does a response of another target.
	Known bool
	// Limited is set if the target states a limit.
	Limited bool
	// PerSecond is the limit in requests per second, for all hosts together.
	PerSecond float64
}

// recordStatedRate records what a response to a sub-request that was sent at sentAt says about the target's rate limit.
func (e *Engine) recordStatedRate(t *roster.Entry, s StatedRate, sentAt, now time.Time) {
	if !s.Known {
		return
	}
	if r := e.rates.of(t); r != nil && !s.Limited && r.heardSince(sentAt) {
		// The target may have prepared this response before it stated the limit.
		return
	}
	e.setRateLimit(t, s.Limited, s.PerSecond, now, originTarget)
}

// setRateLimit records a target's limit, or its end, as of a time. The end of a limit that isn't known is ignored.
func (e *Engine) setRateLimit(t *roster.Entry, limited bool, perSecond float64, heardAt time.Time, origin string) {
	r := e.rates.of(t)
	if r == nil && limited {
		r = e.rates.add(t.ID, t.Service, t.Born)
	}
	if r != nil && r.set(limited, perSecond, heardAt) {
		e.reportRateLimit(r, limited, perSecond, origin)
	}
}

// reportRateLimit counts and logs a rate limit that was stated, has changed or has ended.
func (e *Engine) reportRateLimit(r *targetRate, limited bool, perSecond float64, origin string) {
	message := "target stated a rate limit"
	if !limited {
		message = "rate limit of target ended"
	}
	e.scope.Tagged(map[string]string{"origin": origin}).Counter("rate_limit_changes").Inc(1)
	e.log.Info(message,
		zap.String("target", r.id),
		zap.String("service", r.service),
		zap.String("origin", origin),
		zap.Float64("per_second", perSecond))
}

// export returns the limit as it is passed on to other hosts. The caller must hold r.mu.
func (r *targetRate) export(now time.Time) roster.RateLimit {
	return roster.RateLimit{
		ID:        r.id,
		Born:      r.born,
		Limited:   r.limited,
		PerSecond: r.perSecond,
		Age:       now.Sub(r.heardAt),
	}
}

// maxSharedRateLimits is the number of rate limits passed on to a host at a time, which bounds the size of the message.
const maxSharedRateLimits = 1024

// RateLimits returns the rate limits known here, and those that ended recently, to be passed on to other hosts.
func (e *Engine) RateLimits() []roster.RateLimit {
	now := e.clock.Now()
	var all []roster.RateLimit
	for _, r := range e.rates.all() {
		r.mu.Lock()
		all = append(all, r.export(now))
		r.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b roster.RateLimit) int { return cmp.Compare(a.ID, b.ID) })
	return all[:min(len(all), maxSharedRateLimits)]
}

// LearnRateLimits records rate limits that other hosts know. Those of targets that aren't in the roster are ignored.
func (e *Engine) LearnRateLimits(all []roster.RateLimit) {
	now, view := e.clock.Now(), e.state.View()
	for _, l := range all {
		entry := view.Entries[l.ID]
		if entry == nil || !entry.Born.Equal(l.Born) || l.Validate() != nil {
			continue
		}
		e.setRateLimit(entry, l.Limited, l.PerSecond, now.Add(-l.Age), originHost)
	}
}

// sendReason is why a sub-request is sent.
type sendReason string

// Reasons for sending a sub-request.
const (
	reasonFirst sendReason = "first"
	reasonHedge sendReason = "hedge"
	reasonRetry sendReason = "retry"
)

// reportRateLimitedSend counts a sub-request to a target that states a rate limit.
func (q *query) reportRateLimitedSend(t *roster.Entry, reason sendReason) {
	if !q.engine.rates.of(t).isLimited() {
		return
	}
	caller := "own"
	if q.request.Origin != "" {
		caller = "host"
	}
	q.engine.scope.Tagged(map[string]string{"reason": string(reason), "caller": caller}).Counter("rate_limited_sends").Inc(1)
}
