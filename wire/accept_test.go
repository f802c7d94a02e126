package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exhaustedListener fails to accept connections for as long as err is set.
type exhaustedListener struct {
	net.Listener
	err atomic.Pointer[error]
}

// Accept fails with the set error, or accepts a connection.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if err := l.err.Load(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: *err}
	}
	return l.Listener.Accept()
}

// echoService returns what it is called with.
type echoService struct{}

// Echo returns its argument.
func (echoService) Echo(in int, out *int) error {
	*out = in
	return nil
}

// TestAcceptErrorDoesNotEndTheServer guards against a host that ends because its descriptors are used up when another host connects: the server waits and goes on, without a busy loop.
func TestAcceptErrorDoesNotEndTheServer(t *testing.T) {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		t.Run(passing.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := &exhaustedListener{Listener: inner}
			l.err.Store(&passing)
			s := NewServer(l)
			var failures atomic.Int64
			s.OnAcceptError = func(error) { failures.Add(1) }
			require.NoError(t, s.Register("Echo", echoService{}))
			served := make(chan error, 1)
			go func() { served <- s.Serve() }()
			require.Eventually(t, func() bool { return failures.Load() > 2 }, 10*time.Second, time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			require.Less(t, failures.Load(), int64(12), "a pause between two attempts")
			l.err.Store(nil)
			d := NewDialer()
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var out int
			require.NoError(t, d.Call(ctx, netip.MustParseAddrPort(inner.Addr().String()), "Echo.Echo", 7, &out))
			require.Equal(t, 7, out)
			s.Close()
			require.NoError(t, <-served)
		})
	}
	t.Run("another error ends it", func(t *testing.T) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer inner.Close()
		l := &exhaustedListener{Listener: inner}
		broken := errors.New("broken")
		l.err.Store(&broken)
		require.ErrorIs(t, NewServer(l).Serve(), broken)
	})
}
