package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"kingcupcross/bound"
	"kingcupcross/strict"
	"kingcupcross/timer"
)

const (
	// bufferSize is the size of a connection's read buffer. It holds the head of most responses and a small body.
	bufferSize = 4 << 10
	// maxStaleResponses is the number of responses read for one request before it fails because none of them matched.
	maxStaleResponses = 4
	// maxIdleTime is the time for which an unused connection is kept. It is shorter than the usual idle timeout of servers.
	maxIdleTime = 20 * time.Second
	// keepAliveMargin is subtracted from the idle timeout that a target states, so that no request is sent while the target closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// dialTimeout limits the time to connect. It exceeds the one second after which a lost SYN packet is sent again.
	dialTimeout = 1500 * time.Millisecond
)

// Request is an HTTP request.
type Request struct {
	Method string
	// URI is the path and query exactly as written in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ForceContentLength sends a Content-Length header even if the body is empty.
	ForceContentLength bool
	// NewConn uses a new connection for this request only, so that the request can't be lost because the target closes an idle connection.
	NewConn bool
	// MaxIdleConns is the maximum number of idle connections kept to the address.
	MaxIdleConns int
	// Bounds limits the size of the response. The zero value means DefaultBounds.
	Bounds Bounds
	// StillAllowed is called once a connection is available and reports whether to send the request. Nil means always.
	StillAllowed func() bool
	// BeforeSend is called right before the request is sent and may modify the header. The argument left is the remaining time until the deadline. Nil leaves the header unchanged.
	BeforeSend func(h http.Header, left time.Duration)
	// Matches reports whether a response belongs to this request. Responses that don't match are skipped. Nil accepts all.
	Matches func(http.Header) bool
	// OnHead is called with the status and header of each final response before its body is read. It may be nil.
	OnHead func(status int, h http.Header)
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ErrNoLongerAllowed is returned if the request was no longer wanted once a connection was available.
var ErrNoLongerAllowed = errors.New("the request is no longer to be sent there")

// Error is the error of a failed exchange.
type Error struct {
	// Sent is set if part of the request may have reached the target.
	Sent bool
	// Late is set if the deadline passed.
	Late bool
	// BrokenOff is set if the peer ended the connection after the request was sent and before any of its response arrived.
	BrokenOff bool
	Err       error
}

// Error returns a text that says whether the request was sent, with the cause.
func (e *Error) Error() string {
	if e.Sent {
		return "no whole answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool sends requests and keeps idle connections by address.
type Pool struct {
	clock  *timer.Clock
	memory *bound.Memory
	dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// keepAliveTimeout is the idle time derived from the last response with a Keep-Alive header: the stated timeout less keepAliveMargin, at most maxIdleTime. It is zero before the first one.
	keepAliveTimeout time.Duration

	dials, reuses, stale tally.Counter
}

// conn is a connection to a target or host. It is used by one request at a time.
type conn struct {
	net.Conn
	// limit fails reads beyond the response's bounds, responses fails malformed ones. reader buffers what is read from them.
	limit     *limitedReader
	responses *strict.Reader
	reader    *bufio.Reader
	// expires is the time after which the connection must not be used.
	expires time.Time
}

// New returns an empty pool. The memory budget limits the total size in bytes of all responses being read, not counting the first 64 KiB of each head and 32 KiB of each body.
func New(clock *timer.Clock, memory int64, scope tally.Scope) *Pool {
	var d net.Dialer
	p := &Pool{
		clock:  clock,
		memory: bound.NewMemory(memory),
		dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", a.String())
		},
		idle:   map[netip.AddrPort][]*conn{},
		dials:  scope.Counter("dials"),
		reuses: scope.Counter("reuses"),
		stale:  scope.Counter("stale_answers"),
	}
	return p
}

// Exchange sends a request once and returns the response. It fails with an Error, at the latest at the deadline or when the context ends.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, r Request, deadline time.Time) (*Response, error) {
	c, err := p.getConn(ctx, address, r.NewConn, deadline)
	if err != nil {
		return nil, &Error{
			Late: errors.Is(err, context.DeadlineExceeded),
			Err:  err,
		}
	}
	if r.StillAllowed != nil && !r.StillAllowed() {
		c.Close()
		return nil, &Error{Err: ErrNoLongerAllowed}
	}
	if r.BeforeSend != nil {
		r.BeforeSend(r.Header, deadline.Sub(p.clock.Now()))
	}
	// When the context ends, a deadline in the past unblocks pending reads and writes.
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.SetDeadline(deadline); err != nil {
		c.Close()
		return nil, &Error{Err: err}
	}
	c.limit.received = false
	response, reusable, err := p.roundTrip(c, r)
	if err != nil {
		c.Close()
		if violation := c.responses.Err(); violation != nil {
			err = violation
		}
		return nil, &Error{
			Sent:      true,
			Late:      errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err),
			BrokenOff: !c.limit.received && isConnectionEnd(err),
			Err:       err,
		}
	}
	if !reusable || r.NewConn || !stop() {
		c.Close()
		return response, nil
	}
	p.release(address, c, response.Header, r.MaxIdleConns)
	return response, nil
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// isConnectionEnd reports whether err says that the peer has closed or reset the connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// roundTrip writes the request and reads responses until one matches it.
func (p *Pool) roundTrip(c *conn, r Request) (response *Response, reusable bool, err error) {
	c.responses.Begin(r.Method)
	if _, err := c.Write(encodeRequest(r)); err != nil {
		return nil, false, err
	}
	for range maxStaleResponses {
		response, reusable, err = p.readResponse(c, r)
		if err != nil {
			return nil, false, err
		}
		if r.Matches == nil || r.Matches(response.Header) {
			// If bytes follow the complete response, the connection is out of step and can't be reused.
			return response, reusable && c.reader.Buffered() == 0 && c.responses.InStep(), nil
		}
		p.stale.Inc(1)
		if !reusable {
			return nil, false, errors.New("the answer belongs to another request")
		}
	}
	return nil, false, errors.New("too many answers to other requests")
}

// encodeRequest returns the request in the HTTP/1.1 format.
func encodeRequest(r Request) []byte {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a strings.Builder can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.ForceContentLength {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

// readResponse reads one final response within the request's bounds, and reports whether the connection can be reused after it.
func (p *Pool) readResponse(c *conn, r Request) (*Response, bool, error) {
	bounds := r.Bounds
	if bounds == (Bounds{}) {
		bounds = DefaultBounds
	}
	// Interim responses count towards the limit of the head.
	c.limit.beginHead(bounds.Head)
	defer c.limit.release()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, c.limit.wrapLimitError(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.OnHead != nil {
			r.OnHead(resp.StatusCode, resp.Header)
		}
		c.limit.beginBody(bounds.Body + bounds.Head)
		body, err := p.memory.ReadBody(resp.Body, resp.ContentLength, bounds.Body)
		if err != nil {
			return nil, false, c.limit.wrapLimitError(err)
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, framed && !resp.Close, nil
	}
}

// getConn returns a usable idle connection, or a new one if there is none or forceNew is set.
func (p *Pool) getConn(ctx context.Context, address netip.AddrPort, forceNew bool, deadline time.Time) (*conn, error) {
	now := p.clock.Now()
	for !forceNew {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && hasNoPendingInput(c.Conn) {
			p.reuses.Inc(1)
			return c, nil
		}
		c.Close()
	}
	n, err := p.connect(ctx, address, deadline.Sub(now))
	if err != nil {
		return nil, err
	}
	if forceNew && !hasNoPendingInput(n) {
		// The target closed the connection immediately, as it does when it is over its connection limit.
		n.Close()
		return nil, syscall.ECONNRESET
	}
	return p.newConn(n), nil
}

// newConn wraps a network connection.
func (p *Pool) newConn(n net.Conn) *conn {
	l := &limitedReader{source: n, memory: p.memory}
	responses := strict.NewReader(l)
	return &conn{
		Conn:      n,
		limit:     l,
		responses: responses,
		reader:    bufio.NewReaderSize(responses, bufferSize),
	}
}

// connect dials the address. It fails after the shorter of timeout and dialTimeout.
func (p *Pool) connect(ctx context.Context, address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	p.dials.Inc(1)
	ctx, cancel := p.clock.WithTimeout(ctx, min(timeout, dialTimeout))
	defer cancel()
	n, err := p.dial(ctx, address)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return n, err
}

// HasIdle reports whether a usable idle connection to an address exists.
func (p *Pool) HasIdle(address netip.AddrPort) bool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		if now.Before(c.expires) && hasNoPendingInput(c.Conn) {
			return true
		}
	}
	return false
}

// Check connects to an address and closes the connection. The error says why the address can't be reached.
func (p *Pool) Check(ctx context.Context, address netip.AddrPort) error {
	n, err := p.connect(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	return n.Close()
}

// Preconnect opens a connection to an address for a later request.
func (p *Pool) Preconnect(ctx context.Context, address netip.AddrPort) error {
	n, err := p.connect(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	p.mu.Lock()
	idleTime := p.keepAliveTimeout
	p.mu.Unlock()
	if idleTime == 0 {
		idleTime = maxIdleTime
	}
	p.storeIdle(address, p.newConn(n), idleTime, 1)
	return nil
}

// popIdle removes and returns the most recently used idle connection to an address, or nil.
func (p *Pool) popIdle(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	// The target is least likely to have closed the most recently used connection.
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// release stores a connection after a response for maxIdleTime, or for less if the response's Keep-Alive header says so.
func (p *Pool) release(address netip.AddrPort, c *conn, h http.Header, maxIdle int) {
	idleTime := maxIdleTime
	if timeout, ok := parseKeepAlive(h); ok {
		idleTime = min(idleTime, timeout-keepAliveMargin)
		p.mu.Lock()
		p.keepAliveTimeout = idleTime
		p.mu.Unlock()
	}
	p.storeIdle(address, c, idleTime, maxIdle)
}

// storeIdle keeps a connection for idleTime. If there are already maxIdle connections to the address, it closes the one that has been idle longest.
func (p *Pool) storeIdle(address netip.AddrPort, c *conn, idleTime time.Duration, maxIdle int) {
	c.expires = p.clock.Now().Add(idleTime)
	if idleTime <= 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := append(p.idle[address], c)
	if len(conns) > max(maxIdle, 1) {
		conns[0].Close()
		conns = conns[1:]
	}
	p.idle[address] = conns
}

// parseKeepAlive returns the timeout of a Keep-Alive header and whether there is one.
func parseKeepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// hasNoPendingInput reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func hasNoPendingInput(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// CloseUnusable closes idle connections that have expired, that have been closed or written to by the peer, or for whose address keep returns false.
func (p *Pool) CloseUnusable(keep func(netip.AddrPort) bool) {
	now := p.clock.Now()
	var unusable []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			// Data received on an idle connection belongs to no request and would keep filling buffers.
			if keep(address) && now.Before(c.expires) && hasNoPendingInput(c.Conn) {
				kept = append(kept, c)
			} else {
				unusable = append(unusable, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.CloseUnusable(func(netip.AddrPort) bool { return false })
}
