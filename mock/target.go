package mock

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a target began to work on.
type Run struct {
	Target string
	At     time.Time
}

// Ledger notes what all targets ran and what arrived at them.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string][]Run
	arrivals map[string][]time.Time
	first    map[string]map[string]bool
	extra    map[string][]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs:     map[string][]Run{},
		arrivals: map[string][]time.Time{},
		first:    map[string]map[string]bool{},
		extra:    map[string][]time.Time{},
	}
}

func (l *Ledger) arrive(id, target, service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[target] = append(l.arrivals[target], now)
	if l.first[service] == nil {
		l.first[service] = map[string]bool{}
	}
	if l.first[service][id] {
		l.extra[service] = append(l.extra[service], now)
	}
	l.first[service][id] = true
}

func (l *Ledger) run(id, target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], Run{Target: target, At: now})
}

// Runs returns who ran a request.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// Last returns the time of the last arrival at a target, zero before the first.
func (l *Ledger) Last(target string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.arrivals[target]; len(all) > 0 {
		return all[len(all)-1]
	}
	return time.Time{}
}

// Between returns the number of arrivals at a target in a span of time.
func (l *Ledger) Between(target string, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals[target] {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Extra returns for each service the number of requests and the times of the arrivals beyond the first of each.
func (l *Ledger) Extra() (requests map[string]int, extra map[string][]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests, extra = map[string]int{}, map[string][]time.Time{}
	for s, ids := range l.first {
		requests[s] = len(ids)
		extra[s] = append([]time.Time(nil), l.extra[s]...)
	}
	return requests, extra
}

// Target is a stand-in of one target.
type Target struct {
	ID      string
	Service string
	// Proxy is what callers reach the target through.
	Proxy *Proxy

	ledger *Ledger
	server *httptest.Server
	slots  chan struct{}
	work   time.Duration

	// Paused holds all work back, Sheds refuses it, Breaks ends connections after the work, Spoils cuts answers short.
	Paused, Sheds, Breaks, Spoils atomic.Bool
	// Says are headers that all answers bear.
	Says atomic.Pointer[http.Header]
	// Pours is the answer without end that requests get, nil for none.
	Pours atomic.Pointer[Pour]
}

// slots is the number of requests that a target works on at once.
const slots = 4

// NewTarget starts a target that works for a time on each request.
func NewTarget(id, service string, ledger *Ledger, work time.Duration) (*Target, error) {
	t := &Target{
		ID:      id,
		Service: service,
		ledger:  ledger,
		slots:   make(chan struct{}, slots),
		work:    work,
	}
	t.server = httptest.NewServer(t)
	p, err := NewProxy(netip.MustParseAddrPort(t.server.Listener.Addr().(*net.TCPAddr).String()))
	t.Proxy = p
	return t, err
}

// Entry is what the target writes into the store.
func (t *Target) Entry(datacentre, state string, sequence int) map[string]any {
	return map[string]any{
		"service": t.Service, "address": t.Proxy.Address.String(), "zone": datacentre, "version": "v1",
		"slots": slots, "state": state, "coldRemainingMs": 0, "seq": sequence,
	}
}

// Close ends the target and its connections.
func (t *Target) Close() {
	t.Proxy.Close()
	t.server.CloseClientConnections()
	t.server.Close()
}

// Signature returns the proof that a target answered a request.
func Signature(target, service, id string) string {
	h := fnv.New64a()
	// Writing to a hash can't fail.
	_, _ = fmt.Fprint(h, target, "/", id)
	return service + "." + target + "." + strconv.FormatUint(h.Sum64(), 16)
}

// recordSize is the size of a record in bytes.
const recordSize = 16

// recordsEach is the number of records of a part.
const recordsEach = 6

// Records returns the records of a service for a request.
func Records(service, id string) []byte {
	h := fnv.New64a()
	// Writing to a hash can't fail.
	_, _ = fmt.Fprint(h, service, "/", id)
	r := rand.New(rand.NewPCG(h.Sum64(), 1))
	b := make([]byte, 0, recordsEach*recordSize)
	for range 2 * recordsEach {
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// ServeHTTP answers one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if says := t.Says.Load(); says != nil {
		for name, values := range *says {
			w.Header()[name] = values
		}
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != t.ID {
		w.Header().Set("X-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.ledger.arrive(id, t.ID, t.Service, time.Now())
	if t.Sheds.Load() || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-deadline:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t.ledger.run(id, t.ID, time.Now())
	if p := t.Pours.Load(); p != nil {
		if err := p.to(w, id, Signature(t.ID, t.Service, id), Records(t.Service, id)); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		return
	}
	for wait := t.work; wait > 0 || t.Paused.Load(); wait = 0 {
		select {
		case <-time.After(max(wait, silencePoll)):
		case <-deadline:
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		case <-r.Context().Done():
			return
		}
	}
	t.answer(w, id)
}

func (t *Target) answer(w http.ResponseWriter, id string) {
	if t.Breaks.Load() {
		panic(http.ErrAbortHandler)
	}
	body := Records(t.Service, id)
	w.Header().Set("X-Server-Stamp", Signature(t.ID, t.Service, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if t.Spoils.Load() {
		body = body[:len(body)/2]
	}
	// A caller that has left reads nothing.
	_, _ = w.Write(body)
	if t.Spoils.Load() {
		// The head and half of the body are to be on their way; where they can't be sent, the answer breaks off sooner.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Signed splits a signature into service and target, and reports whether it proves an answer to the request.
func Signed(signature, id string) (service, target string, ok bool) {
	parts := strings.Split(signature, ".")
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], Signature(parts[1], parts[0], id) == signature
}

// Arrivals returns the number of requests that came to a target.
func (l *Ledger) Arrivals(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals[target])
}
