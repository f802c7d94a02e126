package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// matches says whether a reply's id is that of the request; it is a seam for tests.
	matches func(asked, got string) bool
	lost    atomic.Pointer[func()]
}

// NewClient returns a client for the target at address with at most conns connections.
func NewClient(address netip.AddrPort, conns int) *Client {
	t := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// An order's body leaves only once the target has answered its head.
		ExpectContinueTimeout: continueTimeout,
	}
	c := &Client{
		base:      "http://" + address.String(),
		queries:   &http.Client{Transport: t},
		orders:    &http.Client{Transport: t, CheckRedirect: refuseRedirect},
		transport: t,
		matches:   func(asked, got string) bool { return asked == got },
	}
	t.DialContext = c.dial
	return c
}

// OnLost sets the function that is called when the target's side ends a connection, as it does when its process ends.
func (c *Client) OnLost(f func()) {
	c.lost.Store(&f)
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watched{Conn: conn, lost: &c.lost}, nil
}

// watched is a connection that tells when the other side ends it, also while no request uses it.
type watched struct {
	net.Conn
	lost *atomic.Pointer[func()]
}

// Read reads from the connection and tells of its end.
func (w *watched) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		if f := w.lost.Load(); f != nil {
			(*f)()
		}
	}
	return n, err
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
	if !c.matches(q.ID, r.ID) {
		return Reply{}, eris.Errorf("reply to %q came for %q", r.ID, q.ID)
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
	return &StatusError{Status: status}
}

// StatusError is an answer without a reason: the target has stopped work on the request.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered with status %d", e.Status)
}

// Remaining returns the deadline field for a sub-request that may take d.
func Remaining(d time.Duration) units.Duration {
	return units.Duration(max(d, 0))
}
