package order

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

const (
	// askAgain is the time after which to ask for the outcome of an order under way.
	askAgain = 200 * time.Millisecond
	// outcomeWait is how long the outcome of an order that has begun is waited for after its deadline.
	outcomeWait = time.Minute
	// keeperWait is the time between two tries where a keeper has changed, keeperTries the number of further tries.
	keeperWait  = 50 * time.Millisecond
	keeperTries = 40
	// hopShare and hopMost give the part of an order's time that is kept back at each hop for the answer's way back.
	hopShare = 10
	hopMost  = 50 * time.Millisecond
)

// afterHop returns the time that the next hop gets of left.
func afterHop(left time.Duration) time.Duration {
	return left - min(left/hopShare, hopMost)
}

// own runs an order of this host's tickets unless it has run before, and waits for the outcome until the deadline.
func (b *Book) own(o wire.Order) wire.OrderReply {
	r, fresh, refused := b.begin(o)
	if refused != nil {
		return wire.OrderReply{Fault: refused}
	}
	if fresh {
		go func() { b.settle(o.Ticket.Sequence, r, b.perform(o)) }()
	} else {
		b.scope.Counter("repeats").Inc(1)
	}
	return b.await(r, o.Left)
}

// begin opens the ticket's record or finds the one that it has; fresh says that this call has to settle it.
func (b *Book) begin(o wire.Order) (r *record, fresh bool, refused *fault.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.expire()
	if r := b.ledger.records[o.Ticket.Sequence]; r != nil && b.guards.remembers() {
		return b.join(r, o)
	}
	return b.open(o)
}

// join answers from a record that stands; only a refused order may be tried again, and only by a later attempt, so that a delayed copy of the refused one never runs.
func (b *Book) join(r *record, o wire.Order) (*record, bool, *fault.Error) {
	if r.digest != digest(o) {
		return nil, false, fault.New(fault.Conflict, "the ticket was used for another order")
	}
	refused := r.settled && r.reply.Fault != nil && r.reply.Fault.NotRun()
	if refused && (o.Attempt > r.attempt || !b.guards.seals()) {
		return b.open(o)
	}
	return r, false, nil
}

func (b *Book) open(o wire.Order) (*record, bool, *fault.Error) {
	sequence := o.Ticket.Sequence
	switch {
	case b.guards.mints() && (sequence == 0 || sequence > b.ledger.next):
		return nil, false, fault.New(fault.Invalid, "this host has not minted the ticket")
	case b.guards.floors() && sequence <= b.ledger.floor:
		return nil, false, fault.New(fault.Unknown, "the ticket is too old: its record is gone")
	case b.closed:
		return nil, false, fault.New(fault.Leaving, "%s is leaving", b.board.Self.Name)
	}
	b.under++
	return b.ledger.put(o), true, nil
}

// settle keeps the outcome and wakes all who wait for it.
func (b *Book) settle(sequence uint64, r *record, reply wire.OrderReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.settle(sequence, r, reply)
	b.scope.Gauge("records").Update(float64(len(b.ledger.records)))
	b.scope.Gauge("recordbytes").Update(float64(b.ledger.kept))
	b.scope.Tagged(map[string]string{"outcome": outcomeName(reply)}).Counter("settled").Inc(1)
	b.under--
	if b.under == 0 && b.closed {
		close(b.idle)
	}
}

func outcomeName(r wire.OrderReply) string {
	if r.Fault == nil {
		return "ran"
	}
	return r.Fault.Kind.String()
}

// await gives the final answer at the deadline at the latest.
func (b *Book) await(r *record, left time.Duration) wire.OrderReply {
	timeout, stop := b.timeout(left)
	defer stop()
	select {
	case <-r.done:
		return r.reply
	case <-timeout:
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "the order is under way: ask again with the same ticket or key").WithRetry(askAgain)}
	}
}

// perform sends the order to one replica after another for as long as it is certain that none has run it, and again where a keeper has changed.
func (b *Book) perform(o wire.Order) wire.OrderReply {
	m := b.board.Map(o.Service)
	if m == nil {
		return wire.OrderReply{Fault: fault.New(fault.NoService, "no shard map of %s", o.Service)}
	}
	if o.Shard < 0 || o.Shard >= len(m.Shards) {
		return wire.OrderReply{Fault: fault.New(fault.Invalid, "%s has no shard %d", o.Service, o.Shard)}
	}
	deadline := b.clock.Now().Add(afterHop(o.Left))
	reply, again := b.round(o, m, deadline)
	for range keeperTries {
		if !again || deadline.Sub(b.clock.Now()) <= keeperWait {
			break
		}
		<-b.clock.After(keeperWait)
		reply, again = b.round(o, m, deadline)
	}
	return reply
}

// round tries each replica once; again says that nothing ran and that a keeper which changes may take the order soon.
func (b *Book) round(o wire.Order, m *shard.Map, deadline time.Time) (reply wire.OrderReply, again bool) {
	reply.Fault = fault.New(fault.NoReplica, "no replica of shard %d of %s can be reached", o.Shard, o.Service)
	table := b.table()
	for _, i := range m.Shards[o.Shard] {
		t := m.Targets[i]
		k, found := table.Keeper(t.Name)
		if !found || b.board.Tree.Load().Out(k.Region, t.Datacentre) {
			continue
		}
		left := deadline.Sub(b.clock.Now())
		if left <= 0 {
			return wire.OrderReply{Fault: fault.New(fault.TooLate, "the order's time passed before it was sent")}, false
		}
		reply = b.sendTo(o, k, t, left)
		if reply.Fault == nil || (!reply.Fault.NotRun() && b.guards.certain()) {
			return reply, false
		}
		again = again || keeperChanges(reply.Fault.Kind)
	}
	return reply, again
}

// keeperChanges reports whether a refusal is the keeper's and not the target's.
func keeperChanges(k fault.Kind) bool {
	return k == fault.Moved || k == fault.Leaving || k == fault.Paused
}

func (b *Book) sendTo(o wire.Order, k wire.Member, t shard.Target, left time.Duration) wire.OrderReply {
	ctx, cancel := b.clock.WithTimeout(context.Background(), left+outcomeWait)
	defer cancel()
	if !b.board.Pulse.Awake() {
		return wire.OrderReply{Fault: fault.New(fault.Paused, "%s was paused", b.board.Self.Name)}
	}
	reply, err := b.send(ctx, k, wire.Send{
		ID:      Format(o.Ticket),
		From:    b.board.Self.HostID,
		Service: o.Service,
		Shard:   o.Shard,
		Target:  t.Name,
		Class:   o.Class,
		Left:    left,
		Payload: o.Payload,
	})
	if err != nil {
		return wire.OrderReply{Target: t.Name, Fault: lost(err)}
	}
	return reply
}

// lost is the fault of an order whose call gave no answer: not run only if the call never left.
func lost(err error) *fault.Error {
	var call *wire.CallError
	if errors.As(err, &call) && !call.Sent {
		return fault.New(fault.Moved, "the keeper can't be reached: %v", err)
	}
	return fault.New(fault.Unknown, "%v", err)
}

// Close ends the running of orders: those under way finish, all others are refused.
func (b *Book) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	if b.under == 0 {
		close(b.idle)
	}
}

// Idle returns a channel that is closed once no order is under way after Close.
func (b *Book) Idle() <-chan struct{} {
	return b.idle
}
