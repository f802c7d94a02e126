package order

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/timer"
	"kingcupcross/units"
	"kingcupcross/wire"
)

const (
	// ticketLife is the time after its minting in which a ticket can be used and its outcome be told.
	ticketLife = time.Hour
	// markStep is the time whose tickets share one mark, and so the accuracy of ticketLife.
	markStep = time.Second
	// maxKept bounds the bytes of the records; beyond it the oldest tickets' lives end early.
	maxKept = 64 * units.MiB
	// recordCost is counted for each record besides its payload.
	recordCost = units.KiB / 4
)

// record is what this host remembers of one ticket; done is closed once the reply stands.
type record struct {
	digest  uint64
	attempt int
	settled bool
	done    chan struct{}
	reply   wire.OrderReply
}

func (r *record) size() units.Size {
	return recordCost + units.Size(len(r.reply.Payload))
}

// mark says that the tickets up to a sequence were minted by a time.
type mark struct {
	end  time.Time
	last uint64
}

// ledger holds the records of one host's tickets; a ticket at or below the floor never runs, whether its record is there or not.
type ledger struct {
	clock   *timer.Service
	next    uint64
	floor   uint64
	swept   uint64
	marks   []mark
	records map[uint64]*record
	kept    units.Size
	limit   units.Size
}

func newLedger(clock *timer.Service) *ledger {
	return &ledger{clock: clock, records: map[uint64]*record{}, limit: maxKept}
}

// mint counts n new tickets and returns the first one's sequence.
func (l *ledger) mint(n int) uint64 {
	first := l.next + 1
	l.next += uint64(n)
	now := l.clock.Now()
	if len(l.marks) == 0 || now.After(l.marks[len(l.marks)-1].end) {
		l.marks = append(l.marks, mark{end: now.Add(markStep)})
	}
	l.marks[len(l.marks)-1].last = l.next
	l.expire()
	return first
}

// expire raises the floor past the tickets whose life has ended and drops their records.
func (l *ledger) expire() {
	end := l.clock.Now().Add(-ticketLife)
	for len(l.marks) > 0 && l.marks[0].end.Before(end) {
		l.floor = max(l.floor, l.marks[0].last)
		l.marks = l.marks[1:]
	}
	for l.kept > l.limit && l.floor < l.next {
		l.floor++
		l.sweep()
	}
	l.sweep()
}

// sweep drops the settled records up to the floor; those under way go when they are settled.
func (l *ledger) sweep() {
	for l.swept < l.floor {
		l.swept++
		if r := l.records[l.swept]; r != nil && r.settled {
			l.drop(l.swept, r)
		}
	}
}

func (l *ledger) drop(sequence uint64, r *record) {
	l.kept -= r.size()
	delete(l.records, sequence)
}

// put opens a record, in place of one that ended with a refusal.
func (l *ledger) put(o wire.Order) *record {
	if old := l.records[o.Ticket.Sequence]; old != nil {
		l.drop(o.Ticket.Sequence, old)
	}
	r := &record{digest: digest(o), attempt: o.Attempt, done: make(chan struct{})}
	l.records[o.Ticket.Sequence] = r
	l.kept += r.size()
	return r
}

// settle keeps the reply in a record.
func (l *ledger) settle(sequence uint64, r *record, reply wire.OrderReply) {
	l.kept -= r.size()
	r.reply, r.settled = reply, true
	l.kept += r.size()
	close(r.done)
	if sequence <= l.swept {
		l.drop(sequence, r)
	}
	l.expire()
}

// digest tells orders apart that use the same ticket.
func digest(o wire.Order) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(o.Service)
	d.Write([]byte{0, byte(o.Shard), byte(o.Shard >> 8), byte(o.Shard >> 16), byte(o.Shard >> 24)})
	d.Write(o.Payload)
	return d.Sum64()
}
