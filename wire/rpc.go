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

	"kingcupcross/bound"
	"kingcupcross/fault"
)

const (
	// dialTimeout limits a dial, which all concurrent calls to one address share.
	dialTimeout = time.Second
	// writeTimeout closes a connection whose peer has stopped reading.
	writeTimeout = 5 * time.Second
	// maxSilence is the time without received data after which a call whose context ends closes the connection, so that the next call dials a new one.
	maxSilence = 5 * time.Second
	// maxReadBetweenWrites is the maximum number of bytes received between two writes. It is far above the size of any message.
	maxReadBetweenWrites = 32 << 20
)

// errReadLimit is returned by a read after which a connection exceeds maxReadBetweenWrites.
var errReadLimit = errors.New("the other side sends without end")

// conn is a connection that limits the time of each write, the size of messages and the bytes read between writes, and that calls a function once when it ends.
type conn struct {
	net.Conn
	// lastRead is when bytes were last received, in Unix nanoseconds.
	lastRead atomic.Int64
	// readSinceWrite is the number of bytes received since the last write.
	readSinceWrite atomic.Int64
	messages       messageLimit
	endOnce        sync.Once
	// onEnd is called once when the connection ends. The argument says whether the peer ended it.
	onEnd func(remote bool)
}

// newConn wraps a network connection. The memory budget limits the messages that are being received.
func newConn(n net.Conn, memory *bound.Memory, onEnd func(remote bool)) *conn {
	c := &conn{
		Conn:     n,
		messages: messageLimit{memory: memory},
		onEnd:    onEnd,
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// Read reads from the connection and records the time. It closes the connection if a message is too long, or too much is received without a write.
func (c *conn) Read(b []byte) (int, error) {
	c.messages.beforeRead()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	if c.readSinceWrite.Add(int64(n)) > maxReadBetweenWrites && err == nil {
		err = errReadLimit
		c.Conn.Close()
	}
	if limitErr := c.messages.scan(b[:n]); limitErr != nil {
		// The decoder must not see the length, for which it would allocate memory.
		n, err = 0, limitErr
		c.Close()
	}
	if err != nil {
		c.messages.release()
		c.endOnce.Do(func() { c.onEnd(true) })
	}
	return n, err
}

// Write writes to the connection. It fails if the peer doesn't read the data within writeTimeout.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.readSinceWrite.Store(0)
	n, err := c.Conn.Write(b)
	if err != nil {
		// A partial message may have been sent, so the peer couldn't decode anything after it.
		c.Close()
	}
	return n, err
}

// Close ends the connection from this side.
func (c *conn) Close() error {
	c.endOnce.Do(func() { c.onEnd(false) })
	err := c.Conn.Close()
	c.messages.release()
	return err
}

const (
	// minAcceptPause is the pause after a connection couldn't be accepted; it doubles up to maxAcceptPause while that goes on.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Server serves net/rpc calls of other hosts.
type Server struct {
	// OnAcceptError is called with each error of a connection that can't be accepted at present. It must be set before Serve is called and must not block.
	OnAcceptError func(error)

	rpc         *rpc.Server
	listener    net.Listener
	memory      *bound.Memory
	mu          sync.Mutex
	conns       map[net.Conn]bool
	closed      bool
	activeConns sync.WaitGroup
}

// NewServer returns a server for the listener. Services must be registered before Serve is called.
func NewServer(l net.Listener) *Server {
	return &Server{
		OnAcceptError: func(error) {},
		rpc:           rpc.NewServer(),
		listener:      l,
		memory:        bound.NewMemory(messageMemory),
		conns:         map[net.Conn]bool{},
	}
}

// Register registers the exported methods of a service under a name.
func (s *Server) Register(name string, service any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, service), "register %s", name)
}

// Serve accepts connections until Close. While descriptors or memory are used up, or connections end before they are accepted, it tries again after a pause.
func (s *Server) Serve() error {
	pause := minAcceptPause
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isPassing(err):
			s.OnAcceptError(err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		case err != nil:
			return eris.Wrap(err, "accept connection from host")
		}
		pause = minAcceptPause
		if s.trackConn(c) {
			go s.serveConn(c)
		}
	}
}

// isPassing reports whether connections can be accepted again after an error of Accept.
func isPassing(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// serveConn serves calls over one connection until it ends.
func (s *Server) serveConn(c net.Conn) {
	defer s.activeConns.Done()
	s.rpc.ServeConn(newConn(c, s.memory, func(bool) {}))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// trackConn adds an accepted connection, or closes it and returns false if the server is closed.
func (s *Server) trackConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns[c] = true
	s.activeConns.Add(1)
	return true
}

// Close stops accepting connections and closes all open ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
}

