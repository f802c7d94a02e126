package relay

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/roster"
)

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
	// tokens pay for one sub-request each; they were last refilled at refilledAt.
	tokens     float64
	refilledAt time.Time
	// wanted counts the parts, since the last renewal of the share, that the target could have answered; demand is their average rate per second as of demandAt.
	wanted   int
	demand   float64
	demandAt time.Time
	// promisedAt is the latest time for which a refused caller was told to come back.
	promisedAt time.Time
}

const (
	// maxTokensTime is the time after which a host's tokens no longer accumulate.
	maxTokensTime = time.Second
	// minHostRate is the lowest rate, in requests per second, at which a host uses its share of a limit. Each host can save one token; with lower rates, the hosts' saved tokens together could exceed what a target tolerates at once.
	minHostRate = 0.5
	// minTargetRate is the lowest rate, in requests per second, that is used over all hosts even if a target accepts less: its responses show when it accepts more.
	minTargetRate = 0.25
)

// UsableRateShare reports whether a share of a limit is large enough to be used. The whole limit is used however low it is.
func UsableRateShare(share, perSecond float64) bool {
	return hostRate(share, perSecond) > 0
}

// hostRate returns the rate at which a host may send with its share of a limit.
func hostRate(share, perSecond float64) float64 {
	switch rate := share * perSecond; {
	case share >= 1:
		return max(rate, minTargetRate)
	case rate < minHostRate:
		return 0
	default:
		return rate
	}
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

// endedRateRetention is how long the end of a limit is remembered, to be passed on to hosts that know the limit.
const endedRateRetention = 10 * time.Second

// prune deletes the limits of target processes that no longer exist, and those that ended some time ago.
func (l *rateLimiter) prune(view *roster.View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.all())
	maps.DeleteFunc(next, func(id string, r *targetRate) bool {
		entry := view.Entries[id]
		return entry == nil || !entry.Born.Equal(r.born) || r.endedBefore(now.Add(-endedRateRetention))
	})
	if len(next) < len(l.all()) {
		l.targets.Store(&next)
	}
}

// endedBefore reports whether the limit ended before a time.
func (r *targetRate) endedBefore(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.limited && r.heardAt.Before(t)
}

// refill adds the tokens for the time since the last refill at the host's rate. The caller must hold r.mu.
func (r *targetRate) refill(rate float64, now time.Time) {
	elapsed := max(now.Sub(r.refilledAt), 0)
	r.refilledAt = now
	if rate == 0 {
		r.tokens = 0
		return
	}
	r.tokens = min(r.tokens+rate*elapsed.Seconds(), maxTokens(rate))
}

// maxTokens returns the number of tokens that a host can save.
func maxTokens(rate float64) float64 {
	return max(rate*maxTokensTime.Seconds(), 1)
}

// tryTake takes a token if the target states a limit. It reports whether a token was taken, and whether the sub-request may be sent.
func (r *targetRate) tryTake(share float64, now time.Time) (taken, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return false, true
	}
	r.refill(hostRate(share, r.perSecond), now)
	if r.tokens < 1 {
		return false, false
	}
	r.tokens--
	return true, true
}

// refund returns the token of a sub-request that was not sent.
func (r *targetRate) refund() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
}

// rateState is how many sub-requests the rate limit of a target allows this host at present.
type rateState int

const (
	// rateOpen: any number, or more than the one that is kept for hedges.
	rateOpen rateState = iota
	// rateLast: the one that is kept for hedges and for parts that no other target answers in time.
	rateLast
	// rateClosed: none.
	rateClosed
)

// state returns how many sub-requests the limit allows; it takes no token.
func (r *targetRate) state(share float64, now time.Time) rateState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return rateOpen
	}
	rate := hostRate(share, r.perSecond)
	r.refill(rate, now)
	switch {
	case r.tokens < 1:
		return rateClosed
	case r.tokens < 2 && maxTokens(rate) >= 2:
		return rateLast
	default:
		return rateOpen
	}
}

// shareRetryAfter is the retry delay told to callers while this host has no share of a limit, in which it may get one.
const shareRetryAfter = time.Second

