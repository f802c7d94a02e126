package emul

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/timer"
)

// Listener emulates the connection handling of a target: a limit on open connections, and a setup time that delays the first read from each new one.
type Listener struct {
	net.Listener
	clock   *timer.Clock
	limit   int
	setup   time.Duration
	open    atomic.Int64
	refused atomic.Int64
}

// NewListener wraps a listener; a limit of zero means no limit.
func NewListener(clock *timer.Clock, l net.Listener, limit int, setup time.Duration) *Listener {
	return &Listener{
		Listener: l,
		clock:    clock,
		limit:    limit,
		setup:    setup,
	}
}

// Refused returns the number of connections that were closed on accept because the limit was reached.
func (l *Listener) Refused() int64 {
	return l.refused.Load()
}

// Accept returns the next connection within the limit and closes connections above it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.open.Add(1); l.limit > 0 && n > int64(l.limit) {
			l.open.Add(-1)
			l.refused.Add(1)
			c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l}, nil
	}
}

// limitedConn is an accepted connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	listener  *Listener
	setupOnce sync.Once
	closeOnce sync.Once
}

// Read delays the first read by the setup time.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.setupOnce.Do(func() {
		if c.listener.setup > 0 {
			<-c.listener.clock.After(c.listener.setup)
		}
	})
	return c.Conn.Read(b)
}

// Close closes the connection and frees its place within the limit.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
