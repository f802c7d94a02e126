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

// Run is one execution of a request, recorded when a target begins to work on it.
type Run struct {
	Target string
	At     time.Time
}

// RequestLog records the requests that arrived at all targets and those that were executed.
type RequestLog struct {
	mu sync.Mutex
	// runs holds the executions of each request by its id.
	runs map[string][]Run
	// arrivals holds the times of arrival at each target by its id.
	arrivals map[string][]time.Time
	// requestIDs holds the ids of the requests that arrived at targets of each service.
	requestIDs map[string]map[string]bool
	// repeatedArrivals holds, for each service, the times of arrivals of requests that had already arrived at one of its targets.
	repeatedArrivals map[string][]time.Time
	// ends holds the targets that ended while they ran a request, by the request's id.
	ends map[string][]Run
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog {
	return &RequestLog{
		runs:             map[string][]Run{},
		arrivals:         map[string][]time.Time{},
		requestIDs:       map[string]map[string]bool{},
		repeatedArrivals: map[string][]time.Time{},
		ends:             map[string][]Run{},
	}
}

// recordArrival records that a request arrived at a target of a service.
func (l *RequestLog) recordArrival(id, target, service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[target] = append(l.arrivals[target], now)
	if l.requestIDs[service] == nil {
		l.requestIDs[service] = map[string]bool{}
	}
	if l.requestIDs[service][id] {
		l.repeatedArrivals[service] = append(l.repeatedArrivals[service], now)
	}
	l.requestIDs[service][id] = true
}

// recordRun records that a target began to work on a request.
func (l *RequestLog) recordRun(id, target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], Run{Target: target, At: now})
}

// recordEnd records that a target ended under a request.
func (l *RequestLog) recordEnd(id, target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[id] = append(l.ends[id], Run{Target: target, At: now})
}

// Ends returns the targets that ended under a request, in order.
func (l *RequestLog) Ends(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.ends[id]...)
}

// Runs returns the executions of a request.
func (l *RequestLog) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// Arrived reports whether a request arrived at any target of a service.
func (l *RequestLog) Arrived(id, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestIDs[service][id]
}

// LastArrival returns the time of the latest arrival at a target, the zero time if there was none.
func (l *RequestLog) LastArrival(target string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.arrivals[target]; len(all) > 0 {
		return all[len(all)-1]
	}
	return time.Time{}
}

