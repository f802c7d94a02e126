package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
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
var ErrResponseTooLong = errors.New("the answer is too long")

// errNoMemory is returned if the memory budget has no room for a response's body.
var errNoMemory = errors.New("there is no memory for the answer's body")

// unreservedBodyBytes is the part of each body that is not charged to the memory budget, so that small responses can be read even if the budget is exhausted.
const unreservedBodyBytes = 32 << 10

// memoryBudget limits the total memory of all bodies being read, beyond unreservedBodyBytes each.
type memoryBudget struct {
	free atomic.Int64
}

// reserve reserves n bytes and reports whether the budget had room for them.
func (m *memoryBudget) reserve(n int64) bool {
	if m.free.Add(-n) < 0 {
		m.free.Add(n)
		return false
	}
	return true
}

// limitedReader reads from a source and fails with ErrResponseTooLong after a number of bytes.
type limitedReader struct {
	source    io.Reader
	remaining int64
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
	return n, err
}

// wrapLimitError wraps err in ErrResponseTooLong if the limit was reached, because a parser reports the truncated input as malformed instead.
func (l *limitedReader) wrapLimitError(err error) error {
	if l.remaining > 0 || errors.Is(err, ErrResponseTooLong) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrResponseTooLong, err)
}

// minChunkBytes and maxChunkBytes are the sizes of the first chunk and of the largest chunks in which a body is read.
const (
	minChunkBytes = 2 << 10
	maxChunkBytes = 64 << 10
)

// readBody reads a body of at most limit bytes. The content length is -1 if it is unknown. Memory is reserved only while the body is read: readBody returns it to the budget at its end.
func (m *memoryBudget) readBody(source io.Reader, contentLength, limit int64) ([]byte, error) {
	if contentLength > limit {
		return nil, fmt.Errorf("%w: its body has %d bytes, %d are read", ErrResponseTooLong, contentLength, limit)
	}
	var chunks [][]byte
	var total, reserved int64
	defer func() { m.free.Add(reserved) }()
	chunk := make([]byte, 0, minChunkBytes)
	for {
		if len(chunk) == cap(chunk) {
			chunks = append(chunks, chunk)
			chunk = make([]byte, 0, min(2*cap(chunk), maxChunkBytes))
		}
		n, err := source.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		total += int64(n)
		if total > limit {
			return nil, fmt.Errorf("%w: its body has more than %d bytes", ErrResponseTooLong, limit)
		}
		if missing := total - unreservedBodyBytes - reserved; missing > 0 {
			if !m.reserve(missing) {
				return nil, fmt.Errorf("%w: %d bytes so far", errNoMemory, total)
			}
			reserved += missing
		}
		switch {
		case errors.Is(err, io.EOF):
			return joinChunks(append(chunks, chunk), total), nil
		case errors.Is(err, http.ErrLineTooLong):
			return nil, fmt.Errorf("%w: %w", ErrResponseTooLong, err)
		case err != nil:
			return nil, err
		}
	}
}

// joinChunks concatenates the chunks, which have total bytes.
func joinChunks(chunks [][]byte, total int64) []byte {
	if len(chunks) == 1 {
		return chunks[0]
	}
	body := make([]byte, 0, total)
	for _, c := range chunks {
		body = append(body, c...)
	}
	return body
}
