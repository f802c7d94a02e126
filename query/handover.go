package query

import (
	"context"
	"slices"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// markMoved handles a keeper's reply that it no longer keeps the target of a sub-request. If another keeper will have taken
// the target over before the deadline, it marks the tried replicas so that they are asked again.
func (a *attempt) markMoved(sr *subRequest, r wire.Result) {
	if r.Fault == nil || r.Fault.Kind != fault.Moved || r.Newest != (shard.Snapshot{}) || !a.engine.checks.awaitsHandover() {
		return
	}
	retryAt := a.engine.clock.Now().Add(r.Fault.RetryAfter())
	if !retryAt.Before(a.deadline) {
		return
	}
	if len(a.awaitingHandover) == 0 || retryAt.Before(a.handoverAt) {
		a.handoverAt = retryAt
	}
	for _, s := range sr.shards {
		for i := range a.tried[s] {
			if a.tried[s][i].target == sr.target && a.tried[s][i].keeper == sr.call.keeper.HostID {
				a.tried[s][i].moved = true
			}
		}
	}
}

// awaitHandover reports whether a shard without an untried replica can wait because one of its targets is being handed
// over to another keeper, and queues it in that case.
func (a *attempt) awaitHandover(s int) bool {
	if !slices.ContainsFunc(a.tried[s], func(t triedReplica) bool { return t.moved }) {
		return false
	}
	if len(a.awaitingHandover) == 0 {
		a.setTimer(a.handoverAt.Sub(a.engine.clock.Now()))
	}
	a.awaitingHandover = append(a.awaitingHandover, s)
	return true
}

// resendAfterHandover sends the queued shards again once their targets have had time to be handed over. Before that it
// returns the time to wait.
func (a *attempt) resendAfterHandover(ctx context.Context) (wait time.Duration) {
	if len(a.awaitingHandover) == 0 {
		return 0
	}
	if wait = a.handoverAt.Sub(a.engine.clock.Now()); wait > 0 {
		return wait
	}
	shards := a.awaitingHandover
	a.awaitingHandover = nil
	for _, s := range shards {
		a.tried[s] = slices.DeleteFunc(a.tried[s], func(t triedReplica) bool { return t.moved })
	}
	a.send(ctx, shards, freeRetry)
	return 0
}
