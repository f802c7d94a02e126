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

// handleTickets returns new tickets for orders.
func (e *API) handleTickets(_ context.Context, r request) (any, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	var t apiv1.TicketsRequest
	if err := json.Unmarshal(r.body, &t); err != nil {
		return nil, fault.New(fault.Invalid, "%v", err)
	}
	answer := apiv1.TicketsResponse{Tickets: make([]string, 0, t.Count)}
	for _, ticket := range e.book.IssueTickets(t.Count) {
		answer.Tickets = append(answer.Tickets, order.FormatTicket(ticket))
	}
	return answer, nil
}

// orderError is the fault of a failed order, with the ticket by which its outcome can be requested.
type orderError struct {
	fault  *fault.Error
	ticket string
}

// Error returns the text of the fault.
func (e *orderError) Error() string {
	return e.fault.Error()
}

// Unwrap returns the fault.
func (e *orderError) Unwrap() error {
	return e.fault
}

// handleOrder runs an order or returns the outcome of an earlier attempt. Orders with a key don't show their ticket to the
// caller.
func (e *API) handleOrder(ctx context.Context, r request) (any, error) {
	var o apiv1.Order
	if err := json.Unmarshal(r.body, &o); err != nil {
		return nil, malformedOrder(r.body, err)
	}
	settings := e.board.Tree.Load().ForService(e.board.Self.Region, o.Service)
	ticket, err := e.orderTicket(o)
	if err != nil {
		return nil, err
	}
	f := r.refusal
	if f == nil {
		f = e.checkOrder(o, settings)
	}
	reply := e.runOrder(ctx, o, f, wire.Order{
		Ticket:  ticket,
		Service: o.Service,
		Shard:   o.Shard,
		Class:   wire.Class(apiv1.Classes[o.Class]),
		Left:    orderTimeout(o, settings),
		Attempt: o.Attempt,
		Payload: o.Payload,
	})
	shownTicket := ""
	if o.Key == "" {
		shownTicket = order.FormatTicket(ticket)
	}
	if reply.Fault != nil {
		return nil, &orderError{fault: reply.Fault, ticket: shownTicket}
	}
	return apiv1.Outcome{
		ID:      r.id,
		Target:  reply.Target,
		Payload: reply.Payload,
		Ticket:  shownTicket,
	}, nil
}

// malformedOrder returns the fault for an order that can't be decoded. Unless the order clearly has neither ticket nor key,
// it may be a repeat of one that has run, so the fault doesn't say that nothing ran.
func malformedOrder(body []byte, err error) *fault.Error {
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

// runOrder runs an order, or refuses it if f is set. The order may be a repeat of one that has run, so the book decides
// whether the refusal may say that nothing ran.
func (e *API) runOrder(ctx context.Context, o apiv1.Order, f *fault.Error, w wire.Order) wire.OrderReply {
	switch {
	case f != nil && o.Key != "":
		return e.book.RefuseKeyed(orderKey(o), f)
	case f != nil:
		return e.book.Refuse(w, f)
	case o.Key != "":
		return e.book.RunKeyed(ctx, orderKey(o), w)
	default:
		return e.book.Run(ctx, w)
	}
}

// checkOrder checks an order against the settings of its service.
func (e *API) checkOrder(o apiv1.Order, settings *tree.Values) *fault.Error {
	if o.Ticket == "" && o.Key == "" && !settings.Keyless {
		return fault.New(fault.Forbidden, "%s accepts orders with a ticket or a key only", o.Service)
	}
	return e.checkSize(o.Service, o.Payload)
}

func orderKey(o apiv1.Order) order.Key {
	return order.Key{
		Service:   o.Service,
		Name:      o.Key,
		CreatedAt: o.Since,
		Repeated:  o.Repeat || o.Attempt > 1,
	}
}

// orderTimeout returns the time allowed for an order: the caller's up to the longest allowed, or the service's default.
func orderTimeout(o apiv1.Order, settings *tree.Values) time.Duration {
	if o.Deadline > 0 {
		return min(o.Deadline.D(), settings.Longest.D())
	}
	return settings.Deadline.D()
}

// orderTicket returns the caller's ticket, or a new one. An order with a key gets its ticket later, when the key is claimed.
func (e *API) orderTicket(o apiv1.Order) (wire.Ticket, error) {
	switch {
	case o.Ticket != "":
		return order.ParseTicket(o.Ticket)
	case o.Key != "":
		return wire.Ticket{}, nil
	default:
		return e.book.IssueTickets(1)[0], nil
	}
}
