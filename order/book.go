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

// Book issues tickets, runs the orders that use them at most once and keeps their outcomes.
type Book struct {
	clock  *timer.Clock
	board  *board.State
	dialer *wire.Dialer
	log    *zap.Logger
	scope  tally.Scope
	claims *claimWriter

	// send sends an order to a target's keeper; the error is a wire.CallError if no reply arrived.
	send func(ctx context.Context, keeper wire.Member, s wire.Send) (wire.OrderReply, error)
	// table returns the current assignment of targets to keepers.
	table func() *keeper.Table
	// guards enables the mechanisms that keep an order from running twice; tests disable them one at a time.
	guards guards

	mu sync.Mutex
	// closed says that orders that have not started are refused.
	closed  bool
	ledger  *ledger
	adopted map[wire.HostID]*adoptedLedger
	// running counts the orders that have started and not finished; idle is closed when Close was called and running is zero.
	running int
	idle    chan struct{}
}

// guards reports for each mechanism that keeps an order from running twice whether it is enabled; in production all are.
type guards struct {
	// reusesOutcome says that an order whose ticket has a record is answered from that record.
	reusesOutcome func() bool
	// onlyIssuerRuns says that only the incarnation of the host that issued a ticket runs its order.
	onlyIssuerRuns func() bool
	// keepsRefusal says that a refusal is the outcome of its attempt, so that a delayed copy of the request never runs.
	keepsRefusal func() bool
	// enforcesFloor says that tickets at or below the ledger's floor are refused.
	enforcesFloor func() bool
	// retriesOnlyNotRun says that an order goes to another replica only if it certainly has not run yet.
	retriesOnlyNotRun func() bool
	// claimsKeys says that a caller's key is claimed in the store before its order runs.
	claimsKeys func() bool
}

// enabled is the value of each guard in production.
func enabled() bool { return true }

// New returns a book without records that claims callers' keys in the platform's store.
func New(clock *timer.Clock, b *board.State, keepers *keeper.Client, dialer *wire.Dialer, platform *store.Client, log *zap.Logger, scope tally.Scope) *Book {
	return &Book{
		clock:   clock,
		board:   b,
		dialer:  dialer,
		log:     log,
		scope:   scope,
		claims:  newClaimWriter(clock, b, dialer, platform, scope),
		send:    keepers.Send,
		table:   keepers.Table,
		ledger:  newLedger(clock),
		adopted: map[wire.HostID]*adoptedLedger{},
		idle:    make(chan struct{}),
		guards: guards{
			reusesOutcome:     enabled,
			onlyIssuerRuns:    enabled,
			keepsRefusal:      enabled,
			enforcesFloor:     enabled,
			retriesOnlyNotRun: enabled,
			claimsKeys:        enabled,
		},
	}
}

// IssueTickets issues n new tickets.
func (b *Book) IssueTickets(n int) []wire.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.ledger.issue(n)
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

// Run runs an order if this host issued its ticket and forwards it to the issuing host otherwise; if the order has run before, it returns the recorded outcome.
func (b *Book) Run(ctx context.Context, o wire.Order) wire.OrderReply {
	if o.Ticket.Host == b.board.Self.HostID || !b.guards.onlyIssuerRuns() {
		return b.runLocal(o)
	}
	b.scope.Counter("forwarded").Inc(1)
	return b.forward(ctx, o)
}

// Refuse records fault f as the outcome of an order that this host refuses.
// Only for a ticket that this host issued may the reply say that the order has not run; that attempt then never runs.
func (b *Book) Refuse(o wire.Order, f *fault.Error) wire.OrderReply {
	if o.Ticket.Host != b.board.Self.HostID {
		return wire.OrderReply{Fault: AsMayHaveRun(f)}
	}
	r, opened, refused := b.openOrJoin(o)
	if refused != nil {
		return wire.OrderReply{Fault: refused}
	}
	if opened {
		b.finish(o.Ticket.Sequence, r, wire.OrderReply{Fault: f})
	}
	return b.awaitOutcome(r, o.Left)
}

// RefuseKeyed returns the reply to an order with a caller's key that this host refuses because of f; if the caller has sent the key before, the order may have run.
func (b *Book) RefuseKeyed(k Key, f *fault.Error) wire.OrderReply {
	if k.Repeated {
		f = AsMayHaveRun(f)
	}
	return wire.OrderReply{Fault: f}
}

// RunKeyed runs an order that a caller identifies by a key of its own, under the ticket that the key was first claimed for.
func (b *Book) RunKeyed(ctx context.Context, k Key, o wire.Order) wire.OrderReply {
	if f := k.validate(b.clock.Now()); f != nil {
		return wire.OrderReply{Fault: f}
	}
	start := b.clock.Now()
	o.Ticket = b.IssueTickets(1)[0]
	if b.guards.claimsKeys() {
		ticket, f := b.claimTicket(ctx, k, o)
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

// claimTicket claims the key for the order's ticket and returns the ticket that holds the key: the order's own, unless the key was claimed before.
func (b *Book) claimTicket(ctx context.Context, k Key, o wire.Order) (wire.Ticket, *fault.Error) {
	claimed := make(chan wire.ClaimReply, 1)
	go func() { claimed <- b.claims.claim(context.WithoutCancel(ctx), k.claimFor(FormatTicket(o.Ticket))) }()
	expired, stop := b.timeout(o.Left)
	defer stop()
	select {
	case result := <-claimed:
		if result.Fault != nil {
			return wire.Ticket{}, result.Fault
		}
		ticket, err := ParseTicket(result.Ticket)
		if err != nil {
			return wire.Ticket{}, fault.New(fault.Store, "the claim of the key holds %q", result.Ticket)
		}
		return ticket, nil
	case <-expired:
		return wire.Ticket{}, fault.New(fault.Store, "the key wasn't claimed in time")
	}
}

// timeout returns a channel that is closed after d and a function that stops the timer.
func (b *Book) timeout(d time.Duration) (<-chan struct{}, func() bool) {
	expired := make(chan struct{})
	return expired, b.clock.AfterFunc(d, func() { close(expired) })
}

// AsMayHaveRun returns a copy of f that says that the order may have run: only the issuing host knows that it has not.
func AsMayHaveRun(f *fault.Error) *fault.Error {
	mayHaveRun := *f
	mayHaveRun.Ran = true
	return &mayHaveRun
}
