package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is one target. Each start is a new process with an id of its own.
type target struct {
	fleet            *fleet
	service          string
	datacentre, name string
	address          string
	slots            int
	work             time.Duration
	// answer replaces the usual answer to a request that has run; it reports false to answer as usual.
	answer func(t *target, w http.ResponseWriter, r *http.Request) bool
	// refuse turns a request away before it has run; it reports false to go on.
	refuse func(t *target, w http.ResponseWriter, r *http.Request) bool
	log    *runLog

	mu        sync.Mutex
	id        string
	starts    int
	sequence  int
	born      int64
	state     string
	coldUntil time.Time
	listener  net.Listener
	server    *http.Server
	conns     map[net.Conn]bool
	busy      chan struct{}
	ended     chan struct{}
}

// runLog records the runs and arrivals of all targets.
type runLog struct {
	mu       sync.Mutex
	runs     map[string][]string
	arrivals map[string][]arrival
	copies   map[string][]run
}

// run is one execution of a request.
type run struct {
	id     string
	target string
	at     time.Time
}

// arrival is one request that reached a target.
type arrival struct {
	id   string
	path string
	at   time.Time
}

func newRunLog() *runLog {
	return &runLog{
		runs:     map[string][]string{},
		arrivals: map[string][]arrival{},
		copies:   map[string][]run{},
	}
}

func (l *runLog) addRun(id, target, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], target)
	l.copies[path] = append(l.copies[path], run{id: id, target: target, at: time.Now()})
}

func (l *runLog) runsOf(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

func (l *runLog) copiesOf(path string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.copies[path]...)
}

func (l *runLog) addArrival(target string, a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[target] = append(l.arrivals[target], a)
}

func (l *runLog) arrivalsAt(target string) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals[target]...)
}

// start starts the target's process under a new id, or under the one that it had if sameID is set, and registers it.
func (t *target) start(sameID bool) error {
	at := t.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = l.Addr().String()
	if !sameID || t.id == "" {
		t.starts++
		t.id = fmt.Sprintf("i-%s-%d", t.name, t.starts)
	}
	t.born, t.sequence, t.state = time.Now().UnixMilli(), 0, "ready"
	t.listener, t.conns = l, map[net.Conn]bool{}
	t.busy, t.ended = make(chan struct{}, t.slots), make(chan struct{})
	t.server = &http.Server{
		Handler: t,
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
	go t.server.Serve(l)
	t.register()
	go t.beat(t.ended)
	t.fleet.printf("target %s started at %s as %s", t.name, t.address, t.id)
	return nil
}

// register writes the target's entry. The caller must hold t.mu.
func (t *target) register() {
	t.sequence++
	t.fleet.store.Put("servers/"+t.id, map[string]any{
		"service": t.service, "address": t.address, "zone": t.datacentre, "version": "v1", "slots": t.slots, "state": t.state,
		"coldRemainingMs": max(time.Until(t.coldUntil).Milliseconds(), 0), "seq": t.sequence, "born": t.born,
	})
}

// beat writes the entry at the heartbeat while the target is cold; otherwise only its sequence would change.
func (t *target) beat(ended chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	cold := false
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			t.mu.Lock()
			if now := time.Now().Before(t.coldUntil); now || cold {
				t.register()
				cold = now
			}
			t.mu.Unlock()
		}
	}
}

// becomeCold makes the target cold for a time and writes its entry.
func (t *target) becomeCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
	t.register()
}

// crash ends the target's process: its connections are reset and new ones refused. The entry expires after three heartbeats.
func (t *target) crash() {
	t.mu.Lock()
	select {
	case <-t.ended:
		t.mu.Unlock()
		return
	default:
	}
	close(t.ended)
	t.listener.Close()
	conns, id := t.conns, t.id
	t.conns = map[net.Conn]bool{}
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	t.mu.Unlock()
	t.fleet.printf("target %s crashed (%s)", t.name, id)
	time.AfterFunc(3*heartbeat, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.id != id || t.isDown() {
			t.fleet.store.Delete("servers/" + id)
		}
	})
}

// isDown reports whether the process has ended. The caller must hold t.mu.
func (t *target) isDown() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// stamp is the signature of an answer.
func stamp(target, id string) string {
	sum := sha256.Sum256([]byte(target + "/" + id))
	return target + "." + hex.EncodeToString(sum[:6])
}

// ServeHTTP runs and answers a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	id, busy, ended := t.id, t.busy, t.ended
	t.mu.Unlock()
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.log.addArrival(id, arrival{id: request, path: r.URL.Path, at: time.Now()})
	if t.refuse != nil && t.refuse(t, w, r) {
		return
	}
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if request == "" || err != nil {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case busy <- struct{}{}:
		defer func() { <-busy }()
	case <-deadline:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t.log.addRun(request, id, r.URL.Path)
	t.fleet.printf("run %s %s %s at %s", request, r.Method, r.URL.Path, id)
	select {
	case <-time.After(t.work):
	case <-deadline:
		w.Header().Set("X-Server-Stamp", stamp(id, request))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	case <-ended:
		panic(http.ErrAbortHandler)
	}
	if t.answer != nil && t.answer(t, w, r) {
		return
	}
	w.Header().Set("X-Server-Stamp", stamp(id, request))
	fmt.Fprintf(w, "answer to %s\n", request)
}

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter, bool) {
	c, b, err := http.NewResponseController(w).Hijack()
	return c, b, err == nil
}
