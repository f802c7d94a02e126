package query

import (
	"context"
	"slices"
	"time"

	"kingcupcross/fault"
)

const (
	// keeperGraceDivisor sets how long a keeper's partial reply may take beyond the hedge delay before the keeper itself
	// counts as late: a half of the delay.
	keeperGraceDivisor = 2
	// hedgeRetryDivisor sets when a hedge that the budget denied is tried again: after a half of the hedge delay.
	hedgeRetryDivisor = 2
	// urgentFactor is the number of hedge delays after which a hedge may use the budget's reserve.
	urgentFactor = 2
)

// onTimer hedges late sub-requests, sends shards again that waited for the budget or for a handover, and sets the timer.
func (a *attempt) onTimer(ctx context.Context) {
	if denied := a.awaitingBudget; len(denied) > 0 {
		a.awaitingBudget = nil
		a.send(ctx, denied, budgetedRetry)
	}
	if !a.engine.policy.NoHedges && a.settings.Hedge < 1 {
		a.hedgeLate(ctx)
	}
	next := max(a.hedgeDelay/hedgeRetryDivisor, minHedgeDelay)
	if wait := a.resendAfterHandover(ctx); wait > 0 {
		next = min(next, wait)
	}
	a.setTimer(next)
}

// hedgeLate asks other replicas for the shards of late sub-requests. A hedge is itself hedged if another replica is left.
func (a *attempt) hedgeLate(ctx context.Context) {
	now := a.engine.clock.Now()
	var late, urgent []*subRequest
	for _, c := range a.calls {
		elapsed := now.Sub(c.sentAt) - a.hedgeDelay/keeperGraceDivisor
		if !c.late && elapsed < a.hedgeDelay {
			continue
		}
		for name, sr := range c.subRequests {
			switch {
			case sr.ended:
			case elapsed < urgentFactor*a.hedgeDelay:
				late = append(late, sr)
			default:
				a.penalizeOverdue(now, name, sr)
				urgent = append(urgent, sr)
			}
		}
	}
	if len(late) == 0 && len(urgent) == 0 {
		return
	}
	p := a.engine.newPlanner(a.stats, a.shardMap)
	lateShards, urgentShards := a.hedgeable(p, late), a.hedgeable(p, urgent)
	a.send(ctx, urgentShards, urgentHedge)
	a.send(ctx, lateShards, lateHedge)
}

// penalizeOverdue raises the target's latency estimate while a very late sub-request is still in flight: this query may
// wait for it until its deadline, and other queries should avoid the target meanwhile.
func (a *attempt) penalizeOverdue(now time.Time, name string, sr *subRequest) {
	if !sr.penalized {
		sr.penalized = true
		a.stats.penalize(now, name, now.Sub(sr.call.sentAt))
	}
}

// hedgeable returns, in ascending order, the unanswered shards of these sub-requests that no other sub-request is in
// flight for and that have an untried replica.
func (a *attempt) hedgeable(p *planner, subRequests []*subRequest) (shards []int) {
	for _, sr := range subRequests {
		for _, s := range sr.shards {
			if !a.merger.answered(s) && a.inFlight[s] == 1 && p.chooseReplica(s, a.tried[s]) != nil {
				shards = append(shards, s)
			}
		}
	}
	slices.Sort(shards)
	return shards
}

// didNoWork reports whether a failure means that the target did no work, so that a retry adds no load.
func didNoWork(f *fault.Error) bool {
	return f != nil && f.NotRun() && f.Kind != fault.Overload && f.Kind != fault.TooLate
}

// setTimer restarts the attempt's timer, which fires once after d.
func (a *attempt) setTimer(d time.Duration) {
	a.stopTimer()
	a.stopTimer = a.engine.clock.AfterFunc(d, func() {
		select {
		case a.timerFired <- struct{}{}:
		default:
		}
	})
}
