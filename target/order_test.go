package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// script plays a target on one connection after the request's head came; body asks for the body and reads n bytes of it.
type script func(conn net.Conn, body func(n int))

// withScript runs f with a client of a scripted target and returns how many bodies it began to get.
func withScript(t *testing.T, s script, f func(*Client)) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var bodies atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go play(conn, s, &bodies)
		}
	}()
	c := NewClient(netip.MustParseAddrPort(l.Addr().String()), 2)
	defer c.Close()
	f(c)
	return int(bodies.Load())
}

func play(conn net.Conn, s script, bodies *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	s(conn, func(n int) {
		fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		if _, err := io.CopyN(io.Discard, r, int64(n)); err == nil {
			bodies.Add(1)
		}
	})
}

func answer(conn net.Conn, status, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}

func mayLeave() error { return nil }

var someOrder = Order{ID: "7", Service: "silo", Payload: []byte("one load")}

func replyOf(id string, sum uint64) string {
	b, err := json.Marshal(OrderReply{ID: id, Payload: []byte("done"), Sum: sum})
	if err != nil {
		panic(err)
	}
	return string(b)
}

func TestOrderSaysWhetherItMayHaveLeft(t *testing.T) {
	whole := len(mustEncode(someOrder))
	right := xxhash.Sum64String("done")
	cases := []struct {
		name   string
		script script
		sent   bool
		bodies int
	}{
		{name: "closed after the head", script: func(net.Conn, func(int)) {}, sent: false, bodies: 0},
		{name: "closed within the body", script: func(_ net.Conn, body func(int)) { body(1) }, sent: true, bodies: 1},
		{name: "closed after the body", script: func(_ net.Conn, body func(int)) { body(whole) }, sent: true, bodies: 1},
		{name: "shed before the body", script: func(c net.Conn, _ func(int)) {
			answer(c, "503 Service Unavailable", `{"reason":"shed"}`)
		}, sent: false, bodies: 0},
		{name: "shed after the body", script: func(c net.Conn, body func(int)) {
			body(whole)
			answer(c, "503 Service Unavailable", `{"reason":"shed"}`)
		}, sent: false, bodies: 1},
		{name: "unknown reason", script: func(c net.Conn, body func(int)) {
			body(whole)
			answer(c, "503 Service Unavailable", `{"reason":"other"}`)
		}, sent: true, bodies: 1},
		{name: "no reason", script: func(c net.Conn, body func(int)) {
			body(whole)
			answer(c, "500 Internal Server Error", "")
		}, sent: true, bodies: 1},
		{name: "redirect", script: func(c net.Conn, body func(int)) {
			body(whole)
			answer(c, "307 Temporary Redirect\r\nLocation: /v1/order", "")
		}, sent: true, bodies: 1},
		{name: "cut reply", script: func(c net.Conn, body func(int)) {
			body(whole)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n%s", replyOf("7", right))
		}, sent: true, bodies: 1},
		{name: "another order's reply", script: func(c net.Conn, body func(int)) {
			body(whole)
			answer(c, "200 OK", replyOf("8", right))
		}, sent: true, bodies: 1},
		{name: "wrong checksum", script: func(c net.Conn, body func(int)) {
			body(whole)
			answer(c, "200 OK", replyOf("7", right+1))
		}, sent: true, bodies: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bodies := withScript(t, c.script, func(client *Client) {
				_, err := client.Order(t.Context(), t.Context(), mayLeave, someOrder)
				var failed *SendError
				require.ErrorAs(t, err, &failed)
				require.Equal(t, c.sent, failed.Sent, "%v", err)
			})
			require.Equal(t, c.bodies, bodies)
		})
	}
}

func mustEncode(o Order) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return b
}

func TestOrderOutlivesAnIdleConnectionThatTheTargetCloses(t *testing.T) {
	var first atomic.Bool
	first.Store(true)
	bodies := withScript(t, func(c net.Conn, body func(int)) {
		if first.CompareAndSwap(true, false) {
			// The connection stays open for the client, which finds it closed at its next use.
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		body(len(mustEncode(someOrder)))
		answer(c, "200 OK", replyOf("7", xxhash.Sum64String("done")))
	}, func(client *Client) {
		_, err := client.State(t.Context())
		require.NoError(t, err)
		r, err := client.Order(t.Context(), t.Context(), mayLeave, someOrder)
		require.NoError(t, err)
		require.Equal(t, "done", string(r.Payload))
	})
	require.Equal(t, 1, bodies)
}

func TestOrderIsAskedRightBeforeItLeaves(t *testing.T) {
	paused := errors.New("paused")
	bodies := withScript(t, func(_ net.Conn, body func(int)) { body(1) }, func(client *Client) {
		_, err := client.Order(t.Context(), t.Context(), func() error { return paused }, someOrder)
		var failed *SendError
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
		require.ErrorIs(t, err, paused)
	})
	require.Zero(t, bodies)
}

func TestOrderBeginsInTimeOrNotAtAll(t *testing.T) {
	begin, end := context.WithCancel(t.Context())
	bodies := withScript(t, func(conn net.Conn, _ func(int)) {
		end()
		conn.Read(make([]byte, 1))
	}, func(client *Client) {
		_, err := client.Order(t.Context(), begin, mayLeave, someOrder)
		require.ErrorIs(t, err, ErrNotBegun)
	})
	require.Zero(t, bodies)
}

// TestBodyWithoutItsGuardLeavesTwice shows what the one-time body keeps net/http from doing.
func TestBodyWithoutItsGuardLeavesTwice(t *testing.T) {
	whole := len(mustEncode(someOrder))
	var calls atomic.Int32
	twice := func(c net.Conn, body func(int)) {
		body(whole)
		if calls.Add(1) == 1 {
			answer(c, "307 Temporary Redirect\r\nLocation: /v1/order", "")
			return
		}
		answer(c, "200 OK", replyOf("7", xxhash.Sum64String("done")))
	}
	bodies := withScript(t, twice, func(client *Client) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, client.base+PathOrder, http.NoBody)
		require.NoError(t, err)
		req.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(bytes.NewReader(mustEncode(someOrder))), nil
		}
		req.Body, _ = req.GetBody()
		req.ContentLength = int64(whole)
		require.NoError(t, exchange(&http.Client{Transport: client.transport}, req, nil))
	})
	require.Equal(t, 2, bodies, "a body that can be read again leaves twice")
}
