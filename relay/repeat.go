package relay

import (
	"time"
)

const (
	// saturatedRetryInterval is the interval at which a target is looked for again while this host has as many sub-requests in flight at each one as it may. It is about the duration of a short sub-request.
	saturatedRetryInterval = 4 * time.Millisecond
	// repeatDelay is the delay before a target that failed is asked again. It doubles with each sub-request of the part.
	repeatDelay = 5 * time.Millisecond
	// earlyRefusalDivisor sets when a request that no target has begun is given up: after the latency objective divided by it.
	earlyRefusalDivisor = 4
	// maxRepeats is the number of sub-requests that a part may have beyond its number of attempts.
	maxRepeats = 2
)

// isFinal reports whether a reply ends its part: a success, or, for a single-service request, also an error that another target would repeat. An error without a signature is no target's: another server may have taken the address of one that has ended.
func (q *query) isFinal(r *Reply) bool {
	if r.Success() {
		return true
	}
	return !q.route.Fanout() && r.Signature != "" && !r.NotRun && !r.WrongTarget && r.Status >= 300 && r.Status < 500 && r.Status != 408 && r.Status != 429
}

// retryAfterFailure asks another target after a failed sub-request, if there is one and the budget allows it. Otherwise, once no sub-request of the part is open, it schedules a retry at a target that was already asked, or marks the part as lost. Both kinds of retry require that the request is idempotent or did not run.
func (q *query) retryAfterFailure(p *part, notRun bool) {
	now := q.engine.clock.Now()
	if notRun || q.route.Idempotent {
		res := q.reserveNewTarget(p, now)
		if res != nil && now.Before(q.deadline) && q.spendBudget(p) {
			q.retries++
			q.send(p, res, now, reasonRetry)
			return
		}
		q.engine.release(res)
	}
	if p.openCount() > 0 {
		return
	}
	at := now.Add(repeatDelay << (len(p.subRequests) - 1))
	if (notRun || q.route.Idempotent) && q.maySendAt(at) && q.canRepeat(p, now) {
		p.retryAt = at
		return
	}
	q.markLost(p)
}

// maySendAt reports whether a sub-request may still be sent at the given time. A request that no target has begun is given up early, so that the caller has time to retry elsewhere.
func (q *query) maySendAt(at time.Time) bool {
	return at.Before(q.deadline) && (q.mayHaveRun() || at.Sub(q.start) < q.route.Aim/earlyRefusalDivisor)
}

// sendDueRetry sends the scheduled retry of a part. While the part's targets are saturated it schedules the retry again; if no retry is possible it marks the part as lost.
func (q *query) sendDueRetry(p *part, now time.Time) {
	p.retryAt = time.Time{}
	if len(p.subRequests) == 0 {
		// Nothing has been sent for the part yet, because its targets are saturated.
		switch res := q.reserveNewTarget(p, now); {
		case res != nil:
			q.sendFirst(p, res, now)
		case p.saturated && q.maySendAt(now):
			p.retryAt = now.Add(saturatedRetryInterval)
		default:
			q.markLost(p)
		}
		return
	}
	res := q.reserveAskedTarget(p, now)
	switch {
	case res == nil && p.saturated && q.maySendAt(now):
		p.retryAt = now.Add(saturatedRetryInterval)
	case res == nil || !q.spendBudget(p):
		q.engine.release(res)
		q.markLost(p)
	default:
		q.retries++
		q.send(p, res, now, reasonRetry)
	}
}

// spendBudget takes a token for another sub-request of a part and reports whether it may be sent. Sub-requests are free until one has reached a target, from here or from a delegate.
func (q *query) spendBudget(p *part) bool {
	return (p.reached == 0 && !p.refusedByDelegate) || q.engine.budgets.spend(p.service)
}
