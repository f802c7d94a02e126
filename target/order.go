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
	// continueTimeout is how long to wait for "100 Continue" before the body of an order is sent anyway.
	continueTimeout = time.Second
	// maxOrderAttempts is the maximum number of connections tried while the order has certainly not been sent.
	maxOrderAttempts = 3
)

// ErrStartDeadlinePassed is the cause if an order was not sent because its start deadline had passed.
var ErrStartDeadlinePassed = errors.New("the order's time to begin passed")

// errRevoked is returned by reads of a body that must no longer be sent.
var errRevoked = errors.New("the order was given up before it left")

// SendError is the error of a failed order. It says whether the order may have been sent.
type SendError struct {
	// Sent is set if the target may have received the order.
	Sent bool
	Err  error
}

// Error returns the cause and whether the order may have been sent.
func (e *SendError) Error() string {
	return fmt.Sprintf("order failed (may have left: %t): %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// States of an order's body. It either is revoked before its first byte is read, or may have been sent.
const (
	unsent int32 = iota
	sent
	revoked
)

// orderBody is the request body of an order. It can be read only once and the request has no GetBody, so net/http can't send it a second time.
type orderBody struct {
	state atomic.Int32
	// checkSend is called before the first byte is read. An error prevents the order from being sent.
	checkSend func() error
	reader    *bytes.Reader
	// checkErr is the error returned by checkSend.
	checkErr atomic.Pointer[error]
}

// Read reads the order. Before the first byte it calls checkSend, and it fails if the body has been revoked.
func (b *orderBody) Read(p []byte) (int, error) {
	if b.state.Load() == unsent {
		if err := b.checkSend(); err != nil {
			b.checkErr.Store(&err)
			b.revoke()
		}
		b.state.CompareAndSwap(unsent, sent)
	}
	if b.state.Load() == revoked {
		return 0, errRevoked
	}
	return b.reader.Read(p)
}

// revoke prevents the body from being sent. It reports false if the body may already have been sent.
func (b *orderBody) revoke() bool {
	return b.state.CompareAndSwap(unsent, revoked) || b.state.Load() == revoked
}

// Close implements io.Closer and does nothing.
func (*orderBody) Close() error {
	return nil
}

// Order sends an order at most once and waits for the outcome until ctx ends. The order is sent only before start ends, and only if checkSend, called right before the first byte is sent, returns nil. The error is a SendError. Its cause is a Refusal if the target did not start the work.
func (c *Client) Order(ctx, start context.Context, checkSend func() error, o Order) (OrderReply, error) {
	encoded, err := json.Marshal(o)
	if err != nil {
		return OrderReply{}, &SendError{Sent: false, Err: err}
	}
	var reply OrderReply
	for range maxOrderAttempts {
		body := &orderBody{checkSend: checkSend, reader: bytes.NewReader(encoded)}
		reply, err = c.sendOnce(ctx, start, body)
		if err == nil {
			return validateReply(o, reply)
		}
		var refusal *Refusal
		switch {
		case errors.As(err, &refusal) && refusal.hasKnownReason():
			return reply, &SendError{Sent: false, Err: refusal}
		case !body.revoke():
			return reply, &SendError{Sent: true, Err: err}
		case body.checkErr.Load() != nil:
			return reply, &SendError{Sent: false, Err: *body.checkErr.Load()}
		case start.Err() != nil:
			return reply, &SendError{Sent: false, Err: ErrStartDeadlinePassed}
		}
	}
	return reply, &SendError{Sent: false, Err: err}
}

// sendOnce sends the order over one connection. It gives up if start ends before the body is sent.
func (c *Client) sendOnce(ctx, start context.Context, body *orderBody) (OrderReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(start, func() {
		if body.revoke() {
			cancel()
		}
	})
	defer stop()
	var r OrderReply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+PathOrder, body)
	if err != nil {
		return r, err
	}
	req.ContentLength = body.reader.Size()
	// With "Expect: 100-continue", a connection closed by the target is detected by sending the head, while the body has certainly not been sent.
	req.Header.Set("Expect", "100-continue")
	return r, c.doRequest(c.orderClient, req, &r)
}

// validateReply returns a SendError if the reply belongs to another order or its checksum is wrong. In both cases the order may have run.
func validateReply(o Order, r OrderReply) (OrderReply, error) {
	if r.ID != o.ID {
		return OrderReply{}, &SendError{Sent: true, Err: eris.Errorf("reply to %q came for %q", r.ID, o.ID)}
	}
	if xxhash.Sum64(r.Payload) != r.Sum {
		return OrderReply{}, &SendError{Sent: true, Err: eris.Errorf("reply to %q doesn't match its checksum", o.ID)}
	}
	return r, nil
}

// hasKnownReason reports whether the reason is one of those defined by the protocol, all of which mean that nothing ran.
func (r *Refusal) hasKnownReason() bool {
	return slices.Contains([]Reason{ReasonShed, ReasonLeaving, ReasonAbsent, ReasonGone, ReasonExpired, ReasonBad}, r.Reason)
}
