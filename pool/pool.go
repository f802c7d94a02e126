package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"kingcupcross/timer"
)

const (
	// bufferSize holds the head of most answers and a small body.
	bufferSize = 4 << 10
	// maxStale bounds the number of answers to earlier requests that are passed over on one connection.
	maxStale = 4
	// idleLimit ends a connection that nothing used, below the usual time after which a server closes it.
	idleLimit = 20 * time.Second
	// keepAliveMargin is taken off the idle time that a target states, so that a request doesn't cross its close.
	keepAliveMargin = 500 * time.Millisecond
	// dialTimeout bounds the time to connect; a lost opening packet is sent again after one second.
	dialTimeout = 1500 * time.Millisecond
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path and query as they stand in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Length says that the body's length is sent although it is zero.
	Length bool
	// Fresh asks for a new connection of its own, so that the request can't cross the close of a kept one.
	Fresh bool
	// Keep bounds the idle connections that are kept to the address.
	Keep int
	// Bounds are the most bytes of the answer that are read; zero ones stand for DefaultBounds.
	Bounds Bounds
	// Wanted reports whether the request is still to be sent once there is a connection for it; nil means always.
	Wanted func() bool
	// Stamp changes the header when there is a connection; left is the time until the deadline then. Nil means that the header stays.
	Stamp func(h http.Header, left time.Duration)
	// Matches reports whether an answer belongs to this request; others are passed over.
	Matches func(http.Header) bool
	// Head is told of the head of each final answer that is read, before its body; nil means nobody is.
	Head func(status int, h http.Header)
}

// Response is one whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ErrUnwanted says that a request was no longer wanted when there was a connection for it.
var ErrUnwanted = errors.New("the request is no longer to be sent there")

// Error says how an exchange failed.
type Error struct {
	// Sent says that bytes of the request may have reached the target.
	Sent bool
	// Late says that the time was over.
	Late bool
	Err  error
}

// Error returns the cause.
func (e *Error) Error() string {
	if e.Sent {
		return "no whole answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps connections by address.
type Pool struct {
	clock  *timer.Service
	memory memory
	dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// stated is the idle time that the last answer with one stated, zero before the first.
	stated time.Duration

	dials, reuses, stale tally.Counter
}

// conn is one connection; one request owns it at a time.
type conn struct {
	net.Conn
	// limited ends an answer that is too long, reader reads through it.
	limited *limited
	reader  *bufio.Reader
	// until is when the connection mustn't be used any more.
	until time.Time
}

// New returns an empty pool; memory is the number of bytes that bodies may hold together while they are read, beyond a little each.
func New(clock *timer.Service, memory int64, scope tally.Scope) *Pool {
	var d net.Dialer
	p := &Pool{
		clock: clock,
		dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", a.String())
		},
		idle:   map[netip.AddrPort][]*conn{},
		dials:  scope.Counter("dials"),
		reuses: scope.Counter("reuses"),
		stale:  scope.Counter("stale_answers"),
	}
	p.memory.left.Store(memory)
	return p
}

// Exchange sends a request once and returns its answer; it ends with an Error at the deadline or with the context.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, r Request, deadline time.Time) (*Response, error) {
	c, err := p.take(ctx, address, r.Fresh, deadline)
	if err != nil {
		return nil, &Error{
			Late: errors.Is(err, context.DeadlineExceeded),
			Err:  err,
		}
	}
	if r.Wanted != nil && !r.Wanted() {
		c.Close()
		return nil, &Error{Err: ErrUnwanted}
	}
	if r.Stamp != nil {
		r.Stamp(r.Header, deadline.Sub(p.clock.Now()))
	}
	// A deadline in the past wakes a blocked read or write when the context ends.
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.SetDeadline(deadline); err != nil {
		c.Close()
		return nil, &Error{Err: err}
	}
	response, reusable, err := p.converse(c, r)
	if err != nil {
		c.Close()
		return nil, &Error{Sent: true, Late: errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err), Err: err}
	}
	if !reusable || r.Fresh || !stop() {
		c.Close()
		return response, nil
	}
	p.put(address, c, response.Header, r.Keep)
	return response, nil
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// converse writes the request and reads the answer that belongs to it.
func (p *Pool) converse(c *conn, r Request) (response *Response, reusable bool, err error) {
	if _, err := c.Write(encode(r)); err != nil {
		return nil, false, err
	}
	for range maxStale {
		response, reusable, err = p.read(c, r)
		if err != nil {
			return nil, false, err
		}
		if r.Matches == nil || r.Matches(response.Header) {
			// Bytes after a whole answer belong to no request.
			return response, reusable && c.reader.Buffered() == 0, nil
		}
		p.stale.Inc(1)
		if !reusable {
			return nil, false, errors.New("the answer belongs to another request")
		}
	}
	return nil, false, errors.New("too many answers to other requests")
}

