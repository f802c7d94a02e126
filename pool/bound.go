package pool

import (
	"errors"
	"fmt"
	"io"

	"kingcupcross/bound"
)

// Bounds limits the size of a response in bytes.
type Bounds struct {
	// Head limits the status line, the header fields, interim responses and the framing of the body.
	Head int64
	// Body limits the body.
	Body int64
}

// DefaultBounds applies to requests without bounds.
var DefaultBounds = Bounds{
	Head: 64 << 10,
	Body: 4 << 20,
}

// DefaultMemory is the memory budget in bytes for response bodies on a host whose memory size is unknown.
const DefaultMemory = 24 << 20

// ErrResponseTooLong is returned for a response that exceeds its bounds.
var ErrResponseTooLong = bound.ErrTooLong

// freeHeadBytes is the part of each head that is not charged to the memory budget, which is all of a target's.
const freeHeadBytes = 64 << 10

// headCost is the memory that is charged for a byte of a head, which is copied while it is parsed.
const headCost = 2

// limitedReader reads from a source and fails with ErrResponseTooLong after a number of bytes. While it reads a head, it charges it to a memory budget.
type limitedReader struct {
	source    io.Reader
	memory    *bound.Memory
	remaining int64
	// inHead is set while a head is read. headBytes is its size so far, headReserved the memory that is reserved for it.
	inHead                  bool
	headBytes, headReserved int64
	// received is set once bytes have been read. It is cleared before each request.
	received bool
}

// Read reads from the source until the limit is reached.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, fmt.Errorf("%w: its head or framing doesn't end", ErrResponseTooLong)
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	l.received = l.received || n > 0
	if l.inHead && !l.chargeHead(int64(n)) {
		return 0, fmt.Errorf("%w: its head has %d bytes so far", bound.ErrNoMemory, l.headBytes)
	}
	return n, err
}

// chargeHead reserves memory for further bytes of a head and reports whether there was room.
func (l *limitedReader) chargeHead(n int64) bool {
	l.headBytes += n
	missing := headCost*(l.headBytes-freeHeadBytes) - l.headReserved
	if missing <= 0 {
		return true
	}
	if !l.memory.Reserve(missing) {
		return false
	}
	l.headReserved += missing
	return true
}

// beginHead prepares for a head of at most limit bytes, with the interim responses before it.
func (l *limitedReader) beginHead(limit int64) {
	l.remaining, l.inHead, l.headBytes = limit, true, 0
}

// beginBody prepares for the body and its framing, of at most limit bytes.
func (l *limitedReader) beginBody(limit int64) {
	l.remaining, l.inHead = limit, false
}

// release returns the memory that is reserved for a head.
func (l *limitedReader) release() {
	l.memory.Release(l.headReserved)
	l.headReserved = 0
}

// wrapLimitError wraps err in ErrResponseTooLong if the limit was reached, because a parser reports the truncated input as malformed instead.
func (l *limitedReader) wrapLimitError(err error) error {
	if l.remaining > 0 || errors.Is(err, ErrResponseTooLong) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrResponseTooLong, err)
}
