package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"kingcupcross/pool"
	"kingcupcross/rank"
	"kingcupcross/roster"
)

// subRequest is one request sent to a target for a part.
type subRequest struct {
	part      *part
	target    *roster.Entry
	estimator *rank.Estimator
	// pending is the record of the sub-request in the estimator.
	pending *rank.PendingRequest
	sentAt  time.Time
	// reason is why it was sent.
	reason sendReason
	// ended is set once the result has been processed, brokenOff if the target ended the connection instead of replying.
	ended, brokenOff bool
	// uncounted is set once the sub-request no longer counts as load, because it has ended or is overdue.
	uncounted bool
	// hedgeAt is the time at which a hedge is considered.
	hedgeAt time.Time
}

// maxDialFailures is the number of targets per part that may be asked beyond the number of attempts because the sub-request did not reach the earlier ones.
const maxDialFailures = 4

// uncountInFlight removes a sub-request that has ended or is overdue from the load. Later calls have no effect.
func (q *query) uncountInFlight(sub *subRequest) {
	if !sub.uncounted {
		sub.uncounted = true
		q.engine.load.add(loadGroup(q.route, sub.part), -1)
	}
}

// sendFirst sends the first sub-request of a part and credits the budget of its service.
func (q *query) sendFirst(p *part, res *reservation, now time.Time) {
	q.engine.budgets.earn(p.service)
	q.send(p, res, now, reasonFirst)
}

// send sends a sub-request for a part with a reservation. The result arrives on q.results.
func (q *query) send(p *part, res *reservation, now time.Time, reason sendReason) {
	e, target, estimator := q.engine, res.target, res.estimator
	sub := &subRequest{
		part:      p,
		target:    target,
		estimator: estimator,
		pending:   estimator.BeginReserved(now),
		sentAt:    now,
		reason:    reason,
		hedgeAt:   now.Add(estimator.OverdueAfter(now)),
	}
	if q.route.Fanout() {
		if latest := q.latestHedgeTime(p, target, now); latest.Before(sub.hedgeAt) {
			sub.hedgeAt = latest
		}
	}
	if !slices.Contains(p.askedTargets, target.ID) {
		p.askedTargets = append(p.askedTargets, target.ID)
	}
	q.reportLeavingTarget(sub)
	q.reportRateLimitedSend(target, reason)
	p.reached++
	p.subRequests = append(p.subRequests, sub)
	q.noteTrial(sub)
	q.countInFlight(p)
	options := SendOptions{
		Deadline:     q.deadline,
		NewConn:      !q.route.Idempotent,
		Bounds:       q.responseBounds(),
		MaxIdleConns: e.maxIdleConns(q.config.Services[p.service]),
		// The target may have stated a limit since the reservation.
		StillAllowed: func() bool { return e.mayStillSend(target) && e.takeRate(res, e.clock.Now()) },
		OnNotice:     func(n TargetNotice) { e.handleNotice(target, n, now) },
	}
	go func() {
		reply, err := e.send(q.subCtx, target, q.request, options)
		var poolErr *pool.Error
		if errors.As(err, &poolErr) && !poolErr.Sent {
			res.refundRate()
		}
		estimator.End(sub.pending, e.clock.Now(), rankOutcome(q.subCtx, reply, err))
		q.results <- result{sub: sub, reply: reply, err: err}
	}()
}

// rankOutcome classifies the result of a sub-request for the target's statistics.
func rankOutcome(ctx context.Context, reply *Reply, err error) rank.Outcome {
	var poolErr *pool.Error
	switch {
	case err != nil && ctx.Err() != nil, errors.Is(err, pool.ErrNoLongerAllowed):
		return rank.Abandoned
	case errors.As(err, &poolErr) && !poolErr.Sent:
		return rank.Unreachable
	case errors.Is(err, pool.ErrResponseTooLong):
		// A target that sends an endless response is as useless as an unreachable one.
		return rank.Unreachable
	case errors.As(err, &poolErr) && poolErr.Late:
		return rank.Unanswered
	case err != nil:
		return rank.Failed
	case reply.WrongTarget:
		return rank.Unreachable
	case reply.NotRun || reply.Status >= 500 || reply.Signature == "":
		return rank.Failed
	default:
		return rank.Answered
	}
}
