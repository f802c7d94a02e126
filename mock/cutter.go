package mock

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
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
	}
	go c.accept()
	return c, nil
}

// accept serves connections until Close.
func (c *Cutter) accept() {
	for {
		n, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(n)
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
		// What can't be read is missing at the next request too.
		_, _ = io.Copy(io.Discard, r.Body)
		answer := *c.Answer.Load()
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

// Close stops accepting connections.
func (c *Cutter) Close() {
	c.listener.Close()
}
