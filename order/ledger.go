package order

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/timer"
	"kingcupcross/units"
	"kingcupcross/wire"
)

const (
	// ticketLifetime is how long after its issue a ticket can be used and its outcome be asked for.
	ticketLifetime = time.Hour
	// markInterval is the time during which all issued tickets share one expiry mark, and so the accuracy of ticketLifetime.
	markInterval = time.Second
	// maxRecordBytes limits the memory of the records; above it the oldest tickets expire early.
	maxRecordBytes = 64 * units.MiB
	// recordOverhead is the memory that is counted for each record in addition to its payload.
	recordOverhead = units.KiB / 4
)

// record holds the state and the outcome of one ticket's order; done is closed once reply is final.
type record struct {
	digest   uint64
	attempt  int
	finished bool
	done     chan struct{}
	reply    wire.OrderReply
}

// size returns the memory that is counted for the record.
func (r *record) size() units.Size {
	return recordOverhead + units.Size(len(r.reply.Payload))
}

// expiryMark says that all tickets up to sequence last were issued by time end.
type expiryMark struct {
	end  time.Time
	last uint64
}

// ledger holds the records of the tickets that this host issued.
// A ticket at or below the floor has expired and never runs, whether it has a record or not.
type ledger struct {
	clock *timer.Clock
	// lastIssued is the highest sequence issued, droppedTo the highest whose record dropExpiredRecords has looked at.
	lastIssued uint64
	floor      uint64
	droppedTo  uint64
	marks      []expiryMark
	records    map[uint64]*record
	// recordBytes is the memory counted for all records.
	recordBytes units.Size
	maxBytes    units.Size
}

func newLedger(clock *timer.Clock) *ledger {
	return &ledger{clock: clock, records: map[uint64]*record{}, maxBytes: maxRecordBytes}
}

// issue reserves n new sequence numbers and returns the first of them.
func (l *ledger) issue(n int) uint64 {
	first := l.lastIssued + 1
	l.lastIssued += uint64(n)
	now := l.clock.Now()
	if len(l.marks) == 0 || now.After(l.marks[len(l.marks)-1].end) {
		l.marks = append(l.marks, expiryMark{end: now.Add(markInterval)})
	}
	l.marks[len(l.marks)-1].last = l.lastIssued
	l.expire()
	return first
}

// expire raises the floor past the tickets whose lifetime has ended, and further while the records take more than maxBytes, and drops their records.
func (l *ledger) expire() {
	cutoff := l.clock.Now().Add(-ticketLifetime)
	for len(l.marks) > 0 && l.marks[0].end.Before(cutoff) {
		l.floor = max(l.floor, l.marks[0].last)
		l.marks = l.marks[1:]
	}
	for l.recordBytes > l.maxBytes && l.floor < l.lastIssued {
		l.floor++
		l.dropExpiredRecords()
	}
	l.dropExpiredRecords()
}

// dropExpiredRecords drops the finished records up to the floor; finish drops those of orders that are still running.
func (l *ledger) dropExpiredRecords() {
	for l.droppedTo < l.floor {
		l.droppedTo++
		if r := l.records[l.droppedTo]; r != nil && r.finished {
			l.dropRecord(l.droppedTo, r)
		}
	}
}

// dropRecord deletes a record and takes its memory off the count.
func (l *ledger) dropRecord(sequence uint64, r *record) {
	l.recordBytes -= r.size()
	delete(l.records, sequence)
}

// addRecord adds a record for a new attempt of the order and replaces the one of an attempt that was refused.
func (l *ledger) addRecord(o wire.Order) *record {
	if old := l.records[o.Ticket.Sequence]; old != nil {
		l.dropRecord(o.Ticket.Sequence, old)
	}
	r := &record{digest: digest(o), attempt: o.Attempt, done: make(chan struct{})}
	l.records[o.Ticket.Sequence] = r
	l.recordBytes += r.size()
	return r
}

// finish stores the final reply in a record and wakes those who wait for it.
func (l *ledger) finish(sequence uint64, r *record, reply wire.OrderReply) {
	l.recordBytes -= r.size()
	r.reply, r.finished = reply, true
	l.recordBytes += r.size()
	close(r.done)
	if sequence <= l.droppedTo {
		l.dropRecord(sequence, r)
	}
	l.expire()
}

// digest returns a hash of an order's content; it detects different orders that use the same ticket.
func digest(o wire.Order) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	hash.WriteString(o.Service)
	hash.Write([]byte{0, byte(o.Shard), byte(o.Shard >> 8), byte(o.Shard >> 16), byte(o.Shard >> 24)})
	hash.Write(o.Payload)
	return hash.Sum64()
}
