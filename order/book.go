package order

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// Book mints tickets and remembers the outcome of each order that it ran.
type Book struct {
	clock  *timer.Service
	board  *board.Board
	dialer *wire.Dialer
	log    *zap.Logger
	scope  tally.Scope
	claims *claims

	// send carries an order to a keeper; the error is a wire.CallError where no answer came.
	send func(ctx context.Context, keeper wire.Member, s wire.Send) (wire.OrderReply, error)
	// table names the keepers of targets.
	table func() *keeper.Table
	// guards are the mechanisms that tests take out one at a time.
	guards guards

	mu      sync.Mutex
	closed  bool
	ledger  *ledger
	adopted map[wire.HostID]*adoption
	// under is the number of orders under way; idle is closed when it falls to zero after Close.
	under int
	idle  chan struct{}
}

// guards hold the seams of the mechanisms that keep an order from running twice.
type guards struct {
	// remembers reports whether a ticket that has a record is answered from it.
	remembers func() bool
	// mints reports whether only the minting incarnation runs a ticket.
	mints func() bool
	// seals reports whether a refusal is kept as the ticket's outcome.
	seals func() bool
	// floors reports whether tickets at or below the floor are refused.
	floors func() bool
	// certain reports whether an order is tried at another replica only while it is certain that nothing ran.
	certain func() bool
	// claims reports whether a key is claimed in the store before its order runs.
	claims func() bool
}

func always() bool { return true }

// New returns an empty book that claims callers' keys in the platform's store.
func New(clock *timer.Service, b *board.Board, links *keeper.Client, dialer *wire.Dialer, platform *store.Client, log *zap.Logger, scope tally.Scope) *Book {
	return &Book{
		clock:   clock,
		board:   b,
		dialer:  dialer,
		log:     log,
		scope:   scope,
		claims:  newClaims(clock, b, dialer, platform, scope),
		send:    links.Send,
		table:   links.Table,
		ledger:  newLedger(clock),
		adopted: map[wire.HostID]*adoption{},
		idle:    make(chan struct{}),
		guards: guards{
			remembers: always,
			mints:     always,
			seals:     always,
			floors:    always,
			certain:   always,
			claims:    always,
		},
	}
}

// Mint returns n new tickets.
func (b *Book) Mint(n int) []wire.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.ledger.mint(n)
	tickets := make([]wire.Ticket, 0, n)
	for i := range n {
		tickets = append(tickets, wire.Ticket{
			Host:       b.board.Self.HostID,
			Datacentre: b.board.Self.Datacentre,
			Sequence:   first + uint64(i),
		})
	}
	return tickets
}

// Run runs an order at the host that minted its ticket, or tells what came of it there.
func (b *Book) Run(ctx context.Context, o wire.Order) wire.OrderReply {
	if o.Ticket.Host == b.board.Self.HostID || !b.guards.mints() {
		return b.own(o)
	}
	b.scope.Counter("forwarded").Inc(1)
	return b.forward(ctx, o)
}

// Refuse answers an order that this host won't take because of f: it says "not run" only of a ticket of its own, which then never runs.
func (b *Book) Refuse(o wire.Order, f *fault.Error) wire.OrderReply {
	if o.Ticket.Host != b.board.Self.HostID {
		return wire.OrderReply{Fault: Unsure(f)}
	}
	r, fresh, refused := b.begin(o)
	if refused != nil {
		return wire.OrderReply{Fault: refused}
	}
	if fresh {
		b.settle(o.Ticket.Sequence, r, wire.OrderReply{Fault: f})
	}
	return b.await(r, o.Left)
}

// RefuseKeyed answers an order with a key that this host won't take because of f.
func (b *Book) RefuseKeyed(k Key, f *fault.Error) wire.OrderReply {
	if k.Repeated {
		f = Unsure(f)
	}
	return wire.OrderReply{Fault: f}
}

// RunKeyed runs the order of a caller's own key, or tells what came of it at the host that holds the key.
func (b *Book) RunKeyed(ctx context.Context, k Key, o wire.Order) wire.OrderReply {
	if f := k.check(b.clock.Now()); f != nil {
		return wire.OrderReply{Fault: f}
	}
	start := b.clock.Now()
	o.Ticket = b.Mint(1)[0]
	if b.guards.claims() {
		ticket, f := b.holder(ctx, k, o)
		if f != nil {
			return b.RefuseKeyed(k, b.Refuse(o, f).Fault)
		}
		o.Ticket = ticket
	}
	o.Left -= b.clock.Since(start)
	if o.Left <= 0 {
		return b.Refuse(o, fault.New(fault.TooLate, "the order's time passed while its key was claimed"))
	}
	return b.Run(ctx, o)
}

// holder returns the ticket that the key stands for, which is the order's own where nobody has claimed the key before.
func (b *Book) holder(ctx context.Context, k Key, o wire.Order) (wire.Ticket, *fault.Error) {
	claimed := make(chan wire.ClaimReply, 1)
	go func() { claimed <- b.claims.take(context.WithoutCancel(ctx), k.claim(Format(o.Ticket))) }()
	timeout, stop := b.timeout(o.Left)
	defer stop()
	select {
	case held := <-claimed:
		if held.Fault != nil {
			return wire.Ticket{}, held.Fault
		}
		ticket, err := Parse(held.Ticket)
		if err != nil {
			return wire.Ticket{}, fault.New(fault.Store, "the claim of the key holds %q", held.Ticket)
		}
		return ticket, nil
	case <-timeout:
		return wire.Ticket{}, fault.New(fault.Store, "the key wasn't claimed in time")
	}
}

// timeout returns a channel that is closed once d has passed.
func (b *Book) timeout(d time.Duration) (<-chan struct{}, func() bool) {
	c := make(chan struct{})
	return c, b.clock.AfterFunc(d, func() { close(c) })
}

// Unsure returns f without its claim that nothing ran: only the minting host knows.
func Unsure(f *fault.Error) *fault.Error {
	c := *f
	c.Ran = true
	return &c
}
