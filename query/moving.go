package query

import (
	"context"
	"slices"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// noteMoved marks the tries of a flight whose keeper did not have the target, if it says that another will have it while there is time.
func (a *attempt) noteMoved(f *flight, r wire.Result) {
	if r.Fault == nil || r.Fault.Kind != fault.Moved || r.Newest != (shard.Snapshot{}) || !a.engine.guards.waits() {
		return
	}
	again := a.engine.clock.Now().Add(r.Fault.RetryAfter())
	if !again.Before(a.deadline) {
		return
	}
	if len(a.moving) == 0 || again.Before(a.moved) {
		a.moved = again
	}
	for _, s := range f.shards {
		for i := range a.tried[s] {
			if a.tried[s][i].target == f.target && a.tried[s][i].keeper == f.call.keeper.HostID {
				a.tried[s][i].moved = true
			}
		}
	}
}

// awaitKeeper keeps a shard without an untried replica for later, if one of its replicas is on its way to another keeper.
func (a *attempt) awaitKeeper(s int) bool {
	if !slices.ContainsFunc(a.tried[s], func(t try) bool { return t.moved }) {
		return false
	}
	if len(a.moving) == 0 {
		a.arm(a.moved.Sub(a.engine.clock.Now()))
	}
	a.moving = append(a.moving, s)
	return true
}

// askMoved asks again for the shards whose replicas have had time to reach their next keeper, and returns the time until then.
func (a *attempt) askMoved(ctx context.Context) (wait time.Duration) {
	if len(a.moving) == 0 {
		return 0
	}
	if wait = a.moved.Sub(a.engine.clock.Now()); wait > 0 {
		return wait
	}
	shards := a.moving
	a.moving = nil
	for _, s := range shards {
		a.tried[s] = slices.DeleteFunc(a.tried[s], func(t try) bool { return t.moved })
	}
	a.send(ctx, shards, retry)
	return 0
}