// Dialer calls other hosts and keeps one connection to each of them.
type Dialer struct {
	// OnDisconnect is called with the address of each connection that the peer ended. It must be set before the first call and must not block.
	OnDisconnect func(netip.AddrPort)

	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	memory *bound.Memory
	mu     sync.Mutex
	conns  map[netip.AddrPort]*hostConn
	closed bool
}

// hostConn is a connection to one host, or the pending dial for it.
type hostConn struct {
	// ready is closed when the dial has succeeded or failed.
	ready  chan struct{}
	client *rpc.Client
	conn   *conn
	err    error
}

// NewDialer returns a dialer without connections.
func NewDialer() *Dialer {
	return &Dialer{
		OnDisconnect: func(netip.AddrPort) {},
		dial:         (&net.Dialer{}).DialContext,
		memory:       bound.NewMemory(messageMemory),
		conns:        map[netip.AddrPort]*hostConn{},
	}
}

// CallFunc is the signature of Dialer.Call: it calls a method of the host at an address.
type CallFunc func(ctx context.Context, address netip.AddrPort, method string, args, reply any) error

// CallError is the error of a call that got no reply.
type CallError struct {
	Address netip.AddrPort
	Method  string
	// Sent is set if the call may have reached the host.
	Sent bool
	Err  error
}

// Error returns the method, the address and the cause.
func (e *CallError) Error() string {
	return e.Method + " at " + e.Address.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// IsConnectionRefused reports whether the connection was refused: the machine is up but no process listens at the address.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Call calls a method of the host at address. If no reply arrives, it returns a CallError and never writes to reply, not even later.
func (d *Dialer) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	h, err := d.getConn(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Sent: false, Err: err}
	}
	// The reply is decoded into a separate value, because a late reply must not modify the variable of a caller that has given up.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// The write blocks if the host doesn't read, so it runs in a separate goroutine, which ends after writeTimeout.
	go h.client.Go(method, args, decoded.Interface(), done)
	select {
	case call := <-done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
			return nil
		}
		return d.callFailed(address, method, h, call.Error)
	case <-ctx.Done():
		if time.Since(time.Unix(0, h.conn.lastRead.Load())) > maxSilence {
			h.client.Close()
		}
		return &CallError{Address: address, Method: method, Sent: true, Err: context.Cause(ctx)}
	}
}

// callFailed returns the error of a failed call: a fault if the method returned an error, otherwise a CallError. In the latter case it closes the connection.
func (d *Dialer) callFailed(address netip.AddrPort, method string, h *hostConn, err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return fault.New(fault.Internal, "%s at %s: %s", method, address, remote)
	}
	h.client.Close()
	return &CallError{Address: address, Method: method, Sent: true, Err: err}
}

// getConn returns the connection to an address and dials it if there is none. Concurrent calls wait for the same dial, each until its own context ends.
func (d *Dialer) getConn(ctx context.Context, address netip.AddrPort) (*hostConn, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil, net.ErrClosed
	}
	h := d.conns[address]
	if h == nil {
		h = &hostConn{ready: make(chan struct{})}
		d.conns[address] = h
		go d.connect(address, h)
	}
	d.mu.Unlock()
	select {
	case <-h.ready:
		return h, h.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// connect dials the address, stores the connection or the error in h, and closes h.ready.
func (d *Dialer) connect(address netip.AddrPort, h *hostConn) {
	defer close(h.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := d.dial(ctx, "tcp", address.String())
	if err != nil {
		h.err = err
		d.removeConn(address, h)
		return
	}
	h.conn = newConn(c, d.memory, func(remote bool) {
		d.removeConn(address, h)
		if remote {
			d.OnDisconnect(address)
		}
	})
	h.client = rpc.NewClient(h.conn)
	d.mu.Lock()
	closed := d.closed
	d.mu.Unlock()
	if closed {
		h.client.Close()
	}
}

// removeConn removes a connection, so that the next call dials again.
func (d *Dialer) removeConn(address netip.AddrPort, h *hostConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[address] == h {
		delete(d.conns, address)
	}
}

// Close closes all connections. Later calls fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	conns := d.conns
	d.conns = map[netip.AddrPort]*hostConn{}
	d.mu.Unlock()
	for _, h := range conns {
		select {
		case <-h.ready:
			if h.client != nil {
				h.client.Close()
			}
		default:
		}
	}
}
