package keeper

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// orderWait is how long the outcome of an order that has begun is waited for after its time.
const orderWait = time.Minute

// Send sends an order to its target, at most once; the order begins within its time or not at all.
func (k *Keeper) Send(ctx context.Context, s wire.Send) wire.OrderReply {
	if f := k.refuse(); f != nil {
		return wire.OrderReply{Target: s.Target, Fault: f}
	}
	g, f := k.gate(s.Service, s.Target)
	if f != nil {
		return wire.OrderReply{Target: s.Target, Fault: f}
	}
	deadline := k.clock.Now().Add(s.Left)
	begin, cancel := k.clock.WithTimeout(ctx, s.Left)
	defer cancel()
	p, err := g.enter(begin, s.Class, deadline)
	if err != nil {
		return wire.OrderReply{Target: s.Target, Fault: fault.Of(err)}
	}
	reply, f := k.exchange(begin, g, p, s)
	return wire.OrderReply{Target: s.Target, Payload: reply.Payload, Fault: f}
}

// exchange sends the order once it has a slot; a host that was paused sends nothing.
func (k *Keeper) exchange(begin context.Context, g *gate, p *pass, s wire.Send) (target.OrderReply, *fault.Error) {
	left := p.left()
	if left <= 0 {
		late := fault.New(fault.TooLate, "no slot of %s came free in time", s.Target)
		p.done(target.State{}, late)
		return target.OrderReply{}, late
	}
	ctx, cancel := k.clock.WithTimeout(context.Background(), left+orderWait)
	defer cancel()
	reply, err := g.client.Order(ctx, begin, k.awake, target.Order{
		ID:       s.ID,
		Service:  s.Service,
		Shard:    s.Shard,
		Deadline: target.RemainingDeadline(left),
		Payload:  s.Payload,
	})
	if err != nil {
		p.done(stateOf(err), err)
		return target.OrderReply{}, orderFault(s.Target, err)
	}
	p.done(reply.State, nil)
	return reply, nil
}

// awake refuses to send from a host that was paused.
func (k *Keeper) awake() error {
	if !k.board.Pulse.Awake() {
		return fault.New(fault.Paused, "%s was paused", k.board.Self.Name)
	}
	return nil
}

// orderFault says "not run" only where the order never left or the target itself refused it.
func orderFault(name string, err error) *fault.Error {
	var failed *target.SendError
	if !errors.As(err, &failed) || failed.Sent {
		return fault.New(fault.Unknown, "%s: %v", name, err)
	}
	var refusal *target.Refusal
	var own *fault.Error
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &refusal) && refusal.Reason == target.ReasonBad:
		return fault.New(fault.Invalid, "%s finds the order malformed", name)
	case errors.Is(err, target.ErrStartDeadlinePassed):
		return fault.New(fault.TooLate, "no connection to %s came free in time", name)
	default:
		return faultOf(name, failed.Err)
	}
}
