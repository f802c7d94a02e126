package mock

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
)

// Headers of a request to a Cutter.
const (
	// HeaderCutAfter is the number of bytes of the answer after which the connection ends; without it the whole answer is sent.
	HeaderCutAfter = "X-Cut-After"
	// HeaderCutReset is set if the connection is reset instead of closed.
	HeaderCutReset = "X-Cut-Reset"
)

// Cutter is a test double of a target or host whose answers end early where a request asks for it.
type Cutter struct {
	Address netip.AddrPort
	// Answer is the answer to every request, with its head.
	Answer atomic.Pointer[string]
	// Whole makes all answers whole, whatever the requests ask for.
	Whole    atomic.Bool
	listener net.Listener

	mu sync.Mutex
	// sent holds the answers that were sent on each connection.
	sent map[net.Conn][]string
}

// NewCutter starts a Cutter at a free port.
func NewCutter() (*Cutter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cutter{
		Address:  l.Addr().(*net.TCPAddr).AddrPort(),
		listener: l,
		sent:     map[net.Conn][]string{},
	}
	go serveConns(l, c.serve)
	return c, nil
}

// serveConns serves each connection of a listener in a goroutine of its own until the listener is closed.
func serveConns(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serve answers the requests of one connection.
func (c *Cutter) serve(n net.Conn) {
	defer n.Close()
	requests := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			// If the write fails, so does that of the answer.
			_, _ = io.WriteString(n, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		// What can't be read is missing at the next request too.
		_, _ = io.Copy(io.Discard, r.Body)
		answer := *c.Answer.Load()
		c.mu.Lock()
		c.sent[n] = append(c.sent[n], answer)
		c.mu.Unlock()
		after, err := strconv.Atoi(r.Header.Get(HeaderCutAfter))
		whole := err != nil || after > len(answer) || c.Whole.Load()
		if whole {
			after = len(answer)
		}
		if _, err := io.WriteString(n, answer[:after]); err != nil {
			return
		}
		if whole {
			continue
		}
		if r.Header.Get(HeaderCutReset) != "" {
			// With a linger time of zero, closing resets the connection.
			_ = n.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// IsFollowed reports whether any request arrived on a connection after an answer was sent on it.
func (c *Cutter) IsFollowed(answer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, answers := range c.sent {
		if i := slices.Index(answers, answer); i >= 0 && i < len(answers)-1 {
			return true
		}
	}
	return false
}

// Close stops accepting connections.
func (c *Cutter) Close() {
	c.listener.Close()
}
