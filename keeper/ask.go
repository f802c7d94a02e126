package keeper

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// askGrace is how long an Ask is remembered after its deadline.
const askGrace = time.Second

// Ask serves the parts of a query and returns when all are done or the soft time has passed.
func (k *Keeper) Ask(ctx context.Context, q wire.Ask) wire.AskReply {
	if f := k.refuse(); f != nil {
		return wire.AskReply{ID: q.ID, Fault: f}
	}
	a, f := k.open(ctx, q)
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
	return k.take(a)
}

// open remembers the Ask and starts its parts; an id that is in use would mix two queries' results and is refused.
func (k *Keeper) open(ctx context.Context, q wire.Ask) (*ask, *fault.Error) {
	a := newAsk(q.ID, len(q.Parts))
	contexts := make([]context.Context, len(q.Parts))
	for i, p := range q.Parts {
		partCtx, cancel := k.clock.WithTimeout(context.WithoutCancel(ctx), q.Left)
		contexts[i] = partCtx
		a.parts[p.Target] = newPart(q.ID+"/"+p.Target, cancel)
	}
	a.lapse = k.clock.AfterFunc(q.Left+askGrace, func() { k.drop(a) })
	if !k.keep(a) {
		a.lapse()
		return nil, fault.New(fault.Conflict, "ask %s is under way here", q.ID)
	}
	for i, p := range q.Parts {
		go k.part(contexts[i], a, q, p)
	}
	return a, nil
}

// Rest waits for the next of the parts that were not done when their Ask was answered.
func (k *Keeper) Rest(ctx context.Context, r wire.Rest) wire.AskReply {
	a := k.find(r.ID)
	if a == nil {
		return wire.AskReply{ID: r.ID, Fault: fault.New(fault.Moved, "ask %s is not known here", r.ID)}
	}
	select {
	case <-a.news:
	case <-a.done:
	case <-ctx.Done():
	}
	return k.take(a)
}

// Drop cancels parts of an Ask at their targets.
func (k *Keeper) Drop(d wire.Drop) {
	a := k.find(d.ID)
	if a == nil {
		return
	}
	if len(d.Targets) == 0 {
		for _, p := range a.parts {
			k.stop(p)
		}
	}
	for _, t := range d.Targets {
		if p := a.parts[t]; p != nil {
			k.stop(p)
		}
	}
}

func (k *Keeper) find(id string) *ask {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asks[id]
}

// take returns what is new of an Ask and forgets it with its last result.
func (k *Keeper) take(a *ask) wire.AskReply {
	r := a.take()
	if !r.Pending {
		k.forget(a)
	}
	return r
}

// keep remembers an Ask unless its id is in use.
func (k *Keeper) keep(a *ask) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, used := k.asks[a.id]; used && !k.reuse {
		return false
	}
	k.asks[a.id] = a
	return true
}

func (k *Keeper) forget(a *ask) {
	a.lapse()
	k.drop(a)
}

func (k *Keeper) drop(a *ask) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asks[a.id] == a {
		delete(k.asks, a.id)
	}
}

// cancelGrace is the time in which a target must answer a cancelled sub-request before its connection is given up.
const cancelGrace = 50 * time.Millisecond

// stop cancels a part: at its target where it was sent, which keeps the connection, and by its context otherwise or where the target doesn't react.
func (k *Keeper) stop(p *part) {
	c := p.client.Load()
	if c == nil {
		p.cancel()
		return
	}
	k.clock.AfterFunc(cancelGrace, p.cancel)
	go func() {
		if c.Cancel(p.ended, p.id) != nil {
			p.cancel()
		}
	}()
}

func (k *Keeper) part(ctx context.Context, a *ask, q wire.Ask, p wire.Part) {
	own := a.parts[p.Target]
	defer own.end()
	start := k.clock.Now()
	r := k.query(ctx, own, q, p)
	r.Target = p.Target
	r.Took = k.clock.Since(start)
	a.add(r)
}

func (k *Keeper) query(ctx context.Context, own *part, q wire.Ask, p wire.Part) wire.Result {
	deadline := k.clock.Now().Add(q.Left)
	g, f := k.gate(q.Service, p.Target)
	if f != nil {
		return k.moved(q.Service, f)
	}
	pass, err := g.enter(ctx, q.Class, deadline)
	if err != nil {
		return wire.Result{Fault: fault.Of(err)}
	}
	pass.identify(own.id)
	ctx, cancel := k.clock.WithTimeout(ctx, pass.left())
	defer cancel()
	own.client.Store(g.client)
	reply, err := g.client.Query(ctx, target.Query{
		ID:       own.id,
		Service:  q.Service,
		Snapshot: q.Snapshot,
		Shards:   p.Shards,
		Class:    int(q.Class),
		Deadline: target.RemainingDeadline(pass.left()),
		Payload:  q.Payload,
	})
	if err == nil {
		pass.done(reply.State, nil)
	} else {
		pass.done(stateOf(err), err)
	}
	return resultOf(p.Target, reply, err)
}

// moved tells with the refusal the newest map that this host knows, by which the target may have gone.
func (k *Keeper) moved(service string, f *fault.Error) wire.Result {
	r := wire.Result{Fault: f}
	if m := k.board.Map(service); m != nil {
		r.Newest = m.Snapshot()
	}
	return r
}

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
