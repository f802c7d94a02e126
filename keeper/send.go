package keeper

import (
	"context"
	"errors"

	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// Send sends an order to its target, at most once.
func (k *Keeper) Send(ctx context.Context, s wire.Send) wire.OrderReply {
	if f := k.refuse(); f != nil {
		return wire.OrderReply{Target: s.Target, Fault: f}
	}
	g, f := k.gate(s.Service, s.Target)
	if f != nil {
		return wire.OrderReply{Target: s.Target, Fault: f}
	}
	ctx, cancel := k.clock.WithTimeout(ctx, s.Left)
	defer cancel()
	deadline := k.clock.Now().Add(s.Left)
	pass, err := g.enter(ctx, s.Class, deadline)
	if err != nil {
		return wire.OrderReply{Target: s.Target, Fault: fault.Of(err)}
	}
	reply, err := g.client.Order(ctx, target.Order{
		ID:       s.ID,
		Service:  s.Service,
		Shard:    s.Shard,
		Deadline: target.Remaining(pass.left()),
		Payload:  s.Payload,
	})
	if err != nil {
		pass.done(stateOf(err), err)
		return wire.OrderReply{Target: s.Target, Fault: orderFault(s.Target, err)}
	}
	pass.done(reply.State, nil)
	return wire.OrderReply{Target: s.Target, Payload: reply.Payload}
}

// orderFault says "not run" only where no byte left or the target itself refused.
func orderFault(name string, err error) *fault.Error {
	var failed *target.SendError
	if errors.As(err, &failed) && !failed.Sent {
		return faultOf(name, failed.Err)
	}
	return fault.New(fault.Unknown, "%s: %v", name, err)
}
