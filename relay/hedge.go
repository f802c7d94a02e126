package relay

import (
	"time"

	"kingcupcross/roster"
)

const (
	// hedgeLoadShare is the fraction of the concurrency limit above which no hedges are sent: their extra load would then delay more answers than they speed up.
	hedgeLoadShare = 0.25
	// hedgeMargin is how long before the latest time at which its reply would still be in time a hedge is sent, to allow for jitter in transit and processing.
	hedgeMargin = 8 * time.Millisecond
	// hedgeRecheck is the time after which a hedge that was not possible is considered again.
	hedgeRecheck = 10 * time.Millisecond
)

// onlyOpen returns the only sub-request of the part that is still open, or nil if there is none or more than one.
func (p *part) onlyOpen() *subRequest {
	var open *subRequest
	for _, f := range p.subRequests {
		switch {
		case f.ended:
		case open != nil:
			return nil
		default:
			open = f
		}
	}
	return open
}

// hedge sends a sub-request for an overdue part to another target, or records why it cannot.
func (q *query) hedge(p *part, now time.Time) {
	if q.route.Fanout() && q.tooBusyToHedge(p) {
		p.recordUnhedged(lossBusy)
		return
	}
	if !q.mayTryAnother(now) {
		p.recordUnhedged(lossUnanswered)
		return
	}
	res := q.reserveNewTarget(p, now)
	if res == nil {
		p.recordUnhedged(lossNoOtherTarget)
		return
	}
	replyAt := now.Add(res.estimate)
	// A merged answer is sent at the objective, so a reply after it would not be used.
	tooLate := q.route.Fanout() && now.Before(q.objective) && replyAt.After(q.objective)
	if tooLate || replyAt.After(q.deadline) {
		p.recordUnhedged(lossTooLate)
		q.engine.release(res)
		return
	}
	if !q.spendBudget(p) {
		p.recordUnhedged(lossNoBudget)
		q.engine.release(res)
		return
	}
	q.hedges++
	q.send(p, res, now, reasonHedge)
}

// latestHedgeTime returns the latest time at which another target can be asked and still answer by the objective. It returns the deadline if there is no other target, if the part has a sub-request already, or if that time is too early to tell whether the first target is slow.
func (q *query) latestHedgeTime(p *part, first *roster.Entry, now time.Time) time.Time {
	if len(p.subRequests) > 0 {
		return q.deadline
	}
	other := q.fastestTarget(p, now, func(t *roster.Entry) bool { return t.ID != first.ID })
	if other == nil {
		return q.deadline
	}
	latest := q.objective.Add(-q.engine.estimatorOf(other).Estimate(now, other.Slots) - hedgeMargin)
	if latest.Sub(now) < q.engine.estimatorOf(first).UsualLatency() {
		return q.deadline
	}
	return latest
}

// tooBusyToHedge reports whether the sub-requests in flight exceed hedgeLoadShare of the concurrency limit.
func (q *query) tooBusyToHedge(p *part) bool {
	return float64(q.engine.load.inFlightCount(loadGroup(q.route, p))) > hedgeLoadShare*q.admissionLimit
}
