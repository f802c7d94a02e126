package emul

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/timer"
)

// dial opens a connection to a listener, which is closed at the end of the test.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func TestListenerEnforcesConnectionLimitAndSetupTime(t *testing.T) {
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	l := NewListener(clock, inner, 1, 6*time.Millisecond)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	first := dial(t, l)
	served := <-accepted
	second := dial(t, l)
	_, err = second.Read(make([]byte, 1))
	require.Error(t, err, "a connection above the limit must be closed")
	require.Equal(t, int64(1), l.Refused())

	_, err = first.Write([]byte("x"))
	require.NoError(t, err)
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(served, make([]byte, 1))
		read <- err
	}()
	for manual.PendingCalls() == 0 {
		runtime.Gosched()
	}
	require.Empty(t, read, "the first read must wait for the setup time")
	manual.Advance(6 * time.Millisecond)
	require.NoError(t, <-read)

	require.NoError(t, served.Close())
	dial(t, l)
	<-accepted
}
