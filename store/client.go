package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/bound"
	"kingcupcross/fault"
	"kingcupcross/strict"
	"kingcupcross/timer"
)

const (
	// callTimeout bounds a call to the store other than a watch.
	callTimeout = 2 * time.Second
	// watchMargin is added to the wait time of a watch to get its timeout.
	watchMargin = 2 * time.Second
	// maxResponseBytes bounds the size of a response: a page of values with their encoding. List reads a longer one in parts.
	maxResponseBytes = 16 << 20
	// responseMemory bounds the size of all responses that are being received.
	responseMemory = 24 << 20
	// maxResponseHeadBytes bounds the status line and header of a response.
	maxResponseHeadBytes = 64 << 10
)

// Client calls the store. Its methods fail with kind fault.Store where the store gave no valid response and with fault.Conflict where the condition of a write wasn't met; Ran is set if a failed write may have taken effect.
type Client struct {
	clock   *timer.Clock
	baseURL string
	memory  *bound.Memory
	// reads keeps connections alive between calls.
	reads *http.Client
	// writes opens a new connection for each call. On a kept connection that the store has closed it is unknown whether the request arrived.
	writes *http.Client
}

// New returns a client for the store at address.
func New(clock *timer.Clock, address netip.AddrPort) *Client {
	dial := strict.Dial((&net.Dialer{}).DialContext)
	return &Client{
		clock:   clock,
		baseURL: "http://" + address.String(),
		memory:  bound.NewMemory(responseMemory),
		reads: &http.Client{Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    4,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}},
		writes: &http.Client{Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}},
	}
}

// Get reads a key; found is false if it doesn't exist.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, found bool, err error) {
	status, err := c.call(ctx, http.MethodGet, PathKey+url.PathEscape(key), nil, &entry, callTimeout)
	if status == http.StatusNotFound {
		return entry, false, nil
	}
	return entry, err == nil, err
}

// Put writes a key if it is at the expected revision. After an error of kind fault.Store with Ran set, the write may or may not have taken effect.
func (c *Client) Put(ctx context.Context, key string, w Write) (revision uint64, err error) {
	var done Written
	status, err := c.call(ctx, http.MethodPut, PathKey+url.PathEscape(key), w, &done, callTimeout)
	switch status {
	case http.StatusConflict:
		return 0, fault.New(fault.Conflict, "%s was changed by another writer", key)
	case http.StatusNotFound:
		return 0, fault.New(fault.Conflict, "lease %d has lapsed", w.Lease)
	case http.StatusRequestEntityTooLarge:
		return 0, fault.New(fault.TooLarge, "%s: the store holds values up to %s", key, MaxValue)
	default:
		return done.Revision, err
	}
}

// Delete deletes a key.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, err := c.call(ctx, http.MethodDelete, PathKey+url.PathEscape(key), nil, nil, callTimeout)
	return err
}

// List reads up to limit entries whose keys begin with prefix and sort after the key after, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	var page Page
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	_, err := c.call(ctx, http.MethodGet, PathList+"?"+query.Encode(), nil, &page, callTimeout)
	if errors.As(err, new(*tooLongError)) && limit > 1 {
		return c.listInParts(ctx, prefix, after, limit)
	}
	return page, err
}

// listInParts is List for a page that is too long for one response. It returns the lowest revision of its parts.
func (c *Client) listInParts(ctx context.Context, prefix, after string, limit int) (Page, error) {
	first, err := c.List(ctx, prefix, after, limit/2)
	if err != nil || len(first.Entries) < limit/2 {
		return first, err
	}
	rest, err := c.List(ctx, prefix, first.Entries[len(first.Entries)-1].Key, limit-limit/2)
	return Page{
		Entries:  append(first.Entries, rest.Entries...),
		Revision: min(first.Revision, rest.Revision),
	}, err
}

// Watch waits up to wait for entries with the prefix that were written after revision. It returns an empty page if there were none.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Page, error) {
	var page Page
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(revision, 10)}, "wait": {wait.String()}}
	_, err := c.call(ctx, http.MethodGet, PathWatch+"?"+query.Encode(), nil, &page, wait+watchMargin)
	return page, err
}

// Grant creates a lease that expires unless it is renewed within its TTL.
func (c *Client) Grant(ctx context.Context, lease Lease) (Lease, error) {
	_, err := c.call(ctx, http.MethodPost, PathLease, lease, &lease, callTimeout)
	return lease, err
}

// KeepAlive renews a lease; it fails with fault.Conflict if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease Lease) error {
	status, err := c.call(ctx, http.MethodPut, PathLease, lease, nil, callTimeout)
	if status == http.StatusNotFound {
		return fault.New(fault.Conflict, "lease %d has lapsed", lease.ID)
	}
	return err
}

// Hosts reads the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts Hosts
	_, err := c.call(ctx, http.MethodGet, PathHosts, nil, &hosts, callTimeout)
	return hosts.Hosts, err
}

// call sends a request with in as its JSON body and decodes the response into out. It returns the response's status, or 0 if there was none.
func (c *Client) call(ctx context.Context, method, path string, in, out any, timeout time.Duration) (int, error) {
	ctx, cancel := c.clock.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader = http.NoBody
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, eris.Wrap(err, "encode store call")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, eris.Wrap(err, "build store call")
	}
	client := c.reads
	if method != http.MethodGet {
		client = c.writes
	}
	resp, err := client.Do(req)
	if err != nil {
		f := fault.New(fault.Store, "%s %s: %v", method, path, err)
		f.Ran = method != http.MethodGet && !errors.Is(err, syscall.ECONNREFUSED)
		return 0, f
	}
	defer resp.Body.Close()
	answer, readErr := c.memory.ReadBody(resp.Body, resp.ContentLength, maxResponseBytes)
	if errors.Is(readErr, bound.ErrTooLong) && method == http.MethodGet {
		return resp.StatusCode, &tooLongError{fault: fault.New(fault.Store, "%s %s: %v", method, path, readErr)}
	}
	if err := decodeResponse(resp.StatusCode, answer, readErr, method+" "+path, out); err != nil {
		err.Ran = method != http.MethodGet && !rejectedByStore(resp.StatusCode)
		return resp.StatusCode, err
	}
	return resp.StatusCode, nil
}

// tooLongError is the error of a read whose response exceeds maxResponseBytes.
type tooLongError struct {
	fault *fault.Error
}

// Error returns the text of the fault.
func (e *tooLongError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *tooLongError) Unwrap() error { return e.fault }

// rejectedByStore reports whether the store has rejected the call, so that a write certainly had no effect.
func rejectedByStore(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// decodeResponse decodes the body of a successful response into out, unless it could not be read; what names the call in errors.
func decodeResponse(status int, body []byte, readErr error, what string, out any) *fault.Error {
	if readErr != nil {
		return fault.New(fault.Store, "%s: %v", what, readErr)
	}
	if status != http.StatusOK {
		return fault.New(fault.Store, "%s: status %d: %s", what, status, bytes.TrimSpace(body))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.New(fault.Store, "%s: %v", what, err)
	}
	return nil
}
