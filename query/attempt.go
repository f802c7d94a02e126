package query

import (
	"context"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// attempt executes one plan of a query on one snapshot. It is owned by one goroutine.
type attempt struct {
	*execution
	shardMap *shard.Map
	merger   *merger
	// tried lists the replicas that each shard was sent to.
	tried [][]triedReplica
	// inFlight is the number of sub-requests in flight for each shard.
	inFlight []int
	calls    []*keeperCall
	// openCount is the number of sub-requests in flight.
	openCount int
	// awaitingBudget lists the shards whose retry the budget denied; they are retried when the timer fires.
	awaitingBudget []int
	// awaitingHandover lists the shards that wait until one of their targets has been handed over to another keeper.
	awaitingHandover []int
	// handoverAt is the earliest time at which they are sent again.
	handoverAt time.Time
	// newerSnapshots are the snapshots that targets named when they refused this one as too old.
	newerSnapshots []shard.Snapshot
	// snapshotGone says for each shard whether a target refused this snapshot for it.
	snapshotGone []bool
	// snapshotLost says that a shard in snapshotGone has no untried replica, so that the query must be planned again.
	snapshotLost bool
	// hedgeDelay is the time after which a sub-request counts as late.
	hedgeDelay time.Duration
	replies    chan keeperReply
	timerFired chan struct{}
	stopTimer  func() bool
}

// purpose is the reason why a sub-request is sent.
type purpose uint8

const (
	firstPlan purpose = iota
	// lateHedge follows a late sub-request, urgentHedge one that is late by urgentFactor delays.
	lateHedge
	urgentHedge
	// freeRetry follows a failure that cost the target no work, budgetedRetry one that may have and so counts against the budget.
	freeRetry
	budgetedRetry
)

// subRequest asks one target for one or more shards.
type subRequest struct {
	call   *keeperCall
	target int
	shards []int
	ended  bool
	// penalized says that the target's latency estimate was raised while the sub-request was in flight.
	penalized bool
}

// keeperCall is one Ask to a keeper, with the sub-requests that it carries by target.
type keeperCall struct {
	id          string
	keeper      wire.Member
	sentAt      time.Time
	subRequests map[string]*subRequest
	// late says that the Ask's soft deadline has passed: the keeper sent a partial reply.
	late bool
}

// keeperReply is the reply to a call, or the error if the keeper gave none.
type keeperReply struct {
	call    *keeperCall
	message wire.AskReply
	err     error
}

func newAttempt(r *execution, m *shard.Map) *attempt {
	return &attempt{
		execution:    r,
		shardMap:     m,
		merger:       newMerger(m, r.engine.checks),
		tried:        make([][]triedReplica, len(m.Shards)),
		inFlight:     make([]int, len(m.Shards)),
		snapshotGone: make([]bool, len(m.Shards)),
		replies:      make(chan keeperReply),
		timerFired:   make(chan struct{}, 1),
		stopTimer:    func() bool { return false },
	}
}

// run sends the plan and returns the answer once all shards have answered, no more replies can come, the query has to be
// planned on a newer snapshot or the time is over.
func (a *attempt) run(ctx context.Context) *Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := a.engine.clock.Now()
	a.hedgeDelay = a.stats.hedgeDelay(now, a.settings, a.deadline.Sub(now))
	a.send(ctx, a.allShards(), firstPlan)
	a.probeSlowTargets(ctx)
	a.setTimer(a.hedgeDelay + a.hedgeDelay/keeperGraceDivisor)
	defer func() { a.stopTimer() }()
	reason := a.collect(ctx)
	a.explainUnanswered(reason)
	a.cancelOutstanding()
	return a.merger.answer("no replica can be reached")
}

// collect handles replies and timers until the attempt ends. It returns the reason to report for shards without a reply.
func (a *attempt) collect(ctx context.Context) string {
	tail := make(chan struct{})
	if a.tailTime.Before(a.deadline) {
		defer a.engine.clock.AfterFunc(a.tailTime.Sub(a.engine.clock.Now()), func() { close(tail) })()
	}
	tailPassed := false
	for !a.finished() {
		if tailPassed && a.reachedMinCoverage() {
			return "no reply before the tail target"
		}
		select {
		case r := <-a.replies:
			a.handleReply(ctx, r)
		case <-a.timerFired:
			a.onTimer(ctx)
		case <-tail:
			tailPassed, tail = true, nil
		case <-ctx.Done():
			return "no reply before the deadline"
		}
	}
	return "given up for a newer snapshot"
}

