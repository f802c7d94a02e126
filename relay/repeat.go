package relay

import (
	"time"
)

const (
	// waitStep is the time after which a target is looked for again where this host has as much under way at each as it may: about that of a short sub-request.
	waitStep = 4 * time.Millisecond
	// repeatDelay is the time before a target that failed is asked again, doubled with each sub-request.
	repeatDelay = 5 * time.Millisecond
	// earlyShare is the part of the latency objective within which a request that nobody has begun is given up on.
	earlyShare = 4
	// repeats bounds the sub-requests of a part beyond the number of targets that it may be sent to.
	repeats = 2
)

// final reports whether a reply ends its part: a success, or for a request to one service also a refusal that another target would repeat.
func (q *run) final(r *Reply) bool {
	if r.Success() {
		return true
	}
	return !q.route.Fanout() && !r.NotRun && !r.Misplaced && r.Status >= 300 && r.Status < 500 && r.Status != 408 && r.Status != 429
}

// again asks another target after a failure, or the same one a little later where there is no other, if that is allowed.
func (q *run) again(p *part, notRun bool) {
	now := q.engine.clock.Now()
	if notRun || q.route.Idempotent {
		c := q.choose(p, now)
		if c != nil && now.Before(q.end) && q.pay(p) {
			q.retries++
			q.launch(p, c, now)
			return
		}
		q.engine.release(c)
	}
	if p.open() > 0 {
		return
	}
	at := now.Add(repeatDelay << (len(p.flights) - 1))
	if (notRun || q.route.Idempotent) && q.worthwhile(at) && q.mayRepeat(p, now) {
		p.retryAt = at
		return
	}
	q.lose(p)
}

// worthwhile reports whether a sub-request may still be sent at a time: a request that no target has begun is refused early enough to come back in time.
func (q *run) worthwhile(at time.Time) bool {
	return at.Before(q.end) && (q.mayHaveRun() || at.Sub(q.start) < q.route.Aim/earlyShare)
}

// repeat asks a target again whose time has come.
func (q *run) repeat(p *part, now time.Time) {
	p.retryAt = time.Time{}
	if len(p.flights) == 0 {
		// The part waits for room at its targets.
		switch c := q.choose(p, now); {
		case c != nil:
			q.begin(p, c, now)
		case p.full && q.worthwhile(now):
			p.retryAt = now.Add(waitStep)
		default:
			q.lose(p)
		}
		return
	}
	c := q.repeated(p, now)
	switch {
	case c == nil && p.full && q.worthwhile(now):
		p.retryAt = now.Add(waitStep)
	case c == nil || !q.pay(p):
		q.engine.release(c)
		q.lose(p)
	default:
		q.retries++
		q.launch(p, c, now)
	}
}

// pay takes a sub-request from the budget unless none has reached a target of the part yet.
func (q *run) pay(p *part) bool {
	return (p.reached == 0 && !p.offered) || q.engine.budgets.spend(p.service)
}
