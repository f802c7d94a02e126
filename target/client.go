package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/units"
)

// Limits of the targets' protocol.
const (
	maxReply    = 4 << 20
	idleTimeout = 30 * time.Second
)

// Client speaks to one target over a bounded number of connections.
type Client struct {
	base      string
	queries   *http.Client
	orders    *http.Client
	transport *http.Transport
}

// NewClient returns a client for the target at address with at most conns connections.
func NewClient(address netip.AddrPort, conns int) *Client {
	t := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:      "http://" + address.String(),
		queries:   &http.Client{Transport: t},
		orders:    &http.Client{Transport: t, CheckRedirect: refuseRedirect},
		transport: t,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Query sends one sub-request; the error is a Refusal where the target did not begin the work.
func (c *Client) Query(ctx context.Context, q Query) (Reply, error) {
	var r Reply
	body, err := json.Marshal(q)
	if err != nil {
		return r, eris.Wrap(err, "encode sub-request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathQuery, bytes.NewReader(body))
	if err != nil {
		return r, eris.Wrap(err, "build sub-request")
	}
	if err := exchange(c.queries, req, &r); err != nil {
		return r, err
	}
	if r.ID != q.ID {
		return Reply{}, eris.Errorf("reply to %q came for %q", r.ID, q.ID)
	}
	return r, nil
}

// SendError is the failure of an order and says whether bytes of it may have left.
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

// onceBody can be read once only, so that no layer below can send the order a second time.
type onceBody struct {
	io.Reader
}

// Close does nothing.
func (onceBody) Close() error {
	return nil
}

// Order sends an order once; the error is a SendError, with a Refusal as its cause where the target did not begin the work.
func (c *Client) Order(ctx context.Context, o Order) (OrderReply, error) {
	var r OrderReply
	body, err := json.Marshal(o)
	if err != nil {
		return r, &SendError{Sent: false, Err: err}
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+PathOrder, onceBody{Reader: bytes.NewReader(body)})
	if err != nil {
		return r, &SendError{Sent: false, Err: err}
	}
	req.ContentLength = int64(len(body))
	err = exchange(c.orders, req, &r)
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		return r, &SendError{Sent: false, Err: refusal}
	case err != nil:
		return r, &SendError{Sent: sent.Load(), Err: err}
	case r.ID != o.ID:
		return r, &SendError{Sent: true, Err: eris.Errorf("reply to %q came for %q", r.ID, o.ID)}
	}
	return r, nil
}

// Cancel asks the target to stop work on a sub-request.
func (c *Client) Cancel(ctx context.Context, id string) error {
	body, err := json.Marshal(Cancel{ID: id})
	if err != nil {
		return eris.Wrap(err, "encode cancel")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathCancel, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build cancel")
	}
	return exchange(c.queries, req, nil)
}

// State reads the target's own view of itself, which may lag.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathState, http.NoBody)
	if err != nil {
		return s, eris.Wrap(err, "build state request")
	}
	err = exchange(c.queries, req, &s)
	return s, err
}

func exchange(client *http.Client, req *http.Request, into any) error {
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "exchange with target")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return eris.Wrap(err, "read target's reply")
	}
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp.StatusCode, body)
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(body, into), "decode target's reply")
}

func refusalOf(status int, body []byte) error {
	var r Refusal
	if json.Unmarshal(body, &r) == nil && r.Reason != "" {
		return &r
	}
	return eris.Errorf("target answered with status %d", status)
}

// Remaining returns the deadline field for a sub-request that may take d.
func Remaining(d time.Duration) units.Duration {
	return units.Duration(max(d, 0))
}