func encode(r Request) []byte {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a strings.Builder can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Length {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

func (p *Pool) read(c *conn, r Request) (*Response, bool, error) {
	bounds := r.Bounds
	if bounds == (Bounds{}) {
		bounds = DefaultBounds
	}
	// Interim answers count to the head of the final one.
	c.limited.left = bounds.Head
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, c.limited.explain(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Head != nil {
			r.Head(resp.StatusCode, resp.Header)
		}
		c.limited.left = bounds.Body + bounds.Head
		body, err := p.memory.readBody(resp.Body, resp.ContentLength, bounds.Body)
		if err != nil {
			return nil, false, c.limited.explain(err)
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, framed && !resp.Close, nil
	}
}

// take returns a kept connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, fresh bool, deadline time.Time) (*conn, error) {
	now := p.clock.Now()
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.until) && quiet(c.Conn) {
			p.reuses.Inc(1)
			return c, nil
		}
		c.Close()
	}
	n, err := p.connect(ctx, address, deadline.Sub(now))
	if err != nil {
		return nil, err
	}
	if fresh && !quiet(n) {
		// The target has ended the connection at once, as one over its limit.
		n.Close()
		return nil, syscall.ECONNRESET
	}
	return newConn(n), nil
}

func newConn(n net.Conn) *conn {
	l := &limited{from: n}
	return &conn{Conn: n, limited: l, reader: bufio.NewReaderSize(l, bufferSize)}
}

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

// Ready reports whether a connection to an address is kept that can be used at once.
func (p *Pool) Ready(address netip.AddrPort) bool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		if now.Before(c.until) && quiet(c.Conn) {
			return true
		}
	}
	return false
}

// Prepare sets up a connection to an address for a later request.
func (p *Pool) Prepare(ctx context.Context, address netip.AddrPort) error {
	n, err := p.connect(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	p.mu.Lock()
	limit := p.stated
	p.mu.Unlock()
	if limit == 0 {
		limit = idleLimit
	}
	p.keep(address, newConn(n), limit, 1)
	return nil
}

func (p *Pool) pop(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	// The one used last is the least likely to have been closed by the target.
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

// put keeps a connection after an answer, as long as the answer allows.
func (p *Pool) put(address netip.AddrPort, c *conn, h http.Header, keep int) {
	limit := idleLimit
	if stated, ok := keepAlive(h); ok {
		limit = min(limit, stated-keepAliveMargin)
		p.mu.Lock()
		p.stated = limit
		p.mu.Unlock()
	}
	p.keep(address, c, limit, keep)
}

// keep holds a connection for limit, in place of the one unused for longest where there are most already.
func (p *Pool) keep(address netip.AddrPort, c *conn, limit time.Duration, most int) {
	c.until = p.clock.Now().Add(limit)
	if limit <= 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := append(p.idle[address], c)
	if len(all) > max(most, 1) {
		all[0].Close()
		all = all[1:]
	}
	p.idle[address] = all
}

// keepAlive returns the idle time that an answer states.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// quiet reports whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func quiet(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// Sweep closes idle connections that mustn't be used any more, on which something came, or whose address keep doesn't name.
func (p *Pool) Sweep(keep func(netip.AddrPort) bool) {
	now := p.clock.Now()
	var ended []*conn
	p.mu.Lock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			// What comes on an idle connection belongs to no request, and fills buffers for as long as it comes.
			if keep(address) && now.Before(c.until) && quiet(c.Conn) {
				kept = append(kept, c)
			} else {
				ended = append(ended, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Sweep(func(netip.AddrPort) bool { return false })
}
