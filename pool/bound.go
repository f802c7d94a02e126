package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// Bounds are the most bytes of an answer that are read.
type Bounds struct {
	// Head counts status line, fields, interim answers, and what the framing adds to a body.
	Head int64
	// Body counts the body.
	Body int64
}

// DefaultBounds hold for requests that state none.
var DefaultBounds = Bounds{
	Head: 64 << 10,
	Body: 4 << 20,
}

// DefaultMemory is the number of bytes that bodies may hold together on a host whose memory isn't known.
const DefaultMemory = 24 << 20

// ErrTooLong says that an answer has no end within its bounds.
var ErrTooLong = errors.New("the answer is too long")

// errNoMemory says that other answers hold the memory that an answer needs.
var errNoMemory = errors.New("there is no memory for the answer's body")

// freeBody is the part of a body that doesn't count to what all answers hold together, so that small answers are read whatever others do.
const freeBody = 32 << 10

// memory is the number of bytes that the bodies of all answers may hold beyond freeBody each while they are read.
type memory struct {
	left atomic.Int64
}

// take takes n bytes and reports whether there were as many.
func (m *memory) take(n int64) bool {
	if m.left.Add(-n) < 0 {
		m.left.Add(n)
		return false
	}
	return true
}

// limited reads up to a number of bytes.
type limited struct {
	from io.Reader
	left int64
}

// Read reads from the connection.
func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("%w: its head or framing doesn't end", ErrTooLong)
	}
	n, err := l.from.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// explain returns an error that says so where reading failed because nothing more was read: a parser takes the cut for a fault of the text.
func (l *limited) explain(err error) error {
	if l.left > 0 || errors.Is(err, ErrTooLong) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrTooLong, err)
}

// firstPiece and mostPiece bound the pieces in which a body of unknown length is read.
const (
	firstPiece = 2 << 10
	mostPiece  = 64 << 10
)

// readBody reads a body of a stated length, -1 where none is stated, of most bytes at most.
func (m *memory) readBody(from io.Reader, stated, most int64) ([]byte, error) {
	if stated > most {
		return nil, fmt.Errorf("%w: its body has %d bytes, %d are read", ErrTooLong, stated, most)
	}
	var pieces [][]byte
	var total, taken int64
	defer func() { m.left.Add(taken) }()
	piece := make([]byte, 0, firstPiece)
	for {
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), mostPiece))
		}
		n, err := from.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		total += int64(n)
		if total > most {
			return nil, fmt.Errorf("%w: its body has more than %d bytes", ErrTooLong, most)
		}
		if more := total - freeBody - taken; more > 0 {
			if !m.take(more) {
				return nil, fmt.Errorf("%w: %d bytes so far", errNoMemory, total)
			}
			taken += more
		}
		switch {
		case errors.Is(err, io.EOF):
			return join(append(pieces, piece), total), nil
		case errors.Is(err, http.ErrLineTooLong):
			return nil, fmt.Errorf("%w: %w", ErrTooLong, err)
		case err != nil:
			return nil, err
		}
	}
}

// join returns the pieces as one.
func join(pieces [][]byte, total int64) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	body := make([]byte, 0, total)
	for _, p := range pieces {
		body = append(body, p...)
	}
	return body
}
