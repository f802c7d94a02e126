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
	// outcomeRetryAfter is the time after which callers are told to ask again for the outcome of a running order.
	outcomeRetryAfter = 200 * time.Millisecond
	// outcomeTimeout is how long after its deadline the outcome of a sent order is still awaited.
	outcomeTimeout = time.Minute
	// keeperRetryInterval is the time between two attempts while a target's keeper changes, maxKeeperRetries the number of attempts after the first.
	keeperRetryInterval = 50 * time.Millisecond
	maxKeeperRetries    = 40
	// Each hop reserves 1/hopReserveDivisor of an order's remaining time, but at most maxHopReserve, for the reply's way back.
	hopReserveDivisor = 10
	maxHopReserve     = 50 * time.Millisecond
)

// nextHopBudget returns how much of the remaining time the next hop gets.
func nextHopBudget(left time.Duration) time.Duration {
	return left - min(left/hopReserveDivisor, maxHopReserve)
}

// runLocal runs an order whose ticket this host issued, unless it has run before, and waits for the outcome until the deadline.
func (b *Book) runLocal(o wire.Order) wire.OrderReply {
	r, opened, refused := b.openOrJoin(o)
	if refused != nil {
		return wire.OrderReply{Fault: refused}
	}
	if opened {
		go func() { b.finish(o.Ticket.Sequence, r, b.execute(o)) }()
	} else {
		b.scope.Counter("repeats").Inc(1)
	}
	return b.awaitOutcome(r, o.Left)
}

// openOrJoin returns the record of the order's ticket; if opened is true, the record is new and this call has to run and finish the order.
func (b *Book) openOrJoin(o wire.Order) (r *record, opened bool, refused *fault.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.expire()
	if r := b.ledger.records[o.Ticket.Sequence]; r != nil && b.guards.reusesOutcome() {
		return b.joinRecord(r, o)
	}
	return b.openRecord(o)
}

// joinRecord returns an existing record for a repeat of its order.
// Only a refused order may run again, and only as a later attempt, so that a delayed copy of the refused request never runs.
func (b *Book) joinRecord(r *record, o wire.Order) (*record, bool, *fault.Error) {
	if r.digest != digest(o) {
		return nil, false, fault.New(fault.Conflict, "the ticket was used for another order")
	}
	wasRefused := r.finished && r.reply.Fault != nil && r.reply.Fault.NotRun()
	if wasRefused && (o.Attempt > r.attempt || !b.guards.keepsRefusal()) {
		return b.openRecord(o)
	}
	return r, false, nil
}

// openRecord adds a record for the order, or refuses the order if its ticket is unknown or expired or this host is leaving.
func (b *Book) openRecord(o wire.Order) (*record, bool, *fault.Error) {
	sequence := o.Ticket.Sequence
	switch {
	case b.guards.onlyIssuerRuns() && (sequence == 0 || sequence > b.ledger.lastIssued):
		return nil, false, fault.New(fault.Invalid, "this host has not minted the ticket")
	case b.guards.enforcesFloor() && sequence <= b.ledger.floor:
		return nil, false, fault.New(fault.Unknown, "the ticket is too old: its record is gone")
	case b.closed:
		return nil, false, fault.New(fault.Leaving, "%s is leaving", b.board.Self.Name)
	}
	b.running++
	return b.ledger.addRecord(o), true, nil
}

// finish stores the outcome of a running order, wakes all who wait for it and updates the metrics.
func (b *Book) finish(sequence uint64, r *record, reply wire.OrderReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.finish(sequence, r, reply)
	b.scope.Gauge("records").Update(float64(len(b.ledger.records)))
	b.scope.Gauge("recordbytes").Update(float64(b.ledger.recordBytes))
	b.scope.Tagged(map[string]string{"outcome": outcomeName(reply)}).Counter("settled").Inc(1)
	b.running--
	if b.running == 0 && b.closed {
		close(b.idle)
	}
}

// outcomeName returns the metric tag value for a reply: ran, or the kind of its fault.
func outcomeName(r wire.OrderReply) string {
	if r.Fault == nil {
		return "ran"
	}
	return r.Fault.Kind.String()
}

