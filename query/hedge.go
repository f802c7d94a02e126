package query

import (
	"context"
	"slices"
	"time"

	"kingcupcross/fault"
)

const (
	// graceShare is the part of the delay by which a keeper's reply may lag before the keeper itself counts as late.
	graceShare = 2
	// againShare is the part of the delay after which a hedge is tried again that the budget denied.
	againShare = 2
	// urgentFactor is how many delays a reply must be late before its hedge may use the budget's reserve.
	urgentFactor = 2
)

// tick hedges what is late, asks again for what the budget denied or what has moved, and sets the next alarm.
func (a *attempt) tick(ctx context.Context) {
	if denied := a.denied; len(denied) > 0 {
		a.denied = nil
		a.send(ctx, denied, paidRetry)
	}
	if !a.engine.policy.NoHedges && a.values.Hedge < 1 {
		a.hedge(ctx)
	}
	next := max(a.delay/againShare, shortestDelay)
	if wait := a.askMoved(ctx); wait > 0 {
		next = min(next, wait)
	}
	a.arm(next)
}

// hedge asks another replica for the shards of the flights that are late; a hedge itself may be hedged where a further replica is left.
func (a *attempt) hedge(ctx context.Context) {
	now := a.engine.clock.Now()
	var late, urgent []*flight
	for _, c := range a.calls {
		age := now.Sub(c.sent) - a.delay/graceShare
		if !c.late && age < a.delay {
			continue
		}
		for name, f := range c.flights {
			switch {
			case f.ended:
			case age < urgentFactor*a.delay:
				late = append(late, f)
			default:
				a.suspect(now, name, f)
				urgent = append(urgent, f)
			}
		}
	}
	if len(late) == 0 && len(urgent) == 0 {
		return
	}
	p := a.engine.planner(a.service, a.m)
	lateShards, urgentShards := a.hedgeable(p, late), a.hedgeable(p, urgent)
	a.send(ctx, urgentShards, urgentHedge)
	a.send(ctx, lateShards, hedge)
}

// suspect learns of a very late flight at once: the query may wait for it to its deadline, and others must not meet the same target meanwhile.
func (a *attempt) suspect(now time.Time, name string, f *flight) {
	if !f.suspected {
		f.suspected = true
		a.service.penalize(now, name, now.Sub(f.call.sent))
	}
}

// hedgeable returns, in order, the shards that only these flights can bring and that have another replica.
func (a *attempt) hedgeable(p *planner, flights []*flight) (shards []int) {
	for _, f := range flights {
		for _, s := range f.shards {
			if !a.merge.has(s) && a.pending[s] == 1 && p.replica(s, a.tried[s]) != nil {
				shards = append(shards, s)
			}
		}
	}
	slices.Sort(shards)
	return shards
}

// free reports whether a failure means that the target did no work, so that asking another isn't extra load.
func free(f *fault.Error) bool {
	return f != nil && f.NotRun() && f.Kind != fault.Overload && f.Kind != fault.TooLate
}

// arm sets the alarm to ring once after d.
func (a *attempt) arm(d time.Duration) {
	a.disarm()
	a.disarm = a.engine.clock.AfterFunc(d, func() {
		select {
		case a.alarm <- struct{}{}:
		default:
		}
	})
}
