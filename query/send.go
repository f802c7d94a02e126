package query

import (
	"context"
	"maps"
	"slices"
	"time"

	"kingcupcross/wire"
)

// replyMarginDivisor sets the part of the remaining time, a twentieth, that is withheld from a keeper so that its last
// reply can still arrive in time.
const replyMarginDivisor = 20

// send chooses a replica for each shard and sends the sub-requests that the budget allows. A shard without an untried
// replica waits for a handover or is recorded as missing.
func (a *attempt) send(ctx context.Context, shards []int, why purpose) {
	if len(shards) == 0 {
		return
	}
	p := a.engine.newPlanner(a.stats, a.shardMap)
	chosen := map[int][]int{}
	for _, s := range shards {
		c := p.chooseReplica(s, a.tried[s])
		if c == nil {
			if !a.awaitHandover(s) {
				a.noteNoReplica(s)
			}
			continue
		}
		chosen[c.target] = append(chosen[c.target], s)
	}
	a.applyBudget(chosen, why)
	a.launch(ctx, p, chosen)
}

// noteNoReplica records that a shard has no untried replica. If a target refused the snapshot for it, the query has to be
// planned again.
func (a *attempt) noteNoReplica(s int) {
	a.snapshotLost = a.snapshotLost || a.snapshotGone[s]
	if _, known := a.merger.reasons[s]; !known {
		a.merger.reasons[s] = "no replica can be reached"
	}
}

// applyBudget removes the sub-requests that the budget denies from chosen, which maps targets to shards, and counts the
// rest. Denied retries are kept in awaitingBudget; denied hedges are tried again when the timer fires.
func (a *attempt) applyBudget(chosen map[int][]int, why purpose) {
	switch {
	case why == firstPlan:
		a.stats.earnBudgets(len(chosen), a.settings.Extra)
	case why == lateHedge:
		a.spendBudget(chosen, a.stats.hedgeBudget, urgentReserve)
	case why == urgentHedge:
		a.spendBudget(chosen, a.stats.hedgeBudget, 0)
	case why == budgetedRetry:
		for _, shards := range a.spendBudget(chosen, a.stats.retryBudget, 0) {
			a.awaitingBudget = append(a.awaitingBudget, shards...)
		}
	}
	a.counts.add(len(chosen), why, len(a.plannedOn) > 1)
}

// spendBudget spends a token on each sub-request, removes those that the budget denies from chosen and returns their
// shards.
func (a *attempt) spendBudget(chosen map[int][]int, b *budget, reserve float64) (denied [][]int) {
	for _, t := range slices.Sorted(maps.Keys(chosen)) {
		if !b.spend(a.engine.clock.Now(), reserve) {
			denied = append(denied, chosen[t])
			delete(chosen, t)
		}
	}
	return denied
}

// launch sends the sub-requests, grouped into one Ask per keeper.
func (a *attempt) launch(ctx context.Context, p *planner, chosen map[int][]int) {
	calls := map[wire.HostID]*keeperCall{}
	now := a.engine.clock.Now()
	for _, t := range slices.Sorted(maps.Keys(chosen)) {
		replica := p.candidateFor(t)
		c := calls[replica.keeper.HostID]
		if c == nil {
			c = &keeperCall{
				id:          a.engine.newAskID(a.request),
				keeper:      replica.keeper,
				sentAt:      now,
				subRequests: map[string]*subRequest{},
			}
			calls[replica.keeper.HostID] = c
			a.calls = append(a.calls, c)
		}
		a.addSubRequest(c, replica, chosen[t])
	}
	for _, c := range calls {
		go a.engine.exchange(ctx, c, a.newAsk(c, now), a.replies)
	}
}

// addSubRequest adds a sub-request for the given shards at a target to a call.
func (a *attempt) addSubRequest(c *keeperCall, replica *candidate, shards []int) {
	c.subRequests[a.shardMap.Targets[replica.target].Name] = &subRequest{
		call:   c,
		target: replica.target,
		shards: shards,
	}
	a.openCount++
	for _, s := range shards {
		a.inFlight[s]++
		a.tried[s] = append(a.tried[s], triedReplica{target: replica.target, keeper: replica.keeper.HostID})
	}
}

// newAsk returns the message for a call, with the remaining time less a margin for the reply.
func (a *attempt) newAsk(c *keeperCall, now time.Time) wire.Ask {
	remaining := a.deadline.Sub(now)
	remaining -= remaining / replyMarginDivisor
	q := wire.Ask{
		ID:       c.id,
		From:     a.engine.board.Self.HostID,
		Service:  a.request.Service,
		Snapshot: a.shardMap.Snapshot(),
		Class:    a.request.Class,
		Left:     remaining,
		Soft:     min(a.hedgeDelay, remaining),
		Payload:  a.request.Payload,
	}
	for _, name := range slices.Sorted(maps.Keys(c.subRequests)) {
		q.Parts = append(q.Parts, wire.Part{Target: name, Shards: c.subRequests[name].shards})
	}
	return q
}

// exchange sends an Ask to a keeper and passes on its replies until the last one or until the attempt ends. After a partial
// reply it asks for the rest.
func (e *Engine) exchange(ctx context.Context, c *keeperCall, q wire.Ask, out chan<- keeperReply) {
	r, err := e.ask(ctx, c.keeper, q)
	for {
		select {
		case out <- keeperReply{call: c, message: r, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil || !r.Pending {
			return
		}
		r, err = e.askRest(ctx, c.keeper, wire.Rest{ID: q.ID})
	}
}

// cancelAnswered cancels the sub-requests whose shards have all been answered by other targets.
func (a *attempt) cancelAnswered() {
	for _, c := range a.calls {
		var targets []string
		for name, sr := range c.subRequests {
			if !sr.ended && a.allAnswered(sr) {
				a.abandonSubRequest(name, sr)
				targets = append(targets, name)
			}
		}
		if len(targets) > 0 {
			a.engine.cancelParts(c, targets)
		}
	}
}

func (a *attempt) allAnswered(sr *subRequest) bool {
	for _, s := range sr.shards {
		if !a.merger.answered(s) {
			return false
		}
	}
	return true
}

// abandonSubRequest ends a sub-request without a result. The time that it has taken so far is recorded for its target.
func (a *attempt) abandonSubRequest(name string, sr *subRequest) {
	sr.ended = true
	a.openCount--
	for _, s := range sr.shards {
		a.inFlight[s]--
	}
	now := a.engine.clock.Now()
	a.stats.recordAbandoned(now, name, now.Sub(sr.call.sentAt))
}

// cancelOutstanding cancels all sub-requests in flight. No message is sent once the deadline has passed, since keepers and
// targets then stop by themselves.
func (a *attempt) cancelOutstanding() {
	for _, c := range a.calls {
		var targets []string
		for name, sr := range c.subRequests {
			if !sr.ended {
				a.abandonSubRequest(name, sr)
				targets = append(targets, name)
			}
		}
		if len(targets) > 0 && a.engine.clock.Now().Before(a.deadline) {
			a.engine.cancelParts(c, targets)
		}
	}
}

// cancelTimeout limits the call that cancels sub-requests at a keeper.
const cancelTimeout = 100 * time.Millisecond

// cancelParts tells a keeper in the background to cancel the sub-requests to these targets.
func (e *Engine) cancelParts(c *keeperCall, targets []string) {
	go func() {
		ctx, cancel := e.clock.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if e.dropParts(ctx, c.keeper, wire.Drop{ID: c.id, Targets: targets}) != nil {
			e.scope.Counter("dropfailed").Inc(1)
		}
	}()
}
