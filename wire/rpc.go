package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/fault"
)

const (
	// dialTimeout bounds a dial that all callers of one address share.
	dialTimeout = time.Second
	// writeTimeout ends a connection whose other side has stopped reading.
	writeTimeout = 5 * time.Second
	// silentLimit is how long a connection may bring nothing while calls are given up on before it is replaced.
	silentLimit = 5 * time.Second
	// mostUnanswered is the number of bytes that a connection may bring between two writes to it: far more than any message has.
	mostUnanswered = 32 << 20
)

// errEndless says that the other side sends more than any message has.
var errEndless = errors.New("the other side sends without end")

// conn bounds each write, notes when bytes came and tells its end once.
type conn struct {
	net.Conn
	heard atomic.Int64
	// brought counts the bytes that came since the last write.
	brought atomic.Int64
	ended   sync.Once
	// end is called with whether the other side ended the connection.
	end func(remote bool)
}

func newConn(c net.Conn, end func(remote bool)) *conn {
	k := &conn{Conn: c, end: end}
	k.heard.Store(time.Now().UnixNano())
	return k
}

// Read notes that the other side lives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	if c.brought.Add(int64(n)) > mostUnanswered && err == nil {
		err = errEndless
		c.Conn.Close()
	}
	if err != nil {
		c.ended.Do(func() { c.end(true) })
	}
	return n, err
}

// Write fails where the other side takes nothing for writeTimeout.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.brought.Store(0)
	n, err := c.Conn.Write(b)
	if err != nil {
		// Half a message may be out: nothing after it could be understood.
		c.Close()
	}
	return n, err
}

// Close ends the connection from this side.
func (c *conn) Close() error {
	c.ended.Do(func() { c.end(false) })
	return c.Conn.Close()
}

// Server serves net/rpc calls of other hosts.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	closed   bool
	serving  sync.WaitGroup
}

// NewServer returns a server for the listener; parts are registered before Serve.
func NewServer(l net.Listener) *Server {
	return &Server{rpc: rpc.NewServer(), listener: l, open: map[net.Conn]bool{}}
}

// Register adds the methods of one part under a name.
func (s *Server) Register(name string, part any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, part), "register %s", name)
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept host")
		}
		if s.track(c) {
			go s.serve(c)
		}
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.serving.Done()
	s.rpc.ServeConn(newConn(c, func(bool) {}))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.open[c] = true
	s.serving.Add(1)
	return true
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for c := range s.open {
		c.Close()
	}
}

// Dialer keeps one connection to each host that is called.
type Dialer struct {
	// Lost is told of each connection that the other side ended; it must be set before the first call and must not block.
	Lost func(netip.AddrPort)

	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	mu     sync.Mutex
	lines  map[netip.AddrPort]*line
	closed bool
}

// line is a connection to one host, or the dial that is to make it.
type line struct {
	ready  chan struct{}
	client *rpc.Client
	conn   *conn
	err    error
}

// NewDialer returns a dialer without connections.
func NewDialer() *Dialer {
	return &Dialer{
		Lost:  func(netip.AddrPort) {},
		dial:  (&net.Dialer{}).DialContext,
		lines: map[netip.AddrPort]*line{},
	}
}

// Caller calls a method of the host at an address; Dialer.Call is one.
type Caller func(ctx context.Context, address netip.AddrPort, method string, args, reply any) error

// CallError is a call that gave no answer.
type CallError struct {
	Address netip.AddrPort
	Method  string
	// Sent says that the call may have reached the host.
	Sent bool
	Err  error
}

// Error returns the failed call and its cause.
func (e *CallError) Error() string {
	return e.Method + " at " + e.Address.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// Refused reports whether err says that the machine answers and no process listens at the address.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Call calls a method of the host at address; where no answer comes the error is a CallError, and reply is untouched then and later.
func (d *Dialer) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	l, err := d.line(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Sent: false, Err: err}
	}
	// A late answer must not reach a caller that has given up, so it is decoded into a value of its own.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// A write to a host that reads nothing blocks, so it has a goroutine of its own, which writeTimeout ends.
	go l.client.Go(method, args, own.Interface(), done)
	select {
	case call := <-done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
			return nil
		}
		return d.failed(address, method, l, call.Error)
	case <-ctx.Done():
		if time.Since(time.Unix(0, l.conn.heard.Load())) > silentLimit {
			l.client.Close()
		}
		return &CallError{Address: address, Method: method, Sent: true, Err: context.Cause(ctx)}
	}
}

func (d *Dialer) failed(address netip.AddrPort, method string, l *line, err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return fault.New(fault.Internal, "%s at %s: %s", method, address, remote)
	}
	l.client.Close()
	return &CallError{Address: address, Method: method, Sent: true, Err: err}
}

// line returns the connection to an address; callers that come during a dial wait for it, each no longer than its own context.
func (d *Dialer) line(ctx context.Context, address netip.AddrPort) (*line, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil, net.ErrClosed
	}
	l := d.lines[address]
	if l == nil {
		l = &line{ready: make(chan struct{})}
		d.lines[address] = l
		go d.connect(address, l)
	}
	d.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (d *Dialer) connect(address netip.AddrPort, l *line) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := d.dial(ctx, "tcp", address.String())
	if err != nil {
		l.err = err
		d.forget(address, l)
		return
	}
	l.conn = newConn(c, func(remote bool) {
		d.forget(address, l)
		if remote {
			d.Lost(address)
		}
	})
	l.client = rpc.NewClient(l.conn)
	d.mu.Lock()
	closed := d.closed
	d.mu.Unlock()
	if closed {
		l.client.Close()
	}
}

// forget makes the next call dial anew.
func (d *Dialer) forget(address netip.AddrPort, l *line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lines[address] == l {
		delete(d.lines, address)
	}
}

// Close closes all connections; later calls fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	lines := d.lines
	d.lines = map[netip.AddrPort]*line{}
	d.mu.Unlock()
	for _, l := range lines {
		select {
		case <-l.ready:
			if l.client != nil {
				l.client.Close()
			}
		default:
		}
	}
}
