package emul

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/target"
	"kingcupcross/timer"
)

// Target emulates one target.
type Target struct {
	settings TargetSettings
	clock    *timer.Clock

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
func NewTarget(clock *timer.Clock, s TargetSettings) *Target {
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
		return &target.Refusal{Reason: target.ReasonLeaving, State: s}
	}
	if t.busy >= s.Limit {
		t.excess++
		return &target.Refusal{Reason: target.ReasonShed, State: s, Retry: t.settings.Median}
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
