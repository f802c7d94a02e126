package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// continueTimeout is how long a target is waited for to ask for an order's body before it is sent unasked.
	continueTimeout = time.Second
	// orderTries bounds the connections that are tried while it is certain that the order hasn't left.
	orderTries = 3
)

// ErrNotBegun is the cause of an order that was not sent because its time to begin had passed.
var ErrNotBegun = errors.New("the order's time to begin passed")

// errSealed ends the reading of a body that must not leave any more.
var errSealed = errors.New("the order was given up before it left")

// SendError is the failure of an order and says whether the order may have left.
type SendError struct {
	// Sent says that the target may have got the order.
	Sent bool
	Err  error
}

// Error returns the failure's text.
func (e *SendError) Error() string {
	return fmt.Sprintf("order failed (may have left: %t): %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// States of an order's body: it is either sealed before its first byte was read or may have left, never both.
const (
	unsent int32 = iota
	sent
	sealed
)

// orderBody gives out an order's bytes once; without GetBody no layer below can send them a second time.
type orderBody struct {
	state  atomic.Int32
	may    func() error
	reader *bytes.Reader
	// refusal is what may returned.
	refusal atomic.Pointer[error]
}

// Read gives the bytes; right before the first one it asks whether the order may still leave.
func (b *orderBody) Read(p []byte) (int, error) {
	if b.state.Load() == unsent {
		if err := b.may(); err != nil {
			b.refusal.Store(&err)
			b.seal()
		}
		b.state.CompareAndSwap(unsent, sent)
	}
	if b.state.Load() == sealed {
		return 0, errSealed
	}
	return b.reader.Read(p)
}

// seal keeps the body from leaving and reports whether it had not begun to.
func (b *orderBody) seal() bool {
	return b.state.CompareAndSwap(unsent, sealed) || b.state.Load() == sealed
}

// Close does nothing.
func (*orderBody) Close() error {
	return nil
}

// Order sends an order at most once: it begins before begin ends and only if may, asked right before the first byte leaves, returns nil; its outcome is waited for until ctx ends, and the error is a SendError with a Refusal as its cause where the target did not begin the work.
func (c *Client) Order(ctx, begin context.Context, may func() error, o Order) (OrderReply, error) {
	encoded, err := json.Marshal(o)
	if err != nil {
		return OrderReply{}, &SendError{Sent: false, Err: err}
	}
	var reply OrderReply
	for range orderTries {
		body := &orderBody{may: may, reader: bytes.NewReader(encoded)}
		reply, err = c.try(ctx, begin, body)
		if err == nil {
			return checked(o, reply)
		}
		var refusal *Refusal
		switch {
		case errors.As(err, &refusal) && refusal.known():
			return reply, &SendError{Sent: false, Err: refusal}
		case !body.seal():
			return reply, &SendError{Sent: true, Err: err}
		case body.refusal.Load() != nil:
			return reply, &SendError{Sent: false, Err: *body.refusal.Load()}
		case begin.Err() != nil:
			return reply, &SendError{Sent: false, Err: ErrNotBegun}
		}
	}
	return reply, &SendError{Sent: false, Err: err}
}

// try sends the order over one connection and gives it up when begin ends before its body has begun to leave.
func (c *Client) try(ctx, begin context.Context, body *orderBody) (OrderReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(begin, func() {
		if body.seal() {
			cancel()
		}
	})
	defer stop()
	var r OrderReply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathOrder, body)
	if err != nil {
		return r, err
	}
	req.ContentLength = body.reader.Size()
	// The head alone finds a connection that the target has closed, while it is still certain that the order hasn't left.
	req.Header.Set("Expect", "100-continue")
	return r, exchange(c.orders, req, &r)
}

// checked refuses a reply that belongs to another order or came broken: the order may have run.
func checked(o Order, r OrderReply) (OrderReply, error) {
	if r.ID != o.ID {
		return OrderReply{}, &SendError{Sent: true, Err: eris.Errorf("reply to %q came for %q", r.ID, o.ID)}
	}
	if xxhash.Sum64(r.Payload) != r.Sum {
		return OrderReply{}, &SendError{Sent: true, Err: eris.Errorf("reply to %q doesn't match its checksum", o.ID)}
	}
	return r, nil
}

// known reports whether the reason is one of those that say that nothing ran.
func (r *Refusal) known() bool {
	return slices.Contains([]Reason{Shed, Left, Absent, Gone, Expired, Bad}, r.Reason)
}
