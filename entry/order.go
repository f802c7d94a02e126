package entry

import (
	"context"
	"encoding/json"
	"time"

	"kingcupcross/apiv1"
	"kingcupcross/fault"
	"kingcupcross/order"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

func (e *Entry) tickets(_ context.Context, r request) (any, error) {
	if r.refused != nil {
		return nil, r.refused
	}
	var t apiv1.TicketsRequest
	if err := json.Unmarshal(r.body, &t); err != nil {
		return nil, fault.New(fault.Invalid, "%v", err)
	}
	minted := apiv1.TicketsResponse{Tickets: make([]string, 0, t.Count)}
	for _, ticket := range e.book.IssueTickets(t.Count) {
		minted.Tickets = append(minted.Tickets, order.FormatTicket(ticket))
	}
	return minted, nil
}

// orderError is the refusal of an order with the ticket by which its outcome can be asked for.
type orderError struct {
	fault  *fault.Error
	ticket string
}

// Error returns the refusal's text.
func (e *orderError) Error() string {
	return e.fault.Error()
}

// Unwrap returns the refusal.
func (e *orderError) Unwrap() error {
	return e.fault
}

func (e *Entry) order(ctx context.Context, r request) (any, error) {
	var o apiv1.Order
	if err := json.Unmarshal(r.body, &o); err != nil {
		return nil, malformed(r.body, err)
	}
	values := e.board.Tree.Load().ForService(e.board.Self.Region, o.Service)
	ticket, err := e.ticketOf(o)
	if err != nil {
		return nil, err
	}
	f := r.refused
	if f == nil {
		f = e.checkOrder(o, values)
	}
	reply := e.run(ctx, o, f, wire.Order{
		Ticket:  ticket,
		Service: o.Service,
		Shard:   o.Shard,
		Class:   wire.Class(apiv1.Classes[o.Class]),
		Left:    leftOf(o, values),
		Attempt: o.Attempt,
		Payload: o.Payload,
	})
	shown := ""
	if o.Key == "" {
		shown = order.FormatTicket(ticket)
	}
	if reply.Fault != nil {
		return nil, &orderError{fault: reply.Fault, ticket: shown}
	}
	return apiv1.Outcome{
		ID:      r.id,
		Target:  reply.Target,
		Payload: reply.Payload,
		Ticket:  shown,
	}, nil
}

// malformed refuses an order that can't be decoded; it may be a repeat unless it is seen to have neither ticket nor key.
func malformed(body []byte, err error) *fault.Error {
	f := fault.New(fault.Invalid, "%v", err)
	var named struct {
		Ticket string `json:"ticket"`
		Key    string `json:"key"`
	}
	if json.Unmarshal(body, &named) != nil || named.Ticket != "" || named.Key != "" {
		return order.AsMayHaveRun(f)
	}
	return f
}

// run leaves it to the book whether a refusal may say that nothing ran, since the order may be a repeat.
func (e *Entry) run(ctx context.Context, o apiv1.Order, f *fault.Error, w wire.Order) wire.OrderReply {
	switch {
	case f != nil && o.Key != "":
		return e.book.RefuseKeyed(keyOf(o), f)
	case f != nil:
		return e.book.Refuse(w, f)
	case o.Key != "":
		return e.book.RunKeyed(ctx, keyOf(o), w)
	default:
		return e.book.Run(ctx, w)
	}
}

func (e *Entry) checkOrder(o apiv1.Order, values *tree.Values) *fault.Error {
	if o.Ticket == "" && o.Key == "" && !values.Keyless {
		return fault.New(fault.Forbidden, "%s accepts orders with a ticket or a key only", o.Service)
	}
	return e.checkSize(o.Service, o.Payload)
}

func keyOf(o apiv1.Order) order.Key {
	return order.Key{
		Service:   o.Service,
		Name:      o.Key,
		CreatedAt: o.Since,
		Repeated:  o.Repeat || o.Attempt > 1,
	}
}

func leftOf(o apiv1.Order, values *tree.Values) time.Duration {
	if o.Deadline > 0 {
		return min(o.Deadline.D(), values.Longest.D())
	}
	return values.Deadline.D()
}

// ticketOf returns the caller's ticket or a new one; an order with a key gets its ticket when the key is claimed.
func (e *Entry) ticketOf(o apiv1.Order) (wire.Ticket, error) {
	switch {
	case o.Ticket != "":
		return order.ParseTicket(o.Ticket)
	case o.Key != "":
		return wire.Ticket{}, nil
	default:
		return e.book.IssueTickets(1)[0], nil
	}
}
