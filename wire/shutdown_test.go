package wire

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowPart answers a call only once it is let go.
type slowPart struct {
	begun chan struct{}
	goOn  chan struct{}
}

// Wait answers the call of that name.
func (s *slowPart) Wait(in int, out *int) error {
	s.begun <- struct{}{}
	<-s.goOn
	*out = in
	return nil
}

// TestShutdownFinishesCalls ends a server with a call under way, with and without the waiting.
func TestShutdownFinishesCalls(t *testing.T) {
	cases := []struct {
		name  string
		end   func(*Server) error
		whole bool
	}{
		{name: "without the waiting", end: func(s *Server) error { s.Close(); return nil }, whole: false},
		{name: "with it", end: func(s *Server) error { return s.Shutdown(context.Background()) }, whole: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := NewServer(l)
			part := &slowPart{begun: make(chan struct{}), goOn: make(chan struct{})}
			require.NoError(t, s.Register("Slow", part))
			go s.Serve()
			d := NewDialer()
			defer d.Close()
			called, ended := make(chan error, 1), make(chan error, 1)
			var out int
			go func() {
				called <- d.Call(t.Context(), netip.MustParseAddrPort(l.Addr().String()), "Slow.Wait", 7, &out)
			}()
			<-part.begun
			go func() { ended <- c.end(s) }()
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.closed
			}, 10*time.Second, time.Millisecond)
			if !c.whole {
				require.NoError(t, <-ended)
				require.Error(t, <-called)
				close(part.goOn)
				return
			}
			close(part.goOn)
			require.NoError(t, <-called)
			require.Equal(t, 7, out)
			require.NoError(t, <-ended)
		})
	}
}
