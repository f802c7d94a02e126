package entry

import (
	"context"
	"encoding/json"

	"kingcupcross/apiv1"
	"kingcupcross/fault"
	"kingcupcross/order"
	"kingcupcross/wire"
)

func (e *Entry) tickets(_ context.Context, _ string, body []byte) (any, error) {
	var t apiv1.Tickets
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, fault.New(fault.Invalid, "%v", err)
	}
	minted := apiv1.Minted{}
	for _, ticket := range e.book.Mint(t.Count) {
		minted.Tickets = append(minted.Tickets, order.Format(ticket))
	}
	return minted, nil
}

func (e *Entry) order(ctx context.Context, id string, body []byte) (any, error) {
	var o apiv1.Order
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, fault.New(fault.Invalid, "%v", err)
	}
	if f := e.checkSize(o.Service, o.Payload); f != nil {
		return nil, f
	}
	ticket, err := e.ticketOf(o)
	if err != nil {
		return nil, err
	}
	values := e.board.Tree.Load().For(e.board.Self.Region, o.Service)
	left := values.Deadline.D()
	if o.Deadline > 0 {
		left = min(o.Deadline.D(), values.Longest.D())
	}
	reply := e.book.Run(ctx, wire.Order{
		Ticket:  ticket,
		Service: o.Service,
		Shard:   o.Shard,
		Class:   wire.Class(apiv1.Classes[o.Class]),
		Left:    left,
		Payload: o.Payload,
	})
	if reply.Fault != nil {
		return nil, reply.Fault
	}
	return apiv1.Outcome{ID: id, Target: reply.Target, Payload: reply.Payload}, nil
}

func (e *Entry) ticketOf(o apiv1.Order) (wire.Ticket, error) {
	if o.Ticket != "" {
		return order.Parse(o.Ticket)
	}
	return e.book.Mint(1)[0], nil
}
