package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/fault"
)

const dialTimeout = time.Second

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
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept host")
		}
		if s.track(conn) {
			go s.serve(conn)
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.serving.Done()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	s.open[conn] = true
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
	mu    sync.Mutex
	lines map[netip.AddrPort]*line
}

// line is the connection to one host; its own lock keeps a slow dial from holding up calls to other hosts.
type line struct {
	mu     sync.Mutex
	client *rpc.Client
}

// NewDialer returns a dialer without connections.
func NewDialer() *Dialer {
	return &Dialer{lines: map[netip.AddrPort]*line{}}
}

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

// Call calls a method of the host at address; where no answer comes the error is a CallError.
func (d *Dialer) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	client, err := d.client(address)
	if err != nil {
		return &CallError{Address: address, Method: method, Sent: false, Err: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		return d.failed(address, method, client, call.Error)
	case <-ctx.Done():
		return &CallError{Address: address, Method: method, Sent: true, Err: context.Cause(ctx)}
	}
}

func (d *Dialer) failed(address netip.AddrPort, method string, client *rpc.Client, err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return fault.New(fault.Internal, "%s at %s: %s", method, address, remote)
	}
	d.forget(address, client)
	return &CallError{Address: address, Method: method, Sent: true, Err: err}
}

func (d *Dialer) client(address netip.AddrPort) (*rpc.Client, error) {
	d.mu.Lock()
	l := d.lines[address]
	if l == nil {
		l = &line{}
		d.lines[address] = l
	}
	d.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		return nil, err
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

func (d *Dialer) forget(address netip.AddrPort, client *rpc.Client) {
	d.mu.Lock()
	l := d.lines[address]
	d.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client = nil
	}
	client.Close()
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lines {
		l.mu.Lock()
		if l.client != nil {
			l.client.Close()
			l.client = nil
		}
		l.mu.Unlock()
	}
}
