package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// ask is one Ask under way; results are added as parts end.
type ask struct {
	mu      sync.Mutex
	results []wire.Result
	left    int
	done    chan struct{}
	cancel  map[string]context.CancelFunc
}

// Ask serves the parts of a query and returns when all are done or the soft time has passed.
func (k *Keeper) Ask(ctx context.Context, q wire.Ask) wire.AskReply {
	if f := k.refuse(); f != nil {
		return wire.AskReply{Fault: f}
	}
	a := &ask{left: len(q.Parts), done: make(chan struct{}), cancel: map[string]context.CancelFunc{}}
	k.mu.Lock()
	k.asks[q.ID] = a
	k.mu.Unlock()
	for _, p := range q.Parts {
		partCtx, cancel := k.clock.WithTimeout(context.WithoutCancel(ctx), q.Left)
		a.cancel[p.Target] = cancel
		go k.part(partCtx, cancel, a, q, p)
	}
	stop := k.clock.AfterFunc(q.Left+askGrace, func() { k.forget(q.ID) })
	select {
	case <-a.done:
		stop()
		k.forget(q.ID)
	case <-k.clock.After(min(q.Soft, q.Left)):
	}
	return a.take()
}

// askGrace is how long an Ask is remembered after its deadline.
const askGrace = time.Second

// Rest waits for the parts of an Ask that were not done when it was answered.
func (k *Keeper) Rest(_ context.Context, r wire.Rest) wire.AskReply {
	k.mu.Lock()
	a := k.asks[r.ID]
	k.mu.Unlock()
	if a == nil {
		return wire.AskReply{Fault: fault.New(fault.Moved, "ask %s is not known here", r.ID)}
	}
	<-a.done
	k.forget(r.ID)
	return a.take()
}

// Drop cancels parts of an Ask.
func (k *Keeper) Drop(d wire.Drop) {
	k.mu.Lock()
	a := k.asks[d.ID]
	k.mu.Unlock()
	if a == nil {
		return
	}
	if len(d.Targets) == 0 {
		for _, cancel := range a.cancel {
			cancel()
		}
	}
	for _, t := range d.Targets {
		if cancel := a.cancel[t]; cancel != nil {
			cancel()
		}
	}
}

func (k *Keeper) forget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.asks, id)
}

func (k *Keeper) part(ctx context.Context, cancel context.CancelFunc, a *ask, q wire.Ask, p wire.Part) {
	defer cancel()
	r := k.query(ctx, q, p)
	r.Target = p.Target
	a.add(r)
}

func (k *Keeper) query(ctx context.Context, q wire.Ask, p wire.Part) wire.Result {
	g, f := k.gate(q.Service, p.Target)
	if f != nil {
		return wire.Result{Fault: f}
	}
	deadline := k.clock.Now().Add(q.Left)
	pass, err := g.enter(ctx, q.Class, deadline)
	if err != nil {
		return wire.Result{Fault: fault.Of(err)}
	}
	pass.id = q.ID + "/" + p.Target
	ctx, cancel := k.clock.WithTimeout(ctx, pass.left())
	defer cancel()
	start := k.clock.Now()
	reply, err := g.client.Query(ctx, target.Query{
		ID:       pass.id,
		Service:  q.Service,
		Snapshot: q.Snapshot,
		Shards:   p.Shards,
		Class:    int(q.Class),
		Deadline: target.Remaining(pass.left()),
		Payload:  q.Payload,
	})
	r := wire.Result{Snapshot: reply.Snapshot, Parts: reply.Parts, Took: k.clock.Since(start)}
	if err == nil {
		pass.done(reply.State, nil)
	} else {
		pass.done(stateOf(err), err)
		r.Fault = faultOf(p.Target, err)
		var refusal *target.Refusal
		if errors.As(err, &refusal) {
			r.Newest = refusal.Newest
		}
	}
	return r
}

func (a *ask) add(r wire.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
	a.left--
	if a.left == 0 {
		close(a.done)
	}
}

func (a *ask) take() wire.AskReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := wire.AskReply{Results: a.results, Pending: a.left > 0}
	a.results = nil
	return r
}
