package relay

import (
	"maps"
	"sync"
	"sync/atomic"
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

// rateLimiter holds the rate limits that targets state for all hosts together.
type rateLimiter struct {
	// mu serializes the addition and removal of targets. Readers load the map without it.
	mu      sync.Mutex
	targets atomic.Pointer[map[string]*targetRate]
}

// targetRate is the rate limit of one process of a target.
type targetRate struct {
	id, service string
	born        time.Time

	mu        sync.Mutex
	limited   bool
	perSecond float64
	// heardAt is when the latest response that shows the limit or its end was received, by this host or another one.
	heardAt time.Time
}

// all returns the targets with a rate limit, and those whose limit ended recently.
func (l *rateLimiter) all() map[string]*targetRate {
	if p := l.targets.Load(); p != nil {
		return *p
	}
	return nil
}

// of returns the rate limit of a target's current process, or nil if it has never stated one.
func (l *rateLimiter) of(t *roster.Entry) *targetRate {
	if r := l.all()[t.ID]; r != nil && r.born.Equal(t.Born) {
		return r
	}
	return nil
}

// add returns the rate limit of a target's process and creates it if there is none. It returns nil if a later process is known.
func (l *rateLimiter) add(id, service string, born time.Time) *targetRate {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.all()
	if r := old[id]; r != nil && !r.born.Before(born) {
		if r.born.Equal(born) {
			return r
		}
		return nil
	}
	next := make(map[string]*targetRate, len(old)+1)
	maps.Copy(next, old)
	r := &targetRate{id: id, service: service, born: born}
	next[id] = r
	l.targets.Store(&next)
	return r
}

// retain deletes the rate limits that keep rejects.
func (l *rateLimiter) retain(keep func(*targetRate) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.all())
	maps.DeleteFunc(next, func(_ string, r *targetRate) bool { return !keep(r) })
	if len(next) < len(l.all()) {
		l.targets.Store(&next)
	}
}

// set records the limit, or its end, as of a time and reports whether it differs from the one before. An older statement is ignored.
func (r *targetRate) set(limited bool, perSecond float64, heardAt time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if heardAt.Before(r.heardAt) {
		return false
	}
	changed = limited != r.limited || perSecond != r.perSecond
	r.limited, r.perSecond, r.heardAt = limited, perSecond, heardAt
	return changed
}

// isLimited reports whether the target states a limit at present.
func (r *targetRate) isLimited() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limited
}

// heardSince reports whether the limit was stated at or after a time.
func (r *targetRate) heardSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heardAt.After(t)
}

// recordStatedRate records what a response to a sub-request that was sent at sentAt says about the target's rate limit.
func (e *Engine) recordStatedRate(t *roster.Entry, s StatedRate, sentAt, now time.Time) {
	if !s.Known {
		return
	}
	r := e.rates.of(t)
	if !s.Limited && (r == nil || r.heardSince(sentAt)) {
		// The target may have prepared this response before it stated the limit.
		return
	}
	if r == nil {
		if r = e.rates.add(t.ID, t.Service, t.Born); r == nil {
			return
		}
	}
	if r.set(s.Limited, s.PerSecond, now) {
		e.reportRateLimit(r, s.Limited, s.PerSecond, originTarget)
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
