package wire

import (
	"context"
	"net"
)

// Shutdown stops accepting connections and waits until the calls in progress have finished and their replies are sent. If the context ends first, it returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for c := range s.conns {
		// After its read side is closed, net/rpc closes a connection once the last reply is sent.
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.CloseRead()
		} else {
			c.Close()
		}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.activeConns.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
