package emul

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/units"
)

// Holding is what a target holds of one service.
type Holding struct {
	Service string `json:"service"`
	// Map is the version of the shard map that the shards are of.
	Map    uint64 `json:"map"`
	Shards []int  `json:"shards"`
	// Indexes are the index versions that the target can answer from.
	Indexes []uint64 `json:"indexes"`
}

// TargetSettings describe an emulated target.
type TargetSettings struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Cold is the number of requests that the target bears at once while it is cold.
	Cold int `json:"cold"`
	// Warmup is the number of requests after which the target is warm.
	Warmup int `json:"warmup"`
	// Median is the median time of a request; the times are log-normally spread.
	Median units.Duration `json:"median"`
	// Spread is the standard deviation of the logarithm of the times.
	Spread   float64   `json:"spread"`
	Seed     uint64    `json:"seed"`
	Holdings []Holding `json:"holdings"`
}

// TargetFaults are the faults that a target can be given.
type TargetFaults struct {
	// Factor multiplies the time of each request; zero means one.
	Factor float64 `json:"factor"`
	// Cut sends replies cut short.
	Cut bool `json:"cut"`
	// Corrupt sends parts with a wrong checksum.
	Corrupt bool `json:"corrupt"`
	// Hang keeps requests without a reply until they are cancelled.
	Hang bool `json:"hang"`
	// Lie makes the state endpoint say warm and idle whatever the truth.
	Lie bool `json:"lie"`
	// Lag makes the state endpoint answer with what was true that long ago.
	Lag units.Duration `json:"lag"`
	// ResetOrders runs orders but resets the connection before the reply.
	ResetOrders bool `json:"resetorders"`
}

// Target emulates one target.
type Target struct {
	settings TargetSettings
	clock    *timer.Service

	mu      sync.Mutex
	random  *rand.Rand
	process uint64
	leaving bool
	served  int
	busy    int
	peak    int
	excess  int
	late    int
	// past holds what the state endpoint said after each change, for a lagging one.
	past   []pastState
	faults TargetFaults
	// running holds the cancel functions of sub-requests by id.
	running map[string]context.CancelFunc
	// runs counts how often each order ran, by its id.
	runs map[string]int
}

// pastState is a state with the time from which it was true.
type pastState struct {
	since time.Time
	state target.State
}

// maxPast is the number of past states that a target remembers.
const maxPast = 256

// NewTarget returns a target in cold start.
func NewTarget(clock *timer.Service, s TargetSettings) *Target {
	t := &Target{
		settings: s,
		clock:    clock,
		random:   rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.Name))),
		process:  uint64(clock.Now().UnixNano()),
		running:  map[string]context.CancelFunc{},
		runs:     map[string]int{},
	}
	t.remember()
	return t
}

// Witness is what a target has seen of the work sent to it.
type Witness struct {
	// Peak is the largest number of requests at once.
	Peak int `json:"peak"`
	// Excess is the number of requests that came while the target bore no more.
	Excess int `json:"excess"`
	// Late is the number of requests that came while the target was leaving.
	Late int `json:"late"`
	// Served is the number of requests since the process start.
	Served int `json:"served"`
	// Runs counts how often each order ran.
	Runs map[string]int `json:"runs"`
}

// Witness returns what the target has seen.
func (t *Target) Witness() Witness {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := Witness{
		Peak:   t.peak,
		Excess: t.excess,
		Late:   t.late,
		Served: t.served,
		Runs:   make(map[string]int, len(t.runs)),
	}
	for id, n := range t.runs {
		w.Runs[id] = n
	}
	return w
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Restart turns the target cold without warning, as a new process.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process++
	t.served = 0
	t.leaving = false
	t.remember()
}

// Leave makes the target drain: it finishes what it has and refuses new work.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.remember()
}

// SetHoldings replaces what the target holds.
func (t *Target) SetHoldings(h []Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Holdings = h
}

// Paths of the emulated target besides the targets' protocol.
const (
	PathWitness = "/v1/witness"
	PathLeave   = "/v1/leave"
	PathRestart = "/v1/restart"
)

// Handler returns the routes of the targets' protocol and of the faults.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathQuery, t.query)
	mux.HandleFunc("POST "+target.PathOrder, t.order)
	mux.HandleFunc("POST "+target.PathCancel, t.cancel)
	mux.HandleFunc("GET "+target.PathState, t.stateOf)
	mux.HandleFunc("GET "+PathWitness, func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, t.Witness()) })
	mux.HandleFunc("POST "+PathLeave, func(http.ResponseWriter, *http.Request) { t.Leave() })
	mux.HandleFunc("POST "+PathRestart, func(http.ResponseWriter, *http.Request) { t.Restart() })
	mux.HandleFunc("POST "+PathFaults, t.takeFaults)
	return mux
}

func (t *Target) takeFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

// state describes the target; the lock is held.
func (t *Target) state() target.State {
	s := target.State{
		Process: t.process,
		Phase:   target.Warm,
		Limit:   t.settings.Slots,
		Busy:    t.busy,
	}
	if t.served < t.settings.Warmup {
		s.Phase, s.Limit = target.Cold, t.settings.Cold
	}
	if t.leaving {
		s.Phase = target.Leaving
	}
	return s
}

func (t *Target) stateOf(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	s := t.lagging()
	if t.faults.Lie {
		s.Phase, s.Limit, s.Busy = target.Warm, t.settings.Slots, 0
	}
	t.mu.Unlock()
	reply(w, http.StatusOK, s)
}

// remember notes the state for a lagging endpoint; the lock is held.
func (t *Target) remember() {
	t.past = append(t.past, pastState{since: t.clock.Now(), state: t.state()})
	t.past = t.past[max(len(t.past)-maxPast, 0):]
}

