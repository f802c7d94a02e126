package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/mock"
)

// greyFailures is the share of its requests that the failing target fails, as the site file names it for this deployment. One target of seven fails, a share of 0.14.
const greyFailures = 0.45

// greyTime is how long it fails them, as the site file names it.
const greyTime = 6500 * time.Millisecond

// ledger records the runs of requests and the orders that were applied.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// orders counts how often each order, named by the request's body, was applied.
	orders map[string]int
}

// greyTarget applies orders. While grey, it fails a share of the requests with 503 after it has applied the order; its health check stays good.
type greyTarget struct {
	id     string
	ledger *ledger
	record *record
	// grey is set while the target fails a share of the requests.
	grey atomic.Bool
}

func (t *greyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", t.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.ledger.mu.Lock()
	t.ledger.runs[id]++
	t.ledger.orders[string(body)]++
	t.ledger.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("X-Server-Stamp", mock.Signature(t.id, "ledger", id))
	status := http.StatusOK
	if t.grey.Load() && rand.Float64() < greyFailures {
		// Without X-Not-Executed: the request has run.
		status = http.StatusServiceUnavailable
	}
	t.record.add("%s runs request %s (%s) and answers %d", t.id, id, body, status)
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s done by %s", body, t.id)
}

// playFailedOrders sends requests that may run once at most while one backend of seven fails a part of its requests after it has run them.
func playFailedOrders(f *fleet) ([]string, error) {
	l := &ledger{runs: map[string]int{}, orders: map[string]int{}}
	const count = 7
	var failing *greyTarget
	datacentres := []string{"caspian-aktau", "aral-aralsk", "ili-bakanas"}
	for i := range count {
		t := &greyTarget{id: fmt.Sprintf("i-ledger-%d", i), ledger: l, record: f.record}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: t}
		go s.Serve(listener)
		defer s.Close()
		f.register(t.id, "ledger", listener.Addr().String(), datacentres[i%len(datacentres)], "ready", 1, time.Now().Add(-time.Hour))
		if i == 0 {
			failing = t
		}
	}
	f.configure(3, []string{"ledger"}, route("order", "non_idempotent", "ledger"))
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if trouble() {
		time.AfterFunc(5*time.Second, func() {
			failing.grey.Store(true)
			f.record.add("%s begins to fail %.2f of its requests", failing.id, greyFailures)
		})
		time.AfterFunc(5*time.Second+greyTime, func() {
			failing.grey.Store(false)
			f.record.add("%s fails no more", failing.id)
		})
	}
	type attempt struct {
		id     string
		status int
	}
	var mu sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for c := range 10 {
		clients.Go(func() {
			http := newClient(false)
			for n := 0; time.Now().Before(end); n++ {
				order := fmt.Sprintf("order-%d-%d", c, n)
				// The client repeats an order once, and only after a status that promises that it has not run.
				for try := range 2 {
					id := fmt.Sprintf("%s-%d", order, try)
					a, err := http.send(f.hosts[rand.IntN(len(f.hosts))].callers, "POST", "/order/2f", id, []byte(order), 3*time.Second)
					if err != nil {
						f.record.add("client: %s: %v", id, err)
						break
					}
					f.record.add("client: %s gets %d, stamp %q, %q", id, a.status, a.header.Get("X-Server-Stamp"), strings.TrimSpace(string(a.body)))
					mu.Lock()
					attempts = append(attempts, attempt{id: id, status: a.status})
					mu.Unlock()
					if a.status != 429 && a.status != 503 {
						break
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaks []string
	for _, a := range attempts {
		if (a.status == 429 || a.status == 503) && l.runs[a.id] > 0 {
			breaks = append(breaks, fmt.Sprintf("REFUSED: request %s was answered %d and has run", a.id, a.status))
		}
		if l.runs[a.id] > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s ran %d times", a.id, l.runs[a.id]))
		}
	}
	twice := 0
	for _, n := range l.orders {
		if n > 1 {
			twice++
		}
	}
	f.record.add("%d attempts; %d of %d orders were applied twice, since their clients were told that they had not run", len(attempts), twice, len(l.orders))
	return breaks, nil
}