// ArrivalsBetween returns the number of arrivals at a target after from and before to.
func (l *RequestLog) ArrivalsBetween(target string, from, to time.Time) int {
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

// RepeatedArrivals returns for each service the number of distinct requests, and the times of the arrivals that repeated one of them.
func (l *RequestLog) RepeatedArrivals() (requests map[string]int, extra map[string][]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests, extra = map[string]int{}, map[string][]time.Time{}
	for s, ids := range l.requestIDs {
		requests[s] = len(ids)
		extra[s] = append([]time.Time(nil), l.repeatedArrivals[s]...)
	}
	return requests, extra
}

// Target is a test double of one target.
type Target struct {
	ID      string
	Service string
	// Proxy is the fault-injecting proxy through which callers reach the target.
	Proxy *Proxy

	requestLog *RequestLog
	server     *httptest.Server
	slots      chan struct{}
	endOnce    sync.Once
	workTime   time.Duration

	// OnEnd is called when a request whose path contains DeadlyMark ends the target, before its connections are reset. Without it such requests are answered like others. It must be set before the first request.
	OnEnd func()

	// Injected faults. Paused holds the work on each request until it is cleared or the request's deadline passes. RefusesRequests refuses
	// requests without executing them. AbortsConnections aborts connections instead of answering, after the work.
	// TruncatesAnswers sends only the first half of each body and then aborts the connection.
	Paused, RefusesRequests, AbortsConnections, TruncatesAnswers atomic.Bool
	// Backoffs is the number of reasons for which the target refuses requests and asks with Retry-After for none; zero means that it doesn't.
	Backoffs atomic.Int64
	// ExtraWork is added to the time of work on each request, in nanoseconds.
	ExtraWork atomic.Int64
	// AnswerHeader holds header fields that are added to all answers except endless ones; nil means none.
	AnswerHeader atomic.Pointer[http.Header]
	// Endless is a response without end that replaces the answer to every request that gets a slot; nil means none.
	Endless atomic.Pointer[EndlessResponse]
}

// DeadlyMark is the part of a path by which a request ends each target that runs it.
const DeadlyMark = "deadly"

// retryAfter is the time in seconds for which a target with Backoffs wants no requests.
const retryAfter = "3.5"

// slotCount is the number of requests that a target can work on at the same time.
const slotCount = 4

// NewTarget starts a target, and a proxy in front of it, that works on each request for workTime.
func NewTarget(id, service string, requestLog *RequestLog, workTime time.Duration) (*Target, error) {
	t := &Target{
		ID:         id,
		Service:    service,
		requestLog: requestLog,
		slots:      make(chan struct{}, slotCount),
		workTime:   workTime,
	}
	t.server = httptest.NewServer(t)
	p, err := NewProxy(netip.MustParseAddrPort(t.server.Listener.Addr().(*net.TCPAddr).String()))
	t.Proxy = p
	return t, err
}

// Entry returns the value of the target's entry in the store.
func (t *Target) Entry(datacentre, state string, sequence int) map[string]any {
	return map[string]any{
		"service": t.Service, "address": t.Proxy.Address.String(), "zone": datacentre, "version": "v1",
		"slots": slotCount, "state": state, "coldRemainingMs": 0, "seq": sequence,
	}
}

// SetAnswerHeader adds a header field to all later answers, or replaces its value.
func (t *Target) SetAnswerHeader(name, value string) {
	t.changeAnswerHeader(func(h http.Header) { h.Set(name, value) })
}

// RemoveAnswerHeader removes a header field that SetAnswerHeader has added.
func (t *Target) RemoveAnswerHeader(name string) {
	t.changeAnswerHeader(func(h http.Header) { h.Del(name) })
}

// changeAnswerHeader replaces the added header fields by a changed copy.
func (t *Target) changeAnswerHeader(change func(http.Header)) {
	for {
		old := t.AnswerHeader.Load()
		next := http.Header{}
		if old != nil {
			next = old.Clone()
		}
		change(next)
		if t.AnswerHeader.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Close stops the target and its proxy and closes their connections.
func (t *Target) Close() {
	t.Proxy.Close()
	t.server.CloseClientConnections()
	t.server.Close()
}

// Signature returns the text by which an answer identifies the target that gave it and the request that it belongs to.
func Signature(target, service, id string) string {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprint(h, target, "/", id)
	return service + "." + target + "." + strconv.FormatUint(h.Sum64(), 16)
}

// recordSize is the size of a record in bytes.
const recordSize = 16

// recordsPerPart is the number of records in the answer of one target.
const recordsPerPart = 6

// Records returns the records with which every target of a service answers a request. They are determined by the service and the request's id.
func Records(service, id string) []byte {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprint(h, service, "/", id)
	r := rand.New(rand.NewPCG(h.Sum64(), 1))
	b := make([]byte, 0, recordsPerPart*recordSize)
	for range 2 * recordsPerPart {
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// ServeHTTP executes and answers a request, with the injected faults applied.
// A request that is refused or gets no slot before its deadline is marked as not executed.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if header := t.AnswerHeader.Load(); header != nil {
		for name, values := range *header {
			w.Header()[name] = values
		}
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.ID {
		w.Header().Set("X-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.requestLog.recordArrival(id, t.ID, t.Service, time.Now())
	backsOff := t.Backoffs.Load() > 0
	if backsOff {
		w.Header().Set("Retry-After", retryAfter)
	}
	if backsOff || t.RefusesRequests.Load() || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	remainingMs, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(remainingMs) * time.Millisecond)
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
	t.requestLog.recordRun(id, t.ID, time.Now())
	if p := t.Endless.Load(); p != nil {
		if err := p.writeTo(w, id, Signature(t.ID, t.Service, id), Records(t.Service, id)); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		return
	}
	for wait := t.workTime + time.Duration(t.ExtraWork.Load()); wait > 0 || t.Paused.Load(); wait = 0 {
		select {
		case <-time.After(max(wait, stallPollInterval)):
		case <-deadline:
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		case <-r.Context().Done():
			return
		}
	}
	if t.OnEnd != nil && strings.Contains(r.URL.Path, DeadlyMark) {
		t.end(id)
	}
	t.writeAnswer(w, id)
}

// end ends the target under a request: all its connections are reset, and new ones are refused.
func (t *Target) end(id string) {
	t.requestLog.recordEnd(id, t.ID, time.Now())
	t.Crash()
	panic(http.ErrAbortHandler)
}

// Crash ends the target for no reason of a request's: all its connections are reset, and new ones are refused. OnEnd is called unless it has been.
func (t *Target) Crash() {
	t.endOnce.Do(t.OnEnd)
	t.Proxy.Close()
}

// writeAnswer sends the records and their signature. Depending on the injected faults it aborts the connection instead or truncates the answer.
func (t *Target) writeAnswer(w http.ResponseWriter, id string) {
	if t.AbortsConnections.Load() {
		panic(http.ErrAbortHandler)
	}
	body := Records(t.Service, id)
	w.Header().Set("X-Server-Stamp", Signature(t.ID, t.Service, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if t.TruncatesAnswers.Load() {
		body = body[:len(body)/2]
	}
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
	if t.TruncatesAnswers.Load() {
		// Sends the header and half of the body before the connection is aborted; if that fails, the answer ends even earlier.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// ParseSignature parses a signature into service and target, and reports whether it is valid for the request.
func ParseSignature(signature, id string) (service, target string, valid bool) {
	parts := strings.Split(signature, ".")
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], Signature(parts[1], parts[0], id) == signature
}

// Arrivals returns the number of requests that arrived at a target.
func (l *RequestLog) Arrivals(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals[target])
}