// lagging returns the state as the endpoint tells it; the lock is held.
func (t *Target) lagging() target.State {
	s := t.state()
	if t.faults.Lag == 0 {
		return s
	}
	at := t.clock.Now().Add(-t.faults.Lag.D())
	for _, p := range t.past {
		if !p.since.After(at) {
			s = p.state
		}
	}
	return s
}

// Begin takes a slot, as a request does that comes in; the refusal is nil where the work may begin.
func (t *Target) Begin() *target.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state()
	if t.leaving {
		t.late++
		return &target.Refusal{Reason: target.Left, State: s}
	}
	if t.busy >= s.Limit {
		t.excess++
		return &target.Refusal{Reason: target.Shed, State: s, Retry: t.settings.Median}
	}
	t.busy++
	t.peak = max(t.peak, t.busy)
	t.remember()
	return nil
}

// End gives a slot back and returns the state of which the reply tells.
func (t *Target) End() target.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state()
	t.busy--
	t.served++
	t.remember()
	return s
}

// work takes the request's time and fails when the request is given up.
func (t *Target) work(ctx context.Context, left time.Duration) error {
	t.mu.Lock()
	f := t.faults
	d := time.Duration(float64(t.settings.Median) * lognormal(t.random, t.settings.Spread))
	t.mu.Unlock()
	if f.Factor > 0 {
		d = time.Duration(float64(d) * f.Factor)
	}
	if left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = t.clock.WithTimeout(ctx, left)
		defer cancel()
	}
	if f.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return t.clock.Sleep(ctx, d)
}

func (t *Target) query(w http.ResponseWriter, r *http.Request) {
	var q target.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		refuse(w, target.Refusal{Reason: target.Bad})
		return
	}
	if refusal := t.check(q); refusal != nil {
		refuse(w, *refusal)
		return
	}
	if refusal := t.Begin(); refusal != nil {
		refuse(w, *refusal)
		return
	}
	defer t.End()
	ctx, cancel := context.WithCancel(r.Context())
	defer t.track(q.ID, cancel)()
	if err := t.work(ctx, q.Deadline.D()); err != nil {
		http.Error(w, "given up", http.StatusGatewayTimeout)
		return
	}
	t.answer(w, q)
}

func (t *Target) track(id string, cancel context.CancelFunc) (untrack func()) {
	t.mu.Lock()
	t.running[id] = cancel
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		delete(t.running, id)
		t.mu.Unlock()
		cancel()
	}
}

// check refuses a snapshot or shard that the target doesn't hold.
func (t *Target) check(q target.Query) *target.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal := &target.Refusal{Reason: target.Absent, State: t.state()}
	for _, h := range t.settings.Holdings {
		if h.Service != q.Service || len(h.Indexes) == 0 {
			continue
		}
		newest := shard.Snapshot{Map: h.Map, Index: slices.Max(h.Indexes)}
		if refusal.Newest.Less(newest) {
			refusal.Newest = newest
		}
		if h.Map == q.Snapshot.Map && slices.Contains(h.Indexes, q.Snapshot.Index) && containsAll(h.Shards, q.Shards) {
			return nil
		}
	}
	if q.Snapshot.Less(refusal.Newest) {
		refusal.Reason = target.Gone
	}
	return refusal
}

func containsAll(held, asked []int) bool {
	for _, s := range asked {
		if !slices.Contains(held, s) {
			return false
		}
	}
	return true
}

// Payload returns what every replica of a shard answers to a query, so that callers can check it.
func Payload(service string, s shard.Snapshot, n int, query []byte) []byte {
	return fmt.Appendf(nil, "%s map %d index %d shard %d query %016x", service, s.Map, s.Index, n, xxhash.Sum64(query))
}

func (t *Target) answer(w http.ResponseWriter, q target.Query) {
	t.mu.Lock()
	out := target.Reply{ID: q.ID, Snapshot: q.Snapshot, State: t.state()}
	f := t.faults
	t.mu.Unlock()
	for _, s := range q.Shards {
		p := target.NewPart(s, Payload(q.Service, q.Snapshot, s, q.Payload))
		if f.Corrupt {
			p.Sum++
		}
		out.Parts = append(out.Parts, p)
	}
	if f.Cut {
		cutShort(w, out)
		return
	}
	reply(w, http.StatusOK, out)
}

// cutShort sends the first half of a reply and resets the connection.
func cutShort(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, target.Refusal{Reason: target.Bad})
		return
	}
	if refusal := t.Begin(); refusal != nil {
		refuse(w, *refusal)
		return
	}
	defer t.End()
	t.mu.Lock()
	t.runs[o.ID]++
	run := t.runs[o.ID]
	f := t.faults
	t.mu.Unlock()
	// An order that has begun runs to its end, also when its sender has gone.
	if err := t.work(context.WithoutCancel(r.Context()), 0); err != nil || f.ResetOrders {
		panic(http.ErrAbortHandler)
	}
	payload := fmt.Appendf(nil, "%s done at %s, run %d", o.ID, t.settings.Name, run)
	t.mu.Lock()
	s := t.state()
	t.mu.Unlock()
	reply(w, http.StatusOK, target.OrderReply{
		ID:      o.ID,
		State:   s,
		Payload: payload,
		Sum:     xxhash.Sum64(payload),
	})
}

func (t *Target) cancel(_ http.ResponseWriter, r *http.Request) {
	var c target.Cancel
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if stop := t.running[c.ID]; stop != nil {
		stop()
	}
}

func refuse(w http.ResponseWriter, r target.Refusal) {
	reply(w, http.StatusServiceUnavailable, r)
}
