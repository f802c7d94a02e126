package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/bound"
	"kingcupcross/strict"
	"kingcupcross/units"
)

const (
	// maxReplyBytes is the maximum size of a target's reply, maxReplyHeadBytes that of its status line and header.
	maxReplyBytes     = 4 << 20
	maxReplyHeadBytes = 64 << 10
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// Client sends sub-requests, orders and state requests to one target over a bounded number of connections.
type Client struct {
	baseURL     string
	queryClient *http.Client
	orderClient *http.Client
	transport   *http.Transport
	memory      *bound.Memory
	// idMatches reports whether a reply's id is the id of the sub-request that was sent. Tests replace it.
	idMatches    func(sent, received string) bool
	onDisconnect atomic.Pointer[func()]
}

// NewClient returns a client for the target at address that opens at most conns connections. The memory budget, which clients share, limits the total size of the bodies of replies that are being received.
func NewClient(address netip.AddrPort, conns int, memory *bound.Memory) *Client {
	t := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxReplyHeadBytes,
		// The body of an order is sent when the target has responded to the request's head, or after the timeout.
		ExpectContinueTimeout: continueTimeout,
	}
	c := &Client{
		baseURL:     "http://" + address.String(),
		queryClient: &http.Client{Transport: t},
		orderClient: &http.Client{Transport: t, CheckRedirect: refuseRedirect},
		transport:   t,
		memory:      memory,
		idMatches:   func(sent, received string) bool { return sent == received },
	}
	// A malformed response must not count as the end of the target, so its check comes after that for the end of the connection.
	t.DialContext = strict.Dial(c.dial)
	return c
}

// OnDisconnect sets the function that is called when the target closes a connection, which also happens when its process exits.
func (c *Client) OnDisconnect(f func()) {
	c.onDisconnect.Store(&f)
}

// dial opens a connection that calls the function set by OnDisconnect.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &notifyingConn{Conn: conn, onDisconnect: &c.onDisconnect}, nil
}

// notifyingConn is a connection that calls a function when the peer closes it, even while it is idle.
type notifyingConn struct {
	net.Conn
	onDisconnect *atomic.Pointer[func()]
}

// Read reads from the connection and calls onDisconnect when the peer has closed it.
func (w *notifyingConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		if f := w.onDisconnect.Load(); f != nil {
			(*f)()
		}
	}
	return n, err
}

// refuseRedirect keeps the HTTP client from following redirects.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Query sends a sub-request. The error is a Refusal if the target did not start the work.
func (c *Client) Query(ctx context.Context, q Query) (Reply, error) {
	var r Reply
	body, err := json.Marshal(q)
	if err != nil {
		return r, eris.Wrap(err, "encode sub-request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+PathQuery, bytes.NewReader(body))
	if err != nil {
		return r, eris.Wrap(err, "build sub-request")
	}
	if err := c.doRequest(c.queryClient, req, &r); err != nil {
		return r, err
	}
	if !c.idMatches(q.ID, r.ID) {
		return Reply{}, eris.Errorf("reply to %q came for %q", r.ID, q.ID)
	}
	return r, nil
}

// Cancel asks the target to stop working on a sub-request.
func (c *Client) Cancel(ctx context.Context, id string) error {
	body, err := json.Marshal(Cancel{ID: id})
	if err != nil {
		return eris.Wrap(err, "encode cancel")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+PathCancel, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build cancel")
	}
	return c.doRequest(c.queryClient, req, nil)
}

// State requests the target's state, which may be stale.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+PathState, http.NoBody)
	if err != nil {
		return s, eris.Wrap(err, "build state request")
	}
	err = c.doRequest(c.queryClient, req, &s)
	return s, err
}

// doRequest sends a request and decodes the reply into out unless out is nil. Any status other than 200 is an error, a Refusal if the body states a reason.
func (c *Client) doRequest(client *http.Client, req *http.Request, out any) error {
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "exchange with target")
	}
	defer resp.Body.Close()
	body, err := c.memory.ReadBody(resp.Body, resp.ContentLength, maxReplyBytes)
	if err != nil {
		return eris.Wrap(err, "read target's reply")
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(body, out), "decode target's reply")
}

// decodeRefusal returns the body's Refusal, or a StatusError if there is none.
func decodeRefusal(status int, body []byte) error {
	var r Refusal
	if json.Unmarshal(body, &r) == nil && r.Reason != "" {
		return &r
	}
	return &StatusError{Status: status}
}

// StatusError is an error response without a reason. The target may have started the request and no longer works on it.
type StatusError struct {
	Status int
}

// Error returns a text with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered with status %d", e.Status)
}

// RemainingDeadline returns the value of the deadline field for a request that may take d. Negative times become zero.
func RemainingDeadline(d time.Duration) units.Duration {
	return units.Duration(max(d, 0))
}
