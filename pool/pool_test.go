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

// completeResponse is a valid response with a content length.
const completeResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"

// testTarget is a server that answers the requests on each connection with its response texts in order. An empty text closes the connection.
type testTarget struct {
	address     netip.AddrPort
	connections atomic.Int64
	requests    atomic.Int64
}

func startTarget(t *testing.T, responses ...string) *testTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testTarget{address: netip.MustParseAddrPort(l.Addr().String())}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, responses)
		}
	}()
	return s
}

func (s *testTarget) serve(c net.Conn, responses []string) {
	defer c.Close()
	b := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		if response == "" {
			return
		}
		io.WriteString(c, response)
	}
}

// TestUnboundedResponseIsErrTooLong checks that a response which exceeds its bounds in any of its parts is reported as too long, not as malformed.
func TestUnboundedResponseIsErrTooLong(t *testing.T) {
	for name, response := range map[string]string{
		"status line": "HTTP/1.1 200 " + strings.Repeat("O", 1<<20),
		"field":       "HTTP/1.1 200 OK\r\nX-Field: " + strings.Repeat("x", 1<<20),
		"fields":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: x\r\n", 1<<17),
		"interim":     strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<15),
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
		"body":        "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 5<<20),
		"size":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			s, p := startTarget(t, response), newTestPool(t)
			_, err := exchange(p, s, Request{})
			require.ErrorIs(t, err, ErrResponseTooLong)
		})
	}
}

func newTestPool(t *testing.T) *Pool {
	p := New(timer.New(), DefaultMemory, tally.NoopScope)
	t.Cleanup(p.Close)
	return p
}

// exchange sends r as a GET request to s.
func exchange(p *Pool, s *testTarget, r Request) (*Response, error) {
	r.Method, r.URI, r.Host = "GET", "/a%2Fb?c=%20", "x"
	return p.Exchange(context.Background(), s.address, r, time.Now().Add(10*time.Second))
}

// matchID returns a Matches function that accepts responses with the given X-Id or without any.
func matchID(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id }
}

func TestConnectionIsReused(t *testing.T) {
	s, p := startTarget(t, completeResponse, completeResponse, completeResponse), newTestPool(t)
	for range 3 {
		r, err := exchange(p, s, Request{})
		require.NoError(t, err)
		require.Equal(t, "ok", string(r.Body))
	}
	require.EqualValues(t, 1, s.connections.Load())
}

func TestFreshRequestsUseNewConnections(t *testing.T) {
	s, p := startTarget(t, completeResponse, completeResponse), newTestPool(t)
	for range 3 {
		_, err := exchange(p, s, Request{NewConn: true})
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, s.connections.Load())
	require.Empty(t, p.idle)
}

