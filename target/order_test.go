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

	"kingcupcross/bound"
)

// connScript is a target's behaviour on one connection after it has read the request's head. The function readBody sends "100 Continue" and reads n bytes of the body.
type connScript func(conn net.Conn, readBody func(n int))

// runWithScript runs f with a client of a target that behaves according to s. It returns the number of connections on which the target received the part of the body that the script asked for.
func runWithScript(t *testing.T, s connScript, f func(*Client)) int {
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
			go runScript(conn, s, &bodies)
		}
	}()
	c := NewClient(netip.MustParseAddrPort(l.Addr().String()), 2, bound.NewMemory(1<<20))
	defer c.Close()
	f(c)
	return int(bodies.Load())
}

// runScript reads a request's head and runs the script on the connection.
func runScript(conn net.Conn, s connScript, bodies *atomic.Int32) {
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

// writeResponse writes a response that closes the connection.
func writeResponse(conn net.Conn, status, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}

func allowSend() error { return nil }

var testOrder = Order{ID: "7", Service: "silo", Payload: []byte("one load")}

// replyJSON returns an OrderReply in JSON.
func replyJSON(id string, sum uint64) string {
	b, err := json.Marshal(OrderReply{ID: id, Payload: []byte("done"), Sum: sum})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// TestOrderReportsWhetherSent checks for each way in which an order can fail whether the error says that it may have been sent.
func TestOrderReportsWhetherSent(t *testing.T) {
	length := len(mustMarshal(testOrder))
	sum := xxhash.Sum64String("done")
	cases := []struct {
		name   string
		script connScript
		sent   bool
		bodies int
	}{
		{name: "closed after the head", script: func(net.Conn, func(int)) {}, sent: false, bodies: 0},
		{name: "closed during the body", script: func(_ net.Conn, readBody func(int)) { readBody(1) }, sent: true, bodies: 1},
		{name: "closed after the body", script: func(_ net.Conn, readBody func(int)) { readBody(length) }, sent: true, bodies: 1},
		{name: "shed before the body", script: func(c net.Conn, _ func(int)) {
			writeResponse(c, "503 Service Unavailable", `{"reason":"shed"}`)
		}, sent: false, bodies: 0},
		{name: "shed after the body", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			writeResponse(c, "503 Service Unavailable", `{"reason":"shed"}`)
		}, sent: false, bodies: 1},
		{name: "unknown reason", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			writeResponse(c, "503 Service Unavailable", `{"reason":"other"}`)
		}, sent: true, bodies: 1},
		{name: "no reason", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			writeResponse(c, "500 Internal Server Error", "")
		}, sent: true, bodies: 1},
		{name: "redirect", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			writeResponse(c, "307 Temporary Redirect\r\nLocation: /v1/order", "")
		}, sent: true, bodies: 1},
		{name: "truncated reply", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n%s", replyJSON("7", sum))
		}, sent: true, bodies: 1},
		{name: "another order's reply", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			writeResponse(c, "200 OK", replyJSON("8", sum))
		}, sent: true, bodies: 1},
		{name: "wrong checksum", script: func(c net.Conn, readBody func(int)) {
			readBody(length)
			writeResponse(c, "200 OK", replyJSON("7", sum+1))
		}, sent: true, bodies: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bodies := runWithScript(t, c.script, func(client *Client) {
				_, err := client.Order(t.Context(), t.Context(), allowSend, testOrder)
				var failed *SendError
				require.ErrorAs(t, err, &failed)
				require.Equal(t, c.sent, failed.Sent, "%v", err)
			})
			require.Equal(t, c.bodies, bodies)
		})
	}
}

func mustMarshal(o Order) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return b
}

// TestOrderRetriesOnClosedIdleConnection checks that an order is sent over a new connection if the target has closed the idle one.
func TestOrderRetriesOnClosedIdleConnection(t *testing.T) {
	var first atomic.Bool
	first.Store(true)
	bodies := runWithScript(t, func(c net.Conn, readBody func(int)) {
		if first.CompareAndSwap(true, false) {
			// The response allows the client to reuse the connection, which is closed right after it.
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return
		}
		readBody(len(mustMarshal(testOrder)))
		writeResponse(c, "200 OK", replyJSON("7", xxhash.Sum64String("done")))
	}, func(client *Client) {
		_, err := client.State(t.Context())
		require.NoError(t, err)
		r, err := client.Order(t.Context(), t.Context(), allowSend, testOrder)
		require.NoError(t, err)
		require.Equal(t, "done", string(r.Payload))
	})
	require.Equal(t, 1, bodies)
}

// TestOrderIsCheckedBeforeSending checks that an error of checkSend keeps the order from being sent, even after the target has asked for the body.
func TestOrderIsCheckedBeforeSending(t *testing.T) {
	paused := errors.New("paused")
	bodies := runWithScript(t, func(_ net.Conn, readBody func(int)) { readBody(1) }, func(client *Client) {
		_, err := client.Order(t.Context(), t.Context(), func() error { return paused }, testOrder)
		var failed *SendError
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
		require.ErrorIs(t, err, paused)
	})
	require.Zero(t, bodies)
}

// TestOrderIsNotSentAfterStartDeadline checks that an order isn't sent if its start context ends while the client waits for "100 Continue".
func TestOrderIsNotSentAfterStartDeadline(t *testing.T) {
	start, cancel := context.WithCancel(t.Context())
	bodies := runWithScript(t, func(conn net.Conn, _ func(int)) {
		cancel()
		conn.Read(make([]byte, 1))
	}, func(client *Client) {
		_, err := client.Order(t.Context(), start, allowSend, testOrder)
		require.ErrorIs(t, err, ErrStartDeadlinePassed)
	})
	require.Zero(t, bodies)
}

// TestBodyWithGetBodyIsSentTwice shows the failure that orderBody prevents: net/http sends a body with GetBody again after a redirect.
func TestBodyWithGetBodyIsSentTwice(t *testing.T) {
	length := len(mustMarshal(testOrder))
	var calls atomic.Int32
	script := func(c net.Conn, readBody func(int)) {
		readBody(length)
		if calls.Add(1) == 1 {
			writeResponse(c, "307 Temporary Redirect\r\nLocation: /v1/order", "")
			return
		}
		writeResponse(c, "200 OK", replyJSON("7", xxhash.Sum64String("done")))
	}
	bodies := runWithScript(t, script, func(client *Client) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, client.baseURL+PathOrder, http.NoBody)
		require.NoError(t, err)
		req.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(bytes.NewReader(mustMarshal(testOrder))), nil
		}
		req.Body, _ = req.GetBody()
		req.ContentLength = int64(length)
		require.NoError(t, client.doRequest(&http.Client{Transport: client.transport}, req, nil))
	})
	require.Equal(t, 2, bodies, "a body that can be read again is sent twice")
}
