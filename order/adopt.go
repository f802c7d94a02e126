package order

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

const (
	// adoptPageSize is the maximum number of records in one Adopt call, adoptPageBytes the size of their payloads from which a page is complete.
	adoptPageSize  = 1000
	adoptPageBytes = 1 << 20
	// maxAdoptedRecords limits the records that a host holds for others; above it the host refuses further records and the sender tries the next successor.
	maxAdoptedRecords = 200_000
	// adoptTimeout is the timeout of one Adopt call.
	adoptTimeout = 5 * time.Second
)

// adoptedLedger holds the outcome records of a host that has left; it answers for outcomes and never runs an order.
type adoptedLedger struct {
	// floor and lastIssued are the values of the ledger of the host that left.
	floor      uint64
	lastIssued uint64
	records    map[uint64]wire.OrderRecord
	// complete says that all pages have arrived; a ticket above the floor without a record then never ran.
	complete bool
}

// adoptedOutcome answers for a ticket from the records adopted from the host that issued it; Known is false if there are none.
func (b *Book) adoptedOutcome(o wire.Order) wire.TellReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.adopted[o.Ticket.Host]
	if a == nil {
		return wire.TellReply{}
	}
	return wire.TellReply{Known: true, Reply: a.outcome(o)}
}

// outcome returns the reply to an order of the host that has left: its recorded outcome, or a fault that says what is known without a record.
func (a *adoptedLedger) outcome(o wire.Order) wire.OrderReply {
	r, found := a.records[o.Ticket.Sequence]
	switch {
	case found && r.Digest != digest(o):
		return wire.OrderReply{Fault: fault.New(fault.Conflict, "the ticket was used for another order")}
	case found:
		return r.Reply
	case !a.complete || o.Ticket.Sequence <= a.floor:
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "the ticket's record is gone")}
	case o.Ticket.Sequence > a.lastIssued:
		return wire.OrderReply{Fault: fault.New(fault.Invalid, "%s has not minted the ticket", o.Ticket.Host)}
	default:
		return wire.OrderReply{Fault: fault.New(fault.Leaving, "%s left before the order ran: take a new ticket", o.Ticket.Host)}
	}
}

// adopt stores one page of another host's records; it fails if this host is leaving too or would hold more than maxAdoptedRecords.
func (b *Book) adopt(p wire.Adopt) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := len(p.Records)
	for _, a := range b.adopted {
		total += len(a.records)
	}
	if b.closed || total > maxAdoptedRecords {
		return fault.New(fault.Overload, "%s adopts no record", b.board.Self.Name)
	}
	a := b.adopted[p.From]
	if a == nil {
		a = &adoptedLedger{records: map[uint64]wire.OrderRecord{}}
		b.adopted[p.From] = a
		b.clock.AfterFunc(ticketLifetime, func() { b.dropAdopted(p.From) })
		b.log.Info("adopted order records of a host that left", zap.Stringer("from", p.From))
	}
	a.floor, a.lastIssued = p.Floor, p.Next
	for _, r := range p.Records {
		a.records[r.Sequence] = r
	}
	a.complete = a.complete || p.Last
	return nil
}

// dropAdopted deletes the records adopted from a host.
func (b *Book) dropAdopted(id wire.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.adopted, id)
}

// HandOver sends this host's records, and those it adopted from other hosts, to their successors.
// Call it once the book is closed and idle.
func (b *Book) HandOver(ctx context.Context) {
	for id, pages := range b.exportPages() {
		accepted := 0
		for _, m := range rankSuccessors(b.board.Membership.Load(), id, b.board.Self.Datacentre) {
			if accepted == successorCount {
				break
			}
			if m.State != wire.Alive || m.Name == b.board.Self.Name {
				continue
			}
			if b.sendPages(ctx, m, pages) {
				accepted++
			}
		}
		b.scope.Counter("handed").Inc(int64(accepted))
		if accepted == 0 && len(pages[0].Records) > 0 {
			b.log.Warn("order records lost: no successor accepted them", zap.Stringer("of", id))
		}
	}
}

// sendPages sends all pages to a successor and reports whether it accepted every one of them.
func (b *Book) sendPages(ctx context.Context, m wire.Member, pages []wire.Adopt) bool {
	for _, p := range pages {
		call, cancel := b.clock.WithTimeout(ctx, adoptTimeout)
		err := b.dialer.Call(call, m.Peers, ServiceName+".Adopt", p, &wire.Empty{})
		cancel()
		if err != nil {
			b.log.Warn("host did not accept order records", zap.String("by", m.Name), zap.Error(err))
			return false
		}
	}
	return true
}

// exportPages returns the pages of this host's records and of the adopted ones, by issuing host; an order that is still running gets fault.Unknown.
func (b *Book) exportPages() map[wire.HostID][]wire.Adopt {
	b.mu.Lock()
	defer b.mu.Unlock()
	pages := map[wire.HostID][]wire.Adopt{}
	var ownRecords []wire.OrderRecord
	for sequence, r := range b.ledger.records {
		reply := r.reply
		if !r.finished {
			reply.Fault = fault.New(fault.Unknown, "%s left while the order was under way", b.board.Self.Name)
		}
		ownRecords = append(ownRecords, wire.OrderRecord{
			Sequence: sequence,
			Digest:   r.digest,
			Attempt:  r.attempt,
			Reply:    reply,
		})
	}
	self := b.board.Self.HostID
	pages[self] = paginate(wire.Adopt{From: self, Floor: b.ledger.floor, Next: b.ledger.lastIssued}, ownRecords, true)
	for id, a := range b.adopted {
		records := make([]wire.OrderRecord, 0, len(a.records))
		for _, r := range a.records {
			records = append(records, r)
		}
		pages[id] = paginate(wire.Adopt{From: id, Floor: a.floor, Next: a.lastIssued}, records, a.complete)
	}
	return pages
}

// paginate splits records into pages that each carry the fields of header; only the last page of a complete set has Last set.
func paginate(header wire.Adopt, records []wire.OrderRecord, complete bool) []wire.Adopt {
	var pages []wire.Adopt
	for {
		p := header
		p.Records = records[:countPage(records)]
		records = records[len(p.Records):]
		p.Last = complete && len(records) == 0
		pages = append(pages, p)
		if len(records) == 0 {
			return pages
		}
	}
}

// countPage returns the number of records of the next page.
func countPage(records []wire.OrderRecord) int {
	size := 0
	for i, r := range records {
		size += len(r.Reply.Payload)
		if i+1 == adoptPageSize || size >= adoptPageBytes {
			return i + 1
		}
	}
	return len(records)
}