// nextTokenAt returns the time of the next token that hasn't been promised to a refused caller, and the interval between tokens. The caller must hold r.mu.
func (r *targetRate) nextTokenAt(share float64, now time.Time) (at time.Time, interval time.Duration) {
	rate := hostRate(share, r.perSecond)
	r.refill(rate, now)
	if rate == 0 {
		return now.Add(shareRetryAfter), 0
	}
	interval = time.Duration(float64(time.Second) / rate)
	at = now.Add(time.Duration(max(1-r.tokens, 0) * float64(interval)))
	if next := r.promisedAt.Add(interval); next.After(at) {
		at = next
	}
	return at, interval
}

// promise returns the time at which a refused caller is to come back, and reserves it if it is before the caller's deadline.
func (r *targetRate) promise(share float64, now, deadline time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, interval := r.nextTokenAt(share, now)
	if interval > 0 && at.Before(deadline) {
		r.promisedAt = at
	}
	return at
}

// availableAt returns the time at which the limit allows a sub-request that hasn't been promised to another caller.
func (r *targetRate) availableAt(share float64, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, _ := r.nextTokenAt(share, now)
	return at
}

// rateShare returns the share of a target's rate limit that this host may use.
func (e *Engine) rateShare(t *roster.Entry) float64 {
	if e.state.RateShare == nil {
		return e.state.LimitsShare()
	}
	return e.state.RateShare(t.ID, t.Born)
}

// rateStateOf returns how many sub-requests the rate limit of a target allows this host at present.
func (e *Engine) rateStateOf(t *roster.Entry, now time.Time) rateState {
	r := e.rates.of(t)
	if r == nil {
		return rateOpen
	}
	return r.state(e.rateShare(t), now)
}

// takeRate counts a reserved sub-request towards its target's rate limit, unless it was counted before, and reports whether the limit allows it.
func (e *Engine) takeRate(res *reservation, now time.Time) bool {
	r := e.rates.of(res.target)
	if r == nil || res.limit != nil {
		return true
	}
	taken, allowed := r.tryTake(e.rateShare(res.target), now)
	if taken {
		res.limit = r
	}
	return allowed
}

// refundRate returns the token of a reservation that ends without a sub-request.
func (res *reservation) refundRate() {
	if res.limit != nil {
		res.limit.refund()
		res.limit = nil
	}
}

// statedRate returns the rate limit that a target states, and whether it states one.
func (e *Engine) statedRate(t *roster.Entry) (perSecond float64, limited bool) {
	r := e.rates.of(t)
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.perSecond, r.limited
}

// rateRetryAt returns when a caller refused for the targets' rate limits is to come back: once enough parts can be answered again. It returns the zero time if rate limits are not the reason.
func (q *query) rateRetryAt(now time.Time) time.Time {
	e := q.engine
	type opening struct {
		target *roster.Entry
		at     time.Time
	}
	var openings []opening
	unavailable := 0
	for _, p := range q.parts {
		if q.fastestTarget(p, now, func(*roster.Entry) bool { return true }) != nil {
			continue
		}
		unavailable++
		var first opening
		for _, t := range e.usableTargets(p.service, now) {
			r := e.rates.of(t)
			if !r.isLimited() {
				continue
			}
			if at := r.availableAt(e.rateShare(t), now); first.target == nil || at.Before(first.at) {
				first = opening{target: t, at: at}
			}
		}
		if first.target != nil {
			openings = append(openings, first)
		}
	}
	required := unavailable - (len(q.parts) - q.needed)
	if required < 1 || required > len(openings) {
		return time.Time{}
	}
	slices.SortFunc(openings, func(a, b opening) int { return a.at.Compare(b.at) })
	t := openings[required-1].target
	r := e.rates.of(t)
	if r == nil {
		return time.Time{}
	}
	return r.promise(e.rateShare(t), now, q.deadline)
}

// set records the limit, or its end, as of a time and reports whether it differs from the one before. An older statement is ignored.
func (r *targetRate) set(limited bool, perSecond float64, heardAt time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if heardAt.Before(r.heardAt) {
		return false
	}
	if limited && !r.limited {
		r.tokens, r.refilledAt = 0, heardAt
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
