package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const callerHost = "barges.example"

// answer is what a caller has seen of one attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	sent   time.Time
	took   time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ask sends one attempt to a host over a new connection.
func (f *fleet) ask(h *host, method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers.String()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if len(body) == 0 {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Host = callerHost
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	f.judge.sent(a.id, method, path, h.name, a.sent)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, a.err = io.ReadAll(resp.Body)
		resp.Body.Close()
	} else {
		a.err = err
	}
	a.took = time.Since(a.sent)
	f.judge.answered(a)
	return a
}

// load sends requests of one kind at a rate over all hosts in turn until the context ends.
func (f *fleet) load(ctx context.Context, perSecond float64, send func(h *host)) {
	loadAt(ctx, f.hosts, perSecond, send)
}

// loadAt is load over some hosts.
func loadAt(ctx context.Context, hosts []*host, perSecond float64, send func(h *host)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			go send(hosts[i%len(hosts)])
		case <-ctx.Done():
			return
		}
	}
}
