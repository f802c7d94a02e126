package order

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

const (
	// adoptPage is the number of records that one call hands over.
	adoptPage = 1000
	// maxAdopted bounds the records that one host adopts; beyond it the next host in rank is asked.
	maxAdopted = 200_000
	// adoptTimeout bounds the call that hands over one page.
	adoptTimeout = 5 * time.Second
)

// adoption is the record of another host that has left; it tells outcomes and runs nothing.
type adoption struct {
	floor   uint64
	next    uint64
	records map[uint64]wire.OrderRecord
	// complete says that the whole record came, so that a ticket without an entry never ran.
	complete bool
}

// tell answers for a ticket of a host that has left, from what was adopted.
func (b *Book) tell(o wire.Order) wire.TellReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.adopted[o.Ticket.Host]
	if a == nil {
		return wire.TellReply{}
	}
	return wire.TellReply{Known: true, Reply: a.tell(o)}
}

func (a *adoption) tell(o wire.Order) wire.OrderReply {
	r, found := a.records[o.Ticket.Sequence]
	switch {
	case found && r.Digest != digest(o):
		return wire.OrderReply{Fault: fault.New(fault.Conflict, "the ticket was used for another order")}
	case found:
		return r.Reply
	case !a.complete || o.Ticket.Sequence <= a.floor:
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "the ticket's record is gone")}
	case o.Ticket.Sequence > a.next:
		return wire.OrderReply{Fault: fault.New(fault.Invalid, "%s has not minted the ticket", o.Ticket.Host)}
	default:
		return wire.OrderReply{Fault: fault.New(fault.Leaving, "%s left before the order ran: take a new ticket", o.Ticket.Host)}
	}
}

// adopt keeps one page of a record; it fails where this host leaves itself or has adopted too much.
func (b *Book) adopt(p wire.Adopt) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := len(p.Records)
	for _, a := range b.adopted {
		held += len(a.records)
	}
	if b.closed || held > maxAdopted {
		return fault.New(fault.Overload, "%s adopts no record", b.board.Self.Name)
	}
	a := b.adopted[p.From]
	if a == nil {
		a = &adoption{records: map[uint64]wire.OrderRecord{}}
		b.adopted[p.From] = a
		b.clock.AfterFunc(ticketLife, func() { b.forget(p.From) })
		b.log.Info("order record adopted", zap.Stringer("from", p.From))
	}
	a.floor, a.next = p.Floor, p.Next
	for _, r := range p.Records {
		a.records[r.Sequence] = r
	}
	a.complete = a.complete || p.Last
	return nil
}

func (b *Book) forget(id wire.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.adopted, id)
}

// HandOver gives this host's record, and those that it adopted, to its successors; it is to be called once the book is closed and idle.
func (b *Book) HandOver(ctx context.Context) {
	for id, pages := range b.pages() {
		given := 0
		for _, m := range rank(b.board.View.Load(), id, b.board.Self.Datacentre) {
			if given == successors {
				break
			}
			if m.State != wire.Alive || m.Name == b.board.Self.Name {
				continue
			}
			if b.give(ctx, m, pages) {
				given++
			}
		}
		b.scope.Counter("handed").Inc(int64(given))
		if given == 0 && len(pages[0].Records) > 0 {
			b.log.Warn("order record lost: no successor took it", zap.Stringer("of", id))
		}
	}
}

func (b *Book) give(ctx context.Context, m wire.Member, pages []wire.Adopt) bool {
	for _, p := range pages {
		call, cancel := b.clock.WithTimeout(ctx, adoptTimeout)
		err := b.dialer.Call(call, m.Peers, Remote+".Adopt", p, &wire.Empty{})
		cancel()
		if err != nil {
			b.log.Warn("order record not taken", zap.String("by", m.Name), zap.Error(err))
			return false
		}
	}
	return true
}

// pages writes all records down; an order that is still under way gets an unknown outcome.
func (b *Book) pages() map[wire.HostID][]wire.Adopt {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[wire.HostID][]wire.Adopt{}
	var own []wire.OrderRecord
	for sequence, r := range b.ledger.records {
		reply := r.reply
		if !r.settled {
			reply.Fault = fault.New(fault.Unknown, "%s left while the order was under way", b.board.Self.Name)
		}
		own = append(own, wire.OrderRecord{
			Sequence: sequence,
			Digest:   r.digest,
			Attempt:  r.attempt,
			Reply:    reply,
		})
	}
	self := b.board.Self.HostID
	all[self] = paginate(wire.Adopt{From: self, Floor: b.ledger.floor, Next: b.ledger.next}, own, true)
	for id, a := range b.adopted {
		records := make([]wire.OrderRecord, 0, len(a.records))
		for _, r := range a.records {
			records = append(records, r)
		}
		all[id] = paginate(wire.Adopt{From: id, Floor: a.floor, Next: a.next}, records, a.complete)
	}
	return all
}

func paginate(head wire.Adopt, records []wire.OrderRecord, complete bool) []wire.Adopt {
	var pages []wire.Adopt
	for {
		p := head
		p.Records = records[:min(adoptPage, len(records))]
		records = records[len(p.Records):]
		p.Last = complete && len(records) == 0
		pages = append(pages, p)
		if len(records) == 0 {
			return pages
		}
	}
}
