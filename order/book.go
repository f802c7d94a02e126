package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// Book mints tickets and remembers the outcome of each order that it ran.
type Book struct {
	clock  *timer.Service
	board  *board.Board
	links  *keeper.Links
	dialer *wire.Dialer
	log    *zap.Logger
	scope  tally.Scope

	mu      sync.Mutex
	next    uint64
	entries map[uint64]*entry
}

type entry struct {
	done  chan struct{}
	reply wire.OrderReply
}

// New returns an empty book.
func New(clock *timer.Service, b *board.Board, links *keeper.Links, dialer *wire.Dialer, log *zap.Logger, scope tally.Scope) *Book {
	return &Book{
		clock:   clock,
		board:   b,
		links:   links,
		dialer:  dialer,
		log:     log,
		scope:   scope,
		entries: map[uint64]*entry{},
	}
}

// Mint returns n new tickets.
func (b *Book) Mint(n int) []wire.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	tickets := make([]wire.Ticket, 0, n)
	for range n {
		b.next++
		tickets = append(tickets, wire.Ticket{Host: b.board.Self.HostID, Sequence: b.next})
	}
	return tickets
}

// Run runs an order at the host that minted its ticket, or tells what came of it there.
func (b *Book) Run(ctx context.Context, o wire.Order) wire.OrderReply {
	if o.Ticket.Host == b.board.Self.HostID {
		return b.own(ctx, o)
	}
	return b.forward(ctx, o)
}

func (b *Book) own(ctx context.Context, o wire.Order) wire.OrderReply {
	b.mu.Lock()
	if o.Ticket.Sequence == 0 || o.Ticket.Sequence > b.next {
		b.mu.Unlock()
		return wire.OrderReply{Fault: fault.New(fault.Invalid, "this host has not minted the ticket")}
	}
	e, known := b.entries[o.Ticket.Sequence]
	if !known {
		e = &entry{done: make(chan struct{})}
		b.entries[o.Ticket.Sequence] = e
	}
	b.mu.Unlock()
	if !known {
		e.reply = b.send(ctx, o)
		close(e.done)
	}
	select {
	case <-e.done:
		return e.reply
	case <-b.clock.After(o.Left):
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "the order is still under way: ask again with the same ticket")}
	}
}

// send tries one replica only: once bytes may have left, no other may get the order.
func (b *Book) send(ctx context.Context, o wire.Order) wire.OrderReply {
	m := b.board.Map(o.Service)
	if m == nil {
		return wire.OrderReply{Fault: fault.New(fault.NoService, "no shard map of %s", o.Service)}
	}
	if o.Shard < 0 || o.Shard >= len(m.Shards) {
		return wire.OrderReply{Fault: fault.New(fault.Invalid, "%s has no shard %d", o.Service, o.Shard)}
	}
	table, settings := b.links.Table(), b.board.Tree.Load()
	for _, i := range m.Shards[o.Shard] {
		t := m.Targets[i]
		k, found := table.Keeper(t.Name)
		if !found || settings.Out(k.Region, t.Datacentre) {
			continue
		}
		s := wire.Send{
			ID:      Format(o.Ticket),
			From:    b.board.Self.HostID,
			Service: o.Service,
			Shard:   o.Shard,
			Target:  t.Name,
			Class:   o.Class,
			Left:    o.Left,
			Payload: o.Payload,
		}
		reply, err := b.links.Send(ctx, k, s)
		if err != nil {
			reply.Fault = lost(err)
		}
		return reply
	}
	return wire.OrderReply{Fault: fault.New(fault.NoReplica, "no replica of shard %d of %s can be reached", o.Shard, o.Service)}
}

// forward asks the minting host, the only one that may run the order.
func (b *Book) forward(ctx context.Context, o wire.Order) wire.OrderReply {
	m, known := b.board.View.Load().Members[o.Ticket.Host.Name]
	if !known || m.Incarnation != o.Ticket.Host.Incarnation {
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "the host that minted the ticket is gone")}
	}
	var reply wire.OrderReply
	ctx, cancel := b.clock.WithTimeout(ctx, o.Left+forwardGrace)
	defer cancel()
	if err := b.dialer.Call(ctx, m.Peers, Remote+".Run", o, &reply); err != nil {
		reply.Fault = lost(err)
	}
	return reply
}

// forwardGrace is added to an order's time, so that the answer of the minting host arrives.
const forwardGrace = 100 * time.Millisecond

// lost is the fault of an order whose call gave no answer: not run only if the call never left.
func lost(err error) *fault.Error {
	var call *wire.CallError
	if errors.As(err, &call) && !call.Sent {
		return fault.New(fault.NoReplica, "%v", err)
	}
	return fault.New(fault.Unknown, "%v", err)
}

// Remote names this part in calls between hosts.
const Remote = "Order"

// Service answers other hosts' calls to this host's book.
type Service struct {
	book *Book
}

// NewService returns the part of the net/rpc server that answers for b.
func NewService(b *Book) *Service {
	return &Service{book: b}
}

// Run answers the call of that name.
func (s *Service) Run(o wire.Order, r *wire.OrderReply) error {
	if o.Ticket.Host != s.book.board.Self.HostID {
		r.Fault = fault.New(fault.Unknown, "the host that minted the ticket is gone")
		return nil
	}
	*r = s.book.own(context.Background(), o)
	return nil
}
