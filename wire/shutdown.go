package wire

import (
	"context"
	"net"
)

// Shutdown stops accepting, lets the calls under way finish and sends their replies; it returns the context's error where that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for c := range s.open {
		// A connection whose reading side is at its end is closed by net/rpc once its last reply is sent.
		if half, ok := c.(*net.TCPConn); ok {
			half.CloseRead()
		} else {
			c.Close()
		}
	}
	s.mu.Unlock()
	served := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(served)
	}()
	select {
	case <-served:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