// explainUnanswered sets the reason of each shard still in flight, with the name of the target that did not reply.
func (a *attempt) explainUnanswered(reason string) {
	for _, c := range a.calls {
		for name, sr := range c.subRequests {
			if sr.ended {
				continue
			}
			for _, s := range sr.shards {
				a.merger.reasons[s] = name + ": " + reason
			}
		}
	}
}

func (a *attempt) allShards() []int {
	shards := make([]int, len(a.shardMap.Shards))
	for s := range shards {
		shards[s] = s
	}
	return shards
}

// reachedMinCoverage reports whether enough shards have answered for the caller.
func (a *attempt) reachedMinCoverage() bool {
	return float64(a.merger.answeredCount) >= a.minCoverage*float64(a.merger.shardTotal)
}

// finished reports whether waiting is pointless: all shards have answered, nothing is in flight or waiting to be sent
// again, or the query can be planned again on a newer snapshot.
func (a *attempt) finished() bool {
	if a.merger.complete() || (a.openCount == 0 && len(a.awaitingBudget) == 0 && len(a.awaitingHandover) == 0) {
		return true
	}
	return a.snapshotLost && len(a.plannedOn) < a.engine.planLimit && a.newerMap(a.shardMap, a.newerSnapshots) != nil
}

// handleReply merges one reply of a keeper, sends failed shards to other replicas and hedges a call that has become late.
func (a *attempt) handleReply(ctx context.Context, r keeperReply) {
	c := r.call
	f := r.message.Fault
	switch {
	case r.err != nil:
		f = fault.New(fault.NoReplica, "keeper %s: %v", c.keeper.Name, r.err)
	case !a.engine.idMatches(c.id, r.message.ID):
		f = fault.New(fault.Internal, "keeper %s answered %q for %q", c.keeper.Name, r.message.ID, c.id)
		r.message.Results = nil
	}
	now := a.engine.clock.Now()
	a.stats.recordResults(now, r.message.Results, a.hedgeDelay)
	a.recordNetworkTime(now, r)
	var free, budgeted []int
	for _, result := range r.message.Results {
		sr := c.subRequests[result.Target]
		if sr == nil || sr.ended {
			continue
		}
		unanswered := a.endSubRequest(sr, result)
		if didNoWork(result.Fault) {
			free = append(free, unanswered...)
		} else {
			budgeted = append(budgeted, unanswered...)
		}
	}
	if f == nil && !r.message.Pending {
		f = fault.New(fault.Internal, "keeper %s left the target out of its reply", c.keeper.Name)
	}
	if f != nil {
		free = append(free, a.failCall(c, f)...)
	}
	a.send(ctx, free, freeRetry)
	a.send(ctx, budgeted, budgetedRetry)
	a.cancelAnswered()
	if r.message.Pending && !c.late {
		c.late = true
		a.onTimer(ctx)
	}
}

// recordNetworkTime records how much longer a complete reply took than the slowest of its results: the time spent on the
// way to and from the keeper.
func (a *attempt) recordNetworkTime(now time.Time, r keeperReply) {
	if r.err != nil || r.message.Pending || r.call.late || len(r.message.Results) == 0 {
		return
	}
	var slowest time.Duration
	for _, result := range r.message.Results {
		slowest = max(slowest, result.Took)
	}
	a.stats.recordNetworkTime(now, r.call.keeper.Datacentre, now.Sub(r.call.sentAt)-slowest)
}

// endSubRequest merges the result of a sub-request and returns the shards that must be sent to another replica. Shards
// with another sub-request in flight are left out.
func (a *attempt) endSubRequest(sr *subRequest, r wire.Result) (unanswered []int) {
	sr.ended = true
	a.openCount--
	for _, s := range sr.shards {
		a.inFlight[s]--
	}
	a.markMoved(sr, r)
	if a.firstSnapshot.Less(r.Newest) {
		a.newerSnapshots = append(a.newerSnapshots, r.Newest)
		for _, s := range sr.shards {
			a.snapshotGone[s] = true
		}
	}
	for _, s := range a.merger.add(sr.shards, r) {
		if a.inFlight[s] == 0 {
			unanswered = append(unanswered, s)
		}
	}
	return unanswered
}

// failCall ends all open sub-requests of a call with the same fault.
func (a *attempt) failCall(c *keeperCall, f *fault.Error) (unanswered []int) {
	now := a.engine.clock.Now()
	for name, sr := range c.subRequests {
		if !sr.ended {
			a.stats.penalize(now, name, a.hedgeDelay)
			unanswered = append(unanswered, a.endSubRequest(sr, wire.Result{Target: name, Fault: f})...)
		}
	}
	return unanswered
}
