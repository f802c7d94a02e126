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

// Target emulates a target: it limits concurrent requests, simulates service times and a cold start, and applies injected faults.
type Target struct {
	settings TargetSettings
	clock    *timer.Clock

	mu     sync.Mutex
	random *rand.Rand
	// process identifies the emulated process; Restart increments it.
	process        uint64
	leaving        bool
	servedRequests int
	inFlight       int
	peakInFlight   int
	excessRequests int
	lateRequests   int
	// stateHistory holds the state after each change, for the fault Lag.
	stateHistory []timedState
	faults       TargetFaults
	// cancels holds the cancel functions of running queries by their id.
	cancels map[string]context.CancelFunc
	// orderRuns counts the executions of each order by its id.
	orderRuns map[string]int
}

// timedState is a state and the time since which it has been valid.
type timedState struct {
	since time.Time
	state target.State
}

// maxStateHistory is the number of states that a target keeps for the fault Lag.
const maxStateHistory = 256

// NewTarget returns a target at the beginning of its cold start.
func NewTarget(clock *timer.Clock, s TargetSettings) *Target {
	t := &Target{
		settings:  s,
		clock:     clock,
		random:    rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.Name))),
		process:   uint64(clock.Now().UnixNano()),
		cancels:   map[string]context.CancelFunc{},
		orderRuns: map[string]int{},
	}
	t.recordState()
	return t
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Restart emulates a restart of the process without notice: the target gets a new process id and is cold again.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process++
	t.servedRequests = 0
	t.leaving = false
	t.recordState()
}

// Leave makes the target drain: it finishes requests in flight and refuses new ones.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.recordState()
}

// SetHoldings replaces the shards and index versions that the target holds.
func (t *Target) SetHoldings(h []Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Holdings = h
}

// Paths of the emulated target that aren't part of the targets' protocol: its request counts, the start of a drain and a restart.
const (
	PathStats   = "/v1/witness"
	PathLeave   = "/v1/leave"
	PathRestart = "/v1/restart"
)

// Handler returns the HTTP handler of the targets' protocol and of the emulation's own paths.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathQuery, t.handleQuery)
	mux.HandleFunc("POST "+target.PathOrder, t.handleOrder)
	mux.HandleFunc("POST "+target.PathCancel, t.handleCancel)
	mux.HandleFunc("GET "+target.PathState, t.handleState)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Stats()) })
	mux.HandleFunc("POST "+PathLeave, func(http.ResponseWriter, *http.Request) { t.Leave() })
	mux.HandleFunc("POST "+PathRestart, func(http.ResponseWriter, *http.Request) { t.Restart() })
	mux.HandleFunc("POST "+PathFaults, t.handleFaults)
	return mux
}

// handleFaults replaces the injected faults with those in the request's body.
func (t *Target) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

// currentState returns the target's phase, limit and requests in flight. The lock is held.
func (t *Target) currentState() target.State {
	s := target.State{
		Process: t.process,
		Phase:   target.Warm,
		Limit:   t.settings.Slots,
		Busy:    t.inFlight,
	}
	if t.servedRequests < t.settings.Warmup {
		s.Phase, s.Limit = target.Cold, t.settings.Cold
	}
	if t.leaving {
		s.Phase = target.Leaving
	}
	return s
}

// handleState serves the state, with the faults Lag and Lie applied.
func (t *Target) handleState(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	s := t.laggedState()
	if t.faults.Lie {
		s.Phase, s.Limit, s.Busy = target.Warm, t.settings.Slots, 0
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// recordState appends the current state to the history. The lock is held.
func (t *Target) recordState() {
	t.stateHistory = append(t.stateHistory, timedState{since: t.clock.Now(), state: t.currentState()})
	t.stateHistory = t.stateHistory[max(len(t.stateHistory)-maxStateHistory, 0):]
}

// laggedState returns the current state, or the one that the fault Lag makes the endpoint report. The lock is held.
func (t *Target) laggedState() target.State {
	s := t.currentState()
	if t.faults.Lag == 0 {
		return s
	}
	asOf := t.clock.Now().Add(-t.faults.Lag.D())
	for _, p := range t.stateHistory {
		if !p.since.After(asOf) {
			s = p.state
		}
	}
	return s
}

// AcquireSlot takes a slot for an incoming request. It returns a refusal if the target is leaving or all slots are taken, nil if the work may begin.
func (t *Target) AcquireSlot() *target.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentState()
	if t.leaving {
		t.lateRequests++
		return &target.Refusal{Reason: target.ReasonLeaving, State: s}
	}
	if t.inFlight >= s.Limit {
		t.excessRequests++
		return &target.Refusal{Reason: target.ReasonShed, State: s, Retry: t.settings.Median}
	}
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
	t.recordState()
	return nil
}

// ReleaseSlot releases the slot of a finished request. It returns the state in which the slot was still taken, which a reply may carry.
func (t *Target) ReleaseSlot() target.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentState()
	t.inFlight--
	t.servedRequests++
	t.recordState()
	return s
}

// simulateWork waits for a random service time. It fails if ctx ends first or, if remaining is positive, that time passes first.
func (t *Target) simulateWork(ctx context.Context, remaining time.Duration) error {
	t.mu.Lock()
	f := t.faults
	serviceTime := time.Duration(float64(t.settings.Median) * lognormal(t.random, t.settings.Spread))
	t.mu.Unlock()
	if f.Factor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * f.Factor)
	}
	if remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = t.clock.WithTimeout(ctx, remaining)
		defer cancel()
	}
	if f.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return t.clock.Sleep(ctx, serviceTime)
}
