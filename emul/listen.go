package emul

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/timer"
)

// Listener emulates a target's front: a limit of connections, and the time that a new one takes.
type Listener struct {
	net.Listener
	clock   *timer.Clock
	limit   int
	setup   time.Duration
	open    atomic.Int64
	refused atomic.Int64
}

// NewListener wraps a listener; limit zero accepts any number of connections.
func NewListener(clock *timer.Clock, l net.Listener, limit int, setup time.Duration) *Listener {
	return &Listener{
		Listener: l,
		clock:    clock,
		limit:    limit,
		setup:    setup,
	}
}

// Refused returns the number of connections that were closed at once because of the limit.
func (l *Listener) Refused() int64 {
	return l.refused.Load()
}

// Accept returns the next connection within the limit and closes those above it.
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
		return &conn{Conn: c, listener: l}, nil
	}
}

// conn is one connection within the limit.
type conn struct {
	net.Conn
	listener *Listener
	begin    sync.Once
	end      sync.Once
}

// Read waits for the set-up time before the first byte.
func (c *conn) Read(b []byte) (int, error) {
	c.begin.Do(func() {
		if c.listener.setup > 0 {
			<-c.listener.clock.After(c.listener.setup)
		}
	})
	return c.Conn.Read(b)
}

// Close makes room for another connection.
func (c *conn) Close() error {
	c.end.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
