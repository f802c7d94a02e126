package keeper

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// orderReplyTimeout is how long to wait for the outcome of a started order after its time has run out.
const orderReplyTimeout = time.Minute

// Send sends an order to its target at most once. The order starts within its time or not at all.
func (k *Keeper) Send(ctx context.Context, s wire.Send) wire.OrderReply {
	if f := k.checkServing(); f != nil {
		return wire.OrderReply{Target: s.Target, Fault: f}
	}
	g, f := k.gateFor(s.Service, s.Target)
	if f != nil {
		return wire.OrderReply{Target: s.Target, Fault: f}
	}
	deadline := k.clock.Now().Add(s.Left)
	startCtx, cancel := k.clock.WithTimeout(ctx, s.Left)
	defer cancel()
	p, err := g.acquire(startCtx, s.Class, deadline)
	if err != nil {
		return wire.OrderReply{Target: s.Target, Fault: fault.Of(err)}
	}
	reply, f := k.sendOrder(startCtx, g, p, s)
	return wire.OrderReply{Target: s.Target, Payload: reply.Payload, Fault: f}
}

// sendOrder sends an admitted order to its target. startCtx limits the time in which the order may start. A host that was paused sends nothing.
func (k *Keeper) sendOrder(startCtx context.Context, g *gate, p *permit, s wire.Send) (target.OrderReply, *fault.Error) {
	left := p.timeLeft()
	if left <= 0 {
		late := fault.New(fault.TooLate, "no slot of %s came free in time", s.Target)
		p.done(target.State{}, late)
		return target.OrderReply{}, late
	}
	ctx, cancel := k.clock.WithTimeout(context.Background(), left+orderReplyTimeout)
	defer cancel()
	reply, err := g.client.Order(ctx, startCtx, k.checkRunning, target.Order{
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

// checkRunning returns a fault if this host was paused. It is called right before an order is sent.
func (k *Keeper) checkRunning() error {
	if !k.board.PauseDetector.MaySend() {
		return fault.New(fault.Paused, "%s was paused", k.board.Self.Name)
	}
	return nil
}

// orderFault returns the fault for an order that failed. It says that the order has not run only if the order never left this host or the target refused it.
func orderFault(name string, err error) *fault.Error {
	var failed *target.SendError
	if !errors.As(err, &failed) || failed.Sent {
		return fault.New(fault.Unknown, "%s: %v", name, err)
	}
	var refusal *target.Refusal
	var local *fault.Error
	switch {
	case errors.As(err, &local):
		return local
	case errors.As(err, &refusal) && refusal.Reason == target.ReasonBad:
		return fault.New(fault.Invalid, "%s finds the order malformed", name)
	case errors.Is(err, target.ErrStartDeadlinePassed):
		return fault.New(fault.TooLate, "no connection to %s came free in time", name)
	default:
		return faultOf(name, failed.Err)
	}
}
