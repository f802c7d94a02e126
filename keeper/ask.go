package keeper

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// askRetention is how long an Ask is kept after its deadline, so that its last results can be fetched.
const askRetention = time.Second

// Ask runs the parts of a query and returns when all are done or the soft time has passed. Results that are missing then are fetched by Rest.
func (k *Keeper) Ask(ctx context.Context, q wire.Ask) wire.AskReply {
	if f := k.checkServing(); f != nil {
		return wire.AskReply{ID: q.ID, Fault: f}
	}
	a, f := k.startAsk(ctx, q)
	if f != nil {
		return wire.AskReply{ID: q.ID, Fault: f}
	}
	soft := make(chan struct{})
	stop := k.clock.AfterFunc(min(q.Soft, q.Left), func() { close(soft) })
	defer stop()
	select {
	case <-a.done:
	case <-soft:
	}
	return k.takeResults(a)
}

// startAsk registers the Ask and starts its parts. An id that is in use is refused, because the results of two queries would get mixed up.
func (k *Keeper) startAsk(ctx context.Context, q wire.Ask) (*pendingAsk, *fault.Error) {
	a := newPendingAsk(q.ID, len(q.Parts))
	contexts := make([]context.Context, len(q.Parts))
	for i, p := range q.Parts {
		partCtx, cancel := k.clock.WithTimeout(context.WithoutCancel(ctx), q.Left)
		contexts[i] = partCtx
		a.parts[p.Target] = newPart(q.ID+"/"+p.Target, cancel)
	}
	a.stopExpiry = k.clock.AfterFunc(q.Left+askRetention, func() { k.unregisterAsk(a) })
	if !k.registerAsk(a) {
		a.stopExpiry()
		return nil, fault.New(fault.Conflict, "ask %s is under way here", q.ID)
	}
	for i, p := range q.Parts {
		go k.runPart(contexts[i], a, q, p)
	}
	return a, nil
}

// Rest waits for further results of an Ask that was answered before all its parts were done.
func (k *Keeper) Rest(ctx context.Context, r wire.Rest) wire.AskReply {
	a := k.findAsk(r.ID)
	if a == nil {
		return wire.AskReply{ID: r.ID, Fault: fault.New(fault.Moved, "ask %s is not known here", r.ID)}
	}
	select {
	case <-a.available:
	case <-a.done:
	case <-ctx.Done():
	}
	return k.takeResults(a)
}

// Drop cancels parts of an Ask at their targets, or all parts if it names no targets.
func (k *Keeper) Drop(d wire.Drop) {
	a := k.findAsk(d.ID)
	if a == nil {
		return
	}
	if len(d.Targets) == 0 {
		for _, p := range a.parts {
			k.cancelPart(p)
		}
	}
	for _, t := range d.Targets {
		if p := a.parts[t]; p != nil {
			k.cancelPart(p)
		}
	}
}

// findAsk returns the Ask with that id, or nil.
func (k *Keeper) findAsk(id string) *pendingAsk {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pendingAsks[id]
}

// takeResults returns the new results of an Ask and unregisters it once the last one is taken.
func (k *Keeper) takeResults(a *pendingAsk) wire.AskReply {
	r := a.take()
	if !r.Pending {
		k.finishAsk(a)
	}
	return r
}

// registerAsk registers an Ask and reports false if its id is in use.
func (k *Keeper) registerAsk(a *pendingAsk) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, used := k.pendingAsks[a.id]; used && !k.allowReusedIDs {
		return false
	}
	k.pendingAsks[a.id] = a
	return true
}

// finishAsk unregisters an Ask before it expires.
func (k *Keeper) finishAsk(a *pendingAsk) {
	a.stopExpiry()
	k.unregisterAsk(a)
}

// unregisterAsk removes an Ask, unless a later one has taken its id.
func (k *Keeper) unregisterAsk(a *pendingAsk) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pendingAsks[a.id] == a {
		delete(k.pendingAsks, a.id)
	}
}

// cancelTimeout is how long a target may take to end a cancelled request before its connection is closed.
const cancelTimeout = 50 * time.Millisecond

// cancelPart cancels a part. A request that was sent is cancelled at the target, which keeps its connection usable. Its context is cancelled if it was not sent yet, if the cancellation fails, or after cancelTimeout.
func (k *Keeper) cancelPart(p *part) {
	c := p.client.Load()
	if c == nil {
		p.cancel()
		return
	}
	k.clock.AfterFunc(cancelTimeout, p.cancel)
	go func() {
		if c.Cancel(p.ended, p.id) != nil {
			p.cancel()
		}
	}()
}

// runPart runs one part of an Ask and adds its result.
func (k *Keeper) runPart(ctx context.Context, a *pendingAsk, q wire.Ask, p wire.Part) {
	running := a.parts[p.Target]
	defer running.end()
	start := k.clock.Now()
	r := k.queryTarget(ctx, running, q, p)
	r.Target = p.Target
	r.Took = k.clock.Since(start)
	a.add(r)
}

// queryTarget sends one part's request to its target once it is admitted, and returns the result.
func (k *Keeper) queryTarget(ctx context.Context, running *part, q wire.Ask, p wire.Part) wire.Result {
	deadline := k.clock.Now().Add(q.Left)
	g, f := k.gateFor(q.Service, p.Target)
	if f != nil {
		return k.movedResult(q.Service, f)
	}
	permit, err := g.acquire(ctx, q.Class, deadline)
	if err != nil {
		return wire.Result{Fault: fault.Of(err)}
	}
	permit.setRequestID(running.id)
	ctx, cancel := k.clock.WithTimeout(ctx, permit.timeLeft())
	defer cancel()
	running.client.Store(g.client)
	reply, err := g.client.Query(ctx, target.Query{
		ID:       running.id,
		Service:  q.Service,
		Snapshot: q.Snapshot,
		Shards:   p.Shards,
		Class:    int(q.Class),
		Deadline: target.RemainingDeadline(permit.timeLeft()),
		Payload:  q.Payload,
	})
	if err == nil {
		permit.done(reply.State, nil)
	} else {
		permit.done(stateOf(err), err)
	}
	return resultOf(p.Target, reply, err)
}

// movedResult returns a refusal together with the newest map that this host knows, as the target may have moved with that map.
func (k *Keeper) movedResult(service string, f *fault.Error) wire.Result {
	r := wire.Result{Fault: f}
	if m := k.board.ShardMap(service); m != nil {
		r.Newest = m.Snapshot()
	}
	return r
}

// resultOf returns the result of an exchange with a target. A refusal carries the target's newest snapshot.
func resultOf(name string, reply target.Reply, err error) wire.Result {
	r := wire.Result{Snapshot: reply.Snapshot, Parts: reply.Parts}
	if err == nil {
		return r
	}
	r.Fault = faultOf(name, err)
	var refusal *target.Refusal
	if errors.As(err, &refusal) {
		r.Newest = refusal.Newest
	}
	return r
}
