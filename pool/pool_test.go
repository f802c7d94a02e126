package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"kingcupcross/timer"
)

const whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"

// target answers each request on a connection with the next of its texts; an empty one ends the connection.
type target struct {
	address     netip.AddrPort
	connections atomic.Int64
	requests    atomic.Int64
}

func withTarget(t *testing.T, answers ...string) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &target{address: netip.MustParseAddrPort(l.Addr().String())}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn, answers []string) {
	defer c.Close()
	b := bufio.NewReader(c)
	for _, a := range answers {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		if a == "" {
			return
		}
		io.WriteString(c, a)
	}
}

// TestAnswerThatIsCutAtItsBoundIsTooLong tells answers without end from malformed ones, whatever part of them doesn't end.
func TestAnswerThatIsCutAtItsBoundIsTooLong(t *testing.T) {
	for name, answer := range map[string]string{
		"status line": "HTTP/1.1 200 " + strings.Repeat("O", 1<<20),
		"field":       "HTTP/1.1 200 OK\r\nX-Field: " + strings.Repeat("x", 1<<20),
		"fields":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: x\r\n", 1<<17),
		"interim":     strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<15),
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
		"body":        "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 5<<20),
		"size":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			s, p := withTarget(t, answer), withPool(t)
			_, err := ask(p, s, Request{})
			require.ErrorIs(t, err, ErrTooLong)
		})
	}
}

func withPool(t *testing.T) *Pool {
	p := New(timer.New(), DefaultMemory, tally.NoopScope)
	t.Cleanup(p.Close)
	return p
}

func ask(p *Pool, s *target, r Request) (*Response, error) {
	r.Method, r.URI, r.Host = "GET", "/a%2Fb?c=%20", "x"
	return p.Exchange(context.Background(), s.address, r, time.Now().Add(10*time.Second))
}

func matches(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id }
}

func TestConnectionIsReused(t *testing.T) {
	s, p := withTarget(t, whole, whole, whole), withPool(t)
	for range 3 {
		r, err := ask(p, s, Request{})
		require.NoError(t, err)
		require.Equal(t, "ok", string(r.Body))
	}
	require.EqualValues(t, 1, s.connections.Load())
}

func TestFreshRequestsUseConnectionsOfTheirOwn(t *testing.T) {
	s, p := withTarget(t, whole, whole), withPool(t)
	for range 3 {
		_, err := ask(p, s, Request{Fresh: true})
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, s.connections.Load())
	require.Empty(t, p.idle)
}

// TestLostConnectionIsNotRepeated has the target end a kept connection after it has read the request: it may have run it.
func TestLostConnectionIsNotRepeated(t *testing.T) {
	s, p := withTarget(t, whole, ""), withPool(t)
	_, err := ask(p, s, Request{})
	require.NoError(t, err)
	_, err = ask(p, s, Request{})
	var lost *Error
	require.True(t, errors.As(err, &lost))
	require.True(t, lost.Sent)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestAnswersThatAreNotWholeOrNotOurs(t *testing.T) {
	stale := strings.Replace(whole, "X-Id: 1", "X-Id: 0", 1)
	for _, one := range []struct {
		name   string
		answer string
		body   string
		fails  bool
		kept   bool
	}{
		{name: "whole", answer: whole, body: "ok", kept: true},
		{name: "cut short", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", fails: true},
		{name: "cut chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", fails: true},
		{name: "no answer at all", answer: "!!\r\n\r\n", fails: true},
		{name: "without a length", answer: "HTTP/1.1 200 OK\r\n\r\nok", body: "ok"},
		{name: "another request's answer first", answer: stale + whole, body: "ok", kept: true},
		{name: "an extra answer behind", answer: whole + whole, body: "ok"},
		{name: "closing", answer: strings.Replace(whole, "X-Id", "Connection: close\r\nX-Id", 1), body: "ok"},
		{name: "a short idle time", answer: strings.Replace(whole, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1), body: "ok"},
		{name: "interim answer", answer: "HTTP/1.1 100 Continue\r\n\r\n" + whole, body: "ok", kept: true},
	} {
		t.Run(one.name, func(t *testing.T) {
			s, p := withTarget(t, one.answer), withPool(t)
			r, err := ask(p, s, Request{Matches: matches("1")})
			if one.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, one.body, string(r.Body))
			require.Equal(t, one.kept, len(p.idle[s.address]) == 1)
		})
	}
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	_, err = ask(withPool(t), &target{address: address}, Request{})
	var lost *Error
	require.True(t, errors.As(err, &lost))
	require.ErrorIs(t, lost, syscall.ECONNREFUSED)
	require.False(t, lost.Sent)
}

func TestContextEndsAnExchange(t *testing.T) {
	s, p := withTarget(t, whole), withPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := p.Exchange(ctx, s.address, Request{
		Method:  "GET",
		URI:     "/",
		Host:    "x",
		Matches: func(http.Header) bool { return false },
	}, time.Now().Add(time.Minute))
	require.Error(t, err)
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	s, p := withTarget(t, whole), withPool(t)
	held := make(chan struct{})
	done := make(chan error, 4)
	for range 4 {
		go func() {
			_, err := ask(p, s, Request{Keep: 2, Matches: func(http.Header) bool {
				<-held
				return true
			}})
			done <- err
		}()
	}
	for s.requests.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	close(held)
	for range 4 {
		require.NoError(t, <-done)
	}
	require.Len(t, p.idle[s.address], 2)
}

// TestPreparedConnection is used by the next request, and not offered once the target has closed it.
func TestPreparedConnection(t *testing.T) {
	s, p := withTarget(t, whole), withPool(t)
	require.False(t, p.Ready(s.address))
	require.NoError(t, p.Prepare(context.Background(), s.address))
	require.True(t, p.Ready(s.address))
	_, err := ask(p, s, Request{Keep: 1})
	require.NoError(t, err)
	require.EqualValues(t, 1, s.connections.Load())
	require.Error(t, p.Prepare(context.Background(), netip.MustParseAddrPort("127.0.0.1:1")))
}

// TestRequestThatIsNoLongerWanted guards against a request that waits for its connection and then reaches a target that has left meanwhile.
func TestRequestThatIsNoLongerWanted(t *testing.T) {
	s := withTarget(t, whole, whole)
	p := withPool(t)
	var left atomic.Bool
	dial := p.dial
	p.dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		left.Store(true)
		return dial(ctx, a)
	}
	wanted := func() bool { return !left.Load() }
	_, err := ask(p, s, Request{Wanted: wanted})
	require.ErrorIs(t, err, ErrUnwanted)
	var lost *Error
	require.ErrorAs(t, err, &lost)
	require.False(t, lost.Sent)
	require.Zero(t, s.requests.Load())
	left.Store(false)
	p.dial = dial
	_, err = ask(p, s, Request{Wanted: wanted, Keep: 1})
	require.NoError(t, err)
	left.Store(true)
	_, err = ask(p, s, Request{Wanted: wanted, Keep: 1})
	require.ErrorIs(t, err, ErrUnwanted, "over a kept connection")
	require.EqualValues(t, 1, s.requests.Load())
}
