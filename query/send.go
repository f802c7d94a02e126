package query

import (
	"context"
	"maps"
	"slices"
	"time"

	"kingcupcross/wire"
)

// reserveShare is the part of the time left that a keeper doesn't get, so that its last reply can still arrive.
const reserveShare = 20

// send asks a replica of each of the shards; a shard without one is noted as lost.
func (a *attempt) send(ctx context.Context, shards []int, why purpose) {
	if len(shards) == 0 {
		return
	}
	p := a.engine.planner(a.service, a.m)
	chosen := map[int][]int{}
	for _, s := range shards {
		c := p.replica(s, a.tried[s])
		if c == nil {
			if !a.awaitKeeper(s) {
				a.lose(s)
			}
			continue
		}
		chosen[c.target] = append(chosen[c.target], s)
	}
	a.afford(chosen, why)
	a.launch(ctx, p, chosen)
}

func (a *attempt) lose(s int) {
	a.stuck = a.stuck || a.gone[s]
	if _, known := a.merge.reasons[s]; !known {
		a.merge.reasons[s] = "no replica can be reached"
	}
}

// afford counts the sub-requests and takes out those for which there is no budget.
func (a *attempt) afford(chosen map[int][]int, why purpose) {
	switch {
	case why == first:
		a.service.planned(len(chosen), a.values.Extra)
	case why == hedge:
		a.pay(chosen, a.service.hedges, budgetReserve)
	case why == urgentHedge:
		a.pay(chosen, a.service.hedges, 0)
	case why == paidRetry:
		for _, shards := range a.pay(chosen, a.service.retries, 0) {
			a.denied = append(a.denied, shards...)
		}
	}
	a.load.add(len(chosen), why, len(a.planned) > 1)
}

// pay takes each sub-request from the budget and returns those for which there was no room.
func (a *attempt) pay(chosen map[int][]int, b *budget, reserve float64) (denied [][]int) {
	for _, t := range slices.Sorted(maps.Keys(chosen)) {
		if !b.spend(a.engine.clock.Now(), reserve) {
			denied = append(denied, chosen[t])
			delete(chosen, t)
		}
	}
	return denied
}

// launch groups the sub-requests by keeper and sends them.
func (a *attempt) launch(ctx context.Context, p *planner, chosen map[int][]int) {
	calls := map[wire.HostID]*call{}
	now := a.engine.clock.Now()
	for _, t := range slices.Sorted(maps.Keys(chosen)) {
		way := p.way(t)
		c := calls[way.keeper.HostID]
		if c == nil {
			c = &call{
				id:      a.engine.name(a.request),
				keeper:  way.keeper,
				sent:    now,
				flights: map[string]*flight{},
			}
			calls[way.keeper.HostID] = c
			a.calls = append(a.calls, c)
		}
		a.board(c, way, chosen[t])
	}
	for _, c := range calls {
		go a.engine.converse(ctx, c, a.message(c, now), a.replies)
	}
}

// board adds a flight to a call.
func (a *attempt) board(c *call, way *candidate, shards []int) {
	c.flights[a.m.Targets[way.target].Name] = &flight{
		call:   c,
		target: way.target,
		shards: shards,
	}
	a.open++
	for _, s := range shards {
		a.pending[s]++
		a.tried[s] = append(a.tried[s], try{target: way.target, keeper: way.keeper.HostID})
	}
}

func (a *attempt) message(c *call, now time.Time) wire.Ask {
	left := a.deadline.Sub(now)
	left -= left / reserveShare
	q := wire.Ask{
		ID:       c.id,
		From:     a.engine.board.Self.HostID,
		Service:  a.request.Service,
		Snapshot: a.m.Snapshot(),
		Class:    a.request.Class,
		Left:     left,
		Soft:     min(a.delay, left),
		Payload:  a.request.Payload,
	}
	for _, name := range slices.Sorted(maps.Keys(c.flights)) {
		q.Parts = append(q.Parts, wire.Part{Target: name, Shards: c.flights[name].shards})
	}
	return q
}

// converse asks a keeper and passes its replies on until all parts are done or the attempt has ended.
func (e *Engine) converse(ctx context.Context, c *call, q wire.Ask, out chan<- reply) {
	r, err := e.ask(ctx, c.keeper, q)
	for {
		select {
		case out <- reply{call: c, message: r, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil || !r.Pending {
			return
		}
		r, err = e.rest(ctx, c.keeper, wire.Rest{ID: q.ID})
	}
}

// dropLosers cancels the sub-requests whose shards have all been answered by others.
func (a *attempt) dropLosers() {
	for _, c := range a.calls {
		var targets []string
		for name, f := range c.flights {
			if !f.ended && a.answered(f) {
				a.landLost(name, f)
				targets = append(targets, name)
			}
		}
		if len(targets) > 0 {
			a.engine.cancel(c, targets)
		}
	}
}

func (a *attempt) answered(f *flight) bool {
	for _, s := range f.shards {
		if !a.merge.has(s) {
			return false
		}
	}
	return true
}

// landLost ends a flight that isn't waited for; its time so far is what is learned of its target.
func (a *attempt) landLost(name string, f *flight) {
	f.ended = true
	a.open--
	for _, s := range f.shards {
		a.pending[s]--
	}
	now := a.engine.clock.Now()
	a.service.lost(now, name, now.Sub(f.call.sent))
}

// abandon cancels all that is still under way; where the deadline has passed, keepers and targets stop by themselves.
func (a *attempt) abandon() {
	for _, c := range a.calls {
		var targets []string
		for name, f := range c.flights {
			if !f.ended {
				a.landLost(name, f)
				targets = append(targets, name)
			}
		}
		if len(targets) > 0 && a.engine.clock.Now().Before(a.deadline) {
			a.engine.cancel(c, targets)
		}
	}
}

// dropTimeout bounds the call that cancels sub-requests.
const dropTimeout = 100 * time.Millisecond

func (e *Engine) cancel(c *call, targets []string) {
	go func() {
		ctx, cancel := e.clock.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		if e.drop(ctx, c.keeper, wire.Drop{ID: c.id, Targets: targets}) != nil {
			e.scope.Counter("dropfailed").Inc(1)
		}
	}()
}