// TestRequestIsNotRetriedAfterLostConnection guards against sending a request again after the target has read it and closed the reused connection: it may have run the request.
func TestRequestIsNotRetriedAfterLostConnection(t *testing.T) {
	s, p := startTarget(t, completeResponse, ""), newTestPool(t)
	_, err := exchange(p, s, Request{})
	require.NoError(t, err)
	_, err = exchange(p, s, Request{})
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestIncompleteAndStaleResponses(t *testing.T) {
	stale := strings.Replace(completeResponse, "X-Id: 1", "X-Id: 0", 1)
	for _, tc := range []struct {
		name   string
		answer string
		body   string
		fails  bool
		kept   bool
	}{
		{name: "whole", answer: completeResponse, body: "ok", kept: true},
		{name: "truncated body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", fails: true},
		{name: "truncated chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", fails: true},
		{name: "malformed response", answer: "!!\r\n\r\n", fails: true},
		{name: "no content length", answer: "HTTP/1.1 200 OK\r\n\r\nok", body: "ok"},
		{name: "stale response first", answer: stale + completeResponse, body: "ok", kept: true},
		{name: "extra response at the end", answer: completeResponse + completeResponse, body: "ok"},
		{name: "closing", answer: strings.Replace(completeResponse, "X-Id", "Connection: close\r\nX-Id", 1), body: "ok"},
		{name: "short keep-alive timeout", answer: strings.Replace(completeResponse, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1), body: "ok"},
		{name: "interim response", answer: "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, body: "ok", kept: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, p := startTarget(t, tc.answer), newTestPool(t)
			r, err := exchange(p, s, Request{Matches: matchID("1")})
			if tc.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.body, string(r.Body))
			require.Equal(t, tc.kept, len(p.idle[s.address]) == 1)
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	_, err = exchange(newTestPool(t), &testTarget{address: address}, Request{})
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.ErrorIs(t, failed, syscall.ECONNREFUSED)
	require.False(t, failed.Sent)
}

func TestContextEndsAnExchange(t *testing.T) {
	s, p := startTarget(t, completeResponse), newTestPool(t)
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
	s, p := startTarget(t, completeResponse), newTestPool(t)
	release := make(chan struct{})
	done := make(chan error, 4)
	for range 4 {
		go func() {
			_, err := exchange(p, s, Request{MaxIdleConns: 2, Matches: func(http.Header) bool {
				<-release
				return true
			}})
			done <- err
		}()
	}
	for s.requests.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range 4 {
		require.NoError(t, <-done)
	}
	require.Len(t, p.idle[s.address], 2)
}

// TestPreconnectedConnectionIsUsed checks that the next request uses a connection that was opened in advance.
func TestPreconnectedConnectionIsUsed(t *testing.T) {
	s, p := startTarget(t, completeResponse), newTestPool(t)
	require.False(t, p.HasIdle(s.address))
	require.NoError(t, p.Preconnect(context.Background(), s.address))
	require.True(t, p.HasIdle(s.address))
	_, err := exchange(p, s, Request{MaxIdleConns: 1})
	require.NoError(t, err)
	require.EqualValues(t, 1, s.connections.Load())
	require.Error(t, p.Preconnect(context.Background(), netip.MustParseAddrPort("127.0.0.1:1")))
}

// TestNoLongerAllowedRequestIsNotSent guards against sending a request to a target that left while the connection was being established.
func TestNoLongerAllowedRequestIsNotSent(t *testing.T) {
	s := startTarget(t, completeResponse, completeResponse)
	p := newTestPool(t)
	var targetLeft atomic.Bool
	dial := p.dial
	p.dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		targetLeft.Store(true)
		return dial(ctx, a)
	}
	allowed := func() bool { return !targetLeft.Load() }
	_, err := exchange(p, s, Request{StillAllowed: allowed})
	require.ErrorIs(t, err, ErrNoLongerAllowed)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	require.Zero(t, s.requests.Load())
	targetLeft.Store(false)
	p.dial = dial
	_, err = exchange(p, s, Request{StillAllowed: allowed, MaxIdleConns: 1})
	require.NoError(t, err)
	targetLeft.Store(true)
	_, err = exchange(p, s, Request{StillAllowed: allowed, MaxIdleConns: 1})
	require.ErrorIs(t, err, ErrNoLongerAllowed, "over a reused connection")
	require.EqualValues(t, 1, s.requests.Load())
}

// TestBrokenOffConnectionIsTold guards against targets that end under a request being taken for targets that answer badly: only a connection that ends before any byte of the response counts as broken off.
func TestBrokenOffConnectionIsTold(t *testing.T) {
	for _, tc := range []struct {
		name      string
		responses []string
		brokenOff bool
	}{
		{name: "closed without a byte", responses: []string{""}, brokenOff: true},
		{name: "closed within the head", responses: []string{"HTTP/1.1 200"}},
		{name: "closed within the body", responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}},
		{name: "closed without a byte at the second request", responses: []string{completeResponse, ""}, brokenOff: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, p := startTarget(t, tc.responses...), newTestPool(t)
			var err error
			for range tc.responses {
				_, err = exchange(p, s, Request{})
			}
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent)
			require.Equal(t, tc.brokenOff, failure.BrokenOff)
		})
	}
}
