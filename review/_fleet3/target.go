package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	beat = 1200 * time.Millisecond
	// downTime is how long a target that a request has ended is down.
	downTime = 3 * time.Second
	// deadlyMark is the part of a path by which a request ends each target that runs it.
	deadlyMark = "/deadly"
	slots      = 4
	queue      = 24
)

// target is a stand-in of one backend. It runs until the fleet ends, with an incarnation and an id for each start.
type target struct {
	fleet   *fleet
	service string
	zone    string
	address netip.AddrPort
	work    time.Duration
	// limit is the number of requests a second that the target states in its answers; zero means none.
	limit float64

	mu     sync.Mutex
	id     string
	born   int64
	seq    int
	server *http.Server
	conns  map[net.Conn]bool
	slots  chan struct{}
	queued int
	down   bool
	// listener is the incarnation's; dark is closed when it falls silent.
	listener *silentListener
	dark     chan struct{}
}

// silentConn is a connection of a target whose machine may lose power: from then on nothing is read or written until the connection is closed.
type silentConn struct {
	net.Conn
	dark   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.wait(err)
}

func (c *silentConn) Write(b []byte) (int, error) {
	if err := c.wait(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// wait blocks a call while the machine is dark.
func (c *silentConn) wait(err error) error {
	select {
	case <-c.dark:
		<-c.closed
		return net.ErrClosed
	default:
		return err
	}
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	select {
	case <-c.dark:
		// The machine is back and knows nothing of the connection.
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	default:
	}
	return c.Conn.Close()
}

// silentListener accepts silentConns, none while the machine is dark.
type silentListener struct {
	net.Listener
	dark   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.dark:
		<-l.closed
		c.Close()
		return nil, net.ErrClosed
	default:
		return &silentConn{Conn: c, dark: l.dark, closed: make(chan struct{})}, nil
	}
}

func (l *silentListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// fill makes new connections hang: with the shortest queue of connections full, the system drops the packets that open further ones.
func (l *silentListener) fill() error {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return errors.Join(err, listenErr)
	}
	for range 8 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return nil
		}
		time.AfterFunc(downTime, func() { c.Close() })
	}
	return errors.New("connections to a dark machine don't hang")
}

// start begins an incarnation at the target's address.
func (t *target) start() error {
	l, err := listenAt(t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.address = netip.MustParseAddrPort(l.Addr().String())
	t.id = fmt.Sprintf("i-%08x", rand.Uint32())
	t.born, t.seq, t.down, t.queued = time.Now().UnixMilli(), 0, false, 0
	t.conns, t.slots, t.dark = map[net.Conn]bool{}, make(chan struct{}, slots), make(chan struct{})
	t.server = &http.Server{
		Handler: http.HandlerFunc(t.serve),
		ConnState: func(c net.Conn, s http.ConnState) {
			t.mu.Lock()
			defer t.mu.Unlock()
			switch s {
			case http.StateNew:
				t.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(t.conns, c)
			}
		},
	}
	server := t.server
	t.listener = &silentListener{Listener: l, dark: t.dark, closed: make(chan struct{})}
	listener := t.listener
	t.mu.Unlock()
	go server.Serve(listener)
	t.beat()
	return nil
}

// beat writes the target's entry.
func (t *target) beat() {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return
	}
	t.seq++
	id := t.id
	value := map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1",
		"slots": slots, "state": "ready", "coldRemainingMs": 0, "seq": t.seq, "born": t.born,
	}
	t.mu.Unlock()
	t.fleet.store.put("servers/"+id, value)
}

// crash ends the incarnation: connections are reset and new ones refused. The entry expires after three beats, and the next incarnation starts after downTime.
func (t *target) crash(cause string) {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return
	}
	t.down = true
	id, server := t.id, t.server
	var open []net.Conn
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	t.fleet.note("target %s of %s ends: %s", id, t.service, cause)
	for _, c := range open {
		_ = c.(*silentConn).Conn.(*net.TCPConn).SetLinger(0)
	}
	server.Close()
	t.comeBack(id)
}

// comeBack removes the entry of an incarnation that has ended after three beats and starts the next one after downTime.
func (t *target) comeBack(id string) {
	time.AfterFunc(3*beat, func() { t.fleet.store.remove("servers/" + id) })
	time.AfterFunc(downTime, func() {
		for t.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		t.fleet.note("a target of %s is back as %s", t.service, t.id)
	})
}

// goDark ends the incarnation as a loss of power does: open connections fall silent, and new ones hang. After downTime the machine is back, knows nothing of them, and the next incarnation starts.
func (t *target) goDark(cause string) {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return
	}
	t.down = true
	id, server, listener := t.id, t.server, t.listener
	close(t.dark)
	t.mu.Unlock()
	t.fleet.note("target %s of %s goes dark: %s", id, t.service, cause)
	if err := listener.fill(); err != nil {
		t.fleet.note("target %s: %v", id, err)
	}
	time.AfterFunc(downTime-50*time.Millisecond, func() { server.Close() })
	t.comeBack(id)
}

// serve answers a request as PROTOCOL.md says.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	requestID := r.Header.Get("X-Request-Id")
	t.mu.Lock()
	id, places, limit := t.id, t.slots, t.limit
	t.mu.Unlock()
	h := w.Header()
	if requestID != "" {
		h.Set("X-Request-Id", requestID)
	}
	h.Set("Keep-Alive", "timeout=15")
	if limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", id)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		h.Set("X-Instance-Id", id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.fleet.judge.arrival(requestID, t.service, id, arrived)
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 5000
	}
	over := time.After(time.Duration(deadline) * time.Millisecond)
	refuse := func(status int) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	t.mu.Lock()
	full := t.queued >= queue
	if !full {
		t.queued++
	}
	t.mu.Unlock()
	if requestID == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if full {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		t.mu.Lock()
		t.queued--
		t.mu.Unlock()
	}()
	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	case <-over:
		refuse(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t.fleet.judge.run(requestID, t.service, id, time.Now())
	if strings.Contains(r.URL.Path, deadlyMark) {
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
		t.fleet.judge.ended(requestID, r.URL.RequestURI(), id, time.Now())
		end := t.crash
		if t.fleet.silentEnds {
			end = t.goDark
		}
		go end("request " + requestID + " (" + r.URL.Path + ") has crashed it")
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(t.work))):
	case <-over:
		h.Set("X-Server-Stamp", stamp(t.service, id, requestID))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", stamp(t.service, id, requestID))
	body := records(t.service, requestID)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// stamp is the signature of a target's answer to a request.
func stamp(service, id, requestID string) string {
	h := fnv.New64a()
	fmt.Fprint(h, service, "/", id, "/", requestID)
	return fmt.Sprintf("%s.%s.%016x", service, id, h.Sum64())
}

// records is the body with which every target of a service answers a request.
func records(service, requestID string) []byte {
	h := fnv.New64a()
	fmt.Fprint(h, service, "/", requestID)
	r := rand.New(rand.NewPCG(h.Sum64(), 1))
	var b []byte
	for range 12 {
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b
}
