package wire

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingService has a method that blocks until the test releases it.
type blockingService struct {
	started chan struct{}
	release chan struct{}
}

// Wait returns its argument after the release.
func (s *blockingService) Wait(in int, out *int) error {
	s.started <- struct{}{}
	<-s.release
	*out = in
	return nil
}

// TestShutdownFinishesCalls checks that Shutdown lets a call in progress finish, while Close interrupts it.
func TestShutdownFinishesCalls(t *testing.T) {
	cases := []struct {
		name     string
		stop     func(*Server) error
		finishes bool
	}{
		{name: "close", stop: func(s *Server) error { s.Close(); return nil }, finishes: false},
		{name: "shutdown", stop: func(s *Server) error { return s.Shutdown(context.Background()) }, finishes: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := NewServer(l)
			service := &blockingService{started: make(chan struct{}), release: make(chan struct{})}
			require.NoError(t, s.Register("Slow", service))
			go s.Serve()
			d := NewDialer()
			defer d.Close()
			called, stopped := make(chan error, 1), make(chan error, 1)
			var out int
			go func() {
				called <- d.Call(t.Context(), netip.MustParseAddrPort(l.Addr().String()), "Slow.Wait", 7, &out)
			}()
			<-service.started
			go func() { stopped <- c.stop(s) }()
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.closed
			}, 10*time.Second, time.Millisecond)
			if !c.finishes {
				require.NoError(t, <-stopped)
				require.Error(t, <-called)
				close(service.release)
				return
			}
			close(service.release)
			require.NoError(t, <-called)
			require.Equal(t, 7, out)
			require.NoError(t, <-stopped)
		})
	}
}
