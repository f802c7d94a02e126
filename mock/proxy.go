package mock

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy is a TCP proxy that forwards connections to an address and injects faults into them.
type Proxy struct {
	// Address is the address at which the proxy listens.
	Address netip.AddrPort

	upstream atomic.Pointer[netip.AddrPort]
	delay    atomic.Int64
	// stalled is set for each direction in which bytes are held back: [0] for requests, [1] for responses.
	stalled [2]atomic.Bool

	mu        sync.Mutex
	listener  net.Listener
	openConns map[net.Conn]bool
}

// NewProxy starts a proxy on a free loopback port that forwards connections to the address to.
func NewProxy(to netip.AddrPort) (*Proxy, error) {
	return NewProxyAt(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0), to)
}

// NewProxyAt starts a proxy at an address that forwards connections to the address to. A proxy that refuses connections for a time needs a port that no outgoing connection takes meanwhile.
func NewProxyAt(at, to netip.AddrPort) (*Proxy, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address:   netip.MustParseAddrPort(l.Addr().String()),
		listener:  l,
		openConns: map[net.Conn]bool{},
	}
	p.upstream.Store(&to)
	go p.accept(l)
	return p, nil
}

// Refuse stops accepting connections, so that new ones are refused, until Accept is called. Open ones go on.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
}

// Accept accepts connections again at the same address after Refuse.
func (p *Proxy) Accept() error {
	l, err := net.Listen("tcp", p.Address.String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

// Delay sets the time by which the proxy delays each chunk of bytes that it forwards from now on.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// Stall holds back the bytes of requests, of responses, of both or of neither, without closing connections. A later call replaces an earlier one.
func (p *Proxy) Stall(requests, responses bool) {
	p.stalled[0].Store(requests)
	p.stalled[1].Store(responses)
}

// Redirect forwards new connections to another address.
func (p *Proxy) Redirect(to netip.AddrPort) { p.upstream.Store(&to) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger of zero, Close sends a reset; if it can't be set, Close still ends the connection.
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	p.Refuse()
	p.Reset()
}

// accept accepts connections and serves each in its own goroutine, until the listener is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve connects a client to the upstream address and forwards bytes both ways until either side closes.
func (p *Proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp", p.upstream.Load().String())
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.openConns[client], p.openConns[upstream] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(client, upstream, 0) })
	directions.Go(func() { p.forward(upstream, client, 1) })
	directions.Wait()
	p.mu.Lock()
	delete(p.openConns, client)
	delete(p.openConns, upstream)
	p.mu.Unlock()
}

// stallPollInterval is the interval at which a stalled direction, or a paused target, checks whether it may continue.
const stallPollInterval = 10 * time.Millisecond

// forward copies bytes in one direction, with the injected delay and stalls, until either connection ends; then it closes both.
func (p *Proxy) forward(from, to net.Conn, direction int) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			for p.stalled[direction].Load() {
				time.Sleep(stallPollInterval)
			}
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
