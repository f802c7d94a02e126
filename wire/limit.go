package wire

import (
	"errors"
	"fmt"
	"math/bits"
	"sync/atomic"

	"kingcupcross/bound"
)

const (
	// maxMessageBytes is the size of the largest message. Larger ones end the connection before memory is allocated for them. Senders of lists split them into far smaller pages.
	maxMessageBytes = 9 << 20
	// messageMemory is the memory for the messages of all connections of one Dialer or Server that are being received and decoded.
	messageMemory = 9 << 20
	// maxOneByteLength is the largest length of a gob message that is sent as one byte. In longer ones the first byte is the negated number of bytes that follow.
	maxOneByteLength = 0x7f
)

// errMalformedLength is returned for a length that gob doesn't send.
var errMalformedLength = errors.New("malformed length of a message")

// messageLimit limits the gob messages received over one connection and charges them to a memory budget.
type messageLimit struct {
	memory *bound.Memory
	// remaining is the number of bytes of the current message that are still to come.
	remaining uint64
	// length is the part of the next message's length that was received, lengthBytes the number of its bytes to come.
	length      uint64
	lengthBytes int
	// reserved is the memory that is reserved for the current message. A close releases it, too.
	reserved atomic.Int64
}

// beforeRead releases the memory of the last message, which has been decoded once more bytes are read.
func (l *messageLimit) beforeRead() {
	if l.remaining == 0 && l.lengthBytes == 0 {
		l.release()
	}
}

// scan follows the messages in received bytes. It fails at the length of a message for which there is no room.
func (l *messageLimit) scan(b []byte) error {
	for len(b) > 0 {
		switch {
		case l.remaining > 0:
			n := min(l.remaining, uint64(len(b)))
			l.remaining -= n
			b = b[n:]
			continue
		case l.lengthBytes > 0:
			l.length = l.length<<8 | uint64(b[0])
			l.lengthBytes--
		case b[0] <= maxOneByteLength:
			l.length = uint64(b[0])
		default:
			l.length, l.lengthBytes = 0, -int(int8(b[0]))
			if l.lengthBytes > bits.UintSize/8 {
				return errMalformedLength
			}
			b = b[1:]
			continue
		}
		b = b[1:]
		if l.lengthBytes == 0 {
			if err := l.begin(l.length); err != nil {
				return err
			}
		}
	}
	return nil
}

// begin reserves the memory of a message.
func (l *messageLimit) begin(length uint64) error {
	l.release()
	if length > maxMessageBytes {
		return fmt.Errorf("%w: a message has %d bytes, %d are read", bound.ErrTooLong, length, maxMessageBytes)
	}
	l.remaining = length
	cost := int64(length) - bound.FreeBytes
	if cost <= 0 {
		return nil
	}
	if !l.memory.Reserve(cost) {
		return fmt.Errorf("%w: a message has %d bytes", bound.ErrNoMemory, length)
	}
	l.reserved.Store(cost)
	return nil
}

// release returns the memory of the current message to the budget.
func (l *messageLimit) release() {
	l.memory.Release(l.reserved.Swap(0))
}
