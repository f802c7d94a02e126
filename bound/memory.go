package bound

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrTooLong is returned for a response or message that exceeds its bounds.
var ErrTooLong = errors.New("the answer is too long")

// ErrNoMemory is returned if a memory budget has no room for a response or message.
var ErrNoMemory = errors.New("there is no memory for the answer")

// FreeBytes is the part of each body or message that is not charged to a memory budget, so that small responses can be read even if the budget is exhausted.
const FreeBytes = 32 << 10

// Memory is a budget for the memory of all responses or messages that are being received.
type Memory struct {
	free atomic.Int64
}

// NewMemory returns a budget in bytes.
func NewMemory(bytes int64) *Memory {
	m := &Memory{}
	m.free.Store(bytes)
	return m
}

// Reserve reserves bytes and reports whether the budget had room for them.
func (m *Memory) Reserve(bytes int64) bool {
	if m.free.Add(-bytes) < 0 {
		m.free.Add(bytes)
		return false
	}
	return true
}

// Release returns reserved bytes to the budget.
func (m *Memory) Release(bytes int64) {
	m.free.Add(bytes)
}

// minChunkBytes and maxChunkBytes are the sizes of the first chunk and of the largest chunks in which a body is read.
const (
	minChunkBytes = 2 << 10
	maxChunkBytes = 64 << 10
)

// ReadBody reads a body of at most limit bytes. The content length is -1 if it is unknown. Memory is reserved only while the body is read: ReadBody returns it to the budget at its end.
func (m *Memory) ReadBody(source io.Reader, contentLength, limit int64) ([]byte, error) {
	if contentLength > limit {
		return nil, fmt.Errorf("%w: its body has %d bytes, %d are read", ErrTooLong, contentLength, limit)
	}
	var chunks [][]byte
	var total, reserved int64
	defer func() { m.Release(reserved) }()
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
			return nil, fmt.Errorf("%w: its body has more than %d bytes", ErrTooLong, limit)
		}
		if missing := total - FreeBytes - reserved; missing > 0 {
			if !m.Reserve(missing) {
				return nil, fmt.Errorf("%w: %d bytes so far", ErrNoMemory, total)
			}
			reserved += missing
		}
		switch {
		case errors.Is(err, io.EOF):
			return joinChunks(append(chunks, chunk), total), nil
		case errors.Is(err, http.ErrLineTooLong):
			return nil, fmt.Errorf("%w: %w", ErrTooLong, err)
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