// awaitOutcome returns the outcome, or fault.Unknown if the order is still running when its time has passed.
func (b *Book) awaitOutcome(r *record, left time.Duration) wire.OrderReply {
	expired, stop := b.timeout(left)
	defer stop()
	select {
	case <-r.done:
		return r.reply
	case <-expired:
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "the order is under way: ask again with the same ticket or key").WithRetry(outcomeRetryAfter)}
	}
}

// execute sends the order to the shard's replicas one after another, for as long as it is certain that none has run it, and retries while a keeper changes.
func (b *Book) execute(o wire.Order) wire.OrderReply {
	m := b.board.ShardMap(o.Service)
	if m == nil {
		return wire.OrderReply{Fault: fault.New(fault.NoService, "no shard map of %s", o.Service)}
	}
	if o.Shard < 0 || o.Shard >= len(m.Shards) {
		return wire.OrderReply{Fault: fault.New(fault.Invalid, "%s has no shard %d", o.Service, o.Shard)}
	}
	deadline := b.clock.Now().Add(nextHopBudget(o.Left))
	reply, retry := b.tryReplicas(o, m, deadline)
	for range maxKeeperRetries {
		if !retry || deadline.Sub(b.clock.Now()) <= keeperRetryInterval {
			break
		}
		<-b.clock.After(keeperRetryInterval)
		reply, retry = b.tryReplicas(o, m, deadline)
	}
	return reply
}

// tryReplicas tries each replica once; if retry is true, nothing has run and a keeper that is changing may accept the order soon.
func (b *Book) tryReplicas(o wire.Order, m *shard.Map, deadline time.Time) (reply wire.OrderReply, retry bool) {
	reply.Fault = fault.New(fault.NoReplica, "no replica of shard %d of %s can be reached", o.Shard, o.Service)
	table := b.table()
	for _, i := range m.Shards[o.Shard] {
		t := m.Targets[i]
		k, found := table.Keeper(t.Name)
		if !found || b.board.Tree.Load().DatacentreOut(k.Region, t.Datacentre) {
			continue
		}
		left := deadline.Sub(b.clock.Now())
		if left <= 0 {
			return wire.OrderReply{Fault: fault.New(fault.TooLate, "the order's time passed before it was sent")}, false
		}
		reply = b.sendToKeeper(o, k, t, left)
		if reply.Fault == nil || (!reply.Fault.NotRun() && b.guards.retriesOnlyNotRun()) {
			return reply, false
		}
		retry = retry || refusedByKeeper(reply.Fault.Kind)
	}
	return reply, retry
}

// refusedByKeeper reports whether a fault of this kind comes from the keeper and not from the target.
func refusedByKeeper(k fault.Kind) bool {
	return k == fault.Moved || k == fault.Leaving || k == fault.Paused
}

// sendToKeeper sends the order to the keeper of target t, which sends it to the target, and waits for the outcome until outcomeTimeout after the deadline; a host that was paused sends nothing.
func (b *Book) sendToKeeper(o wire.Order, keeper wire.Member, t shard.Target, left time.Duration) wire.OrderReply {
	ctx, cancel := b.clock.WithTimeout(context.Background(), left+outcomeTimeout)
	defer cancel()
	if !b.board.PauseDetector.MaySend() {
		return wire.OrderReply{Fault: fault.New(fault.Paused, "%s was paused", b.board.Self.Name)}
	}
	reply, err := b.send(ctx, keeper, wire.Send{
		ID:      FormatTicket(o.Ticket),
		From:    b.board.Self.HostID,
		Service: o.Service,
		Shard:   o.Shard,
		Target:  t.Name,
		Class:   o.Class,
		Left:    left,
		Payload: o.Payload,
	})
	if err != nil {
		return wire.OrderReply{Target: t.Name, Fault: callFault(err)}
	}
	return reply
}

// callFault returns the fault for an order whose call got no reply: it says that the order has not run only if the call was never sent.
func callFault(err error) *fault.Error {
	var call *wire.CallError
	if errors.As(err, &call) && !call.Sent {
		return fault.New(fault.Moved, "the keeper can't be reached: %v", err)
	}
	return fault.New(fault.Unknown, "%v", err)
}

// Close makes the book refuse orders that have not started; running orders finish.
func (b *Book) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	if b.running == 0 {
		close(b.idle)
	}
}

// Idle returns a channel that is closed once no order is running after Close.
func (b *Book) Idle() <-chan struct{} {
	return b.idle
}
