package keeper

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/bound"
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// replyMemoryBytes is the memory in bytes for the replies of all targets that are being received. A reply has up to 4 MB.
const replyMemoryBytes = 24 << 20

// Keeper claims the targets assigned to this host and admits requests to them, one gate per target.
type Keeper struct {
	clock    *timer.Clock
	board    *board.State
	log      *zap.Logger
	counters *counters
	guards   guards
	// tables caches the assignment of all targets to hosts.
	tables *tableCache
	// replyMemory is the memory for the replies of all targets that are being received.
	replyMemory *bound.Memory
	// allowReusedIDs accepts an Ask whose id is still in use. Only tests set it, to show what the check prevents.
	allowReusedIDs bool
	// callYield asks a peer to give up targets, sendSignal tells it that a target is leaving, and spawn runs a function concurrently.
	callYield  func(context.Context, wire.Member, wire.Yield) (wire.YieldReply, error)
	sendSignal func(context.Context, wire.Member, wire.LeavingSignal) error
	spawn      func(func())

	// gates and hostCounts are read without a lock on the request path.
	gates      atomic.Pointer[map[string]*gate]
	hostCounts atomic.Pointer[hostCounts]
	// draining is set when this host makes no further claims, and sendsStopped when it sends no further requests.
	draining atomic.Bool
	// reconciling is set while a request runs reconcile, so that concurrent requests don't run it too.
	reconciling  atomic.Bool
	sendsStopped atomic.Bool

	// mu is locked before a gate's lock where both are needed.
	mu        sync.Mutex
	tracker   *peerTracker
	lastClaim uint64
	// leavingSignals holds, by target, the process that is known to be leaving.
	leavingSignals map[string]uint64
	pendingAsks    map[string]*pendingAsk
}

// New returns a keeper that reads the view, the shard maps and the settings from the board.
func New(clock *timer.Clock, b *board.State, log *zap.Logger, scope tally.Scope) *Keeper {
	k := &Keeper{
		clock:          clock,
		board:          b,
		log:            log,
		counters:       newCounters(scope),
		guards:         newGuards(b),
		tables:         &tableCache{board: b},
		replyMemory:    bound.NewMemory(replyMemoryBytes),
		spawn:          func(f func()) { go f() },
		leavingSignals: map[string]uint64{},
		pendingAsks:    map[string]*pendingAsk{},
	}
	k.tracker = newPeerTracker(b.Self, clock.Now(), func() time.Duration { return k.guards.lostRequestTime })
	k.gates.Store(&map[string]*gate{})
	k.hostCounts.Store(&hostCounts{reachable: 1, total: 1, hasLowestName: true})
	return k
}

// checkServing returns the refusal for requests to a host that is out of service or was paused, or nil.
func (k *Keeper) checkServing() *fault.Error {
	if k.board.SelfOutOfService() {
		return fault.New(fault.Out, "data centre %s is out", k.board.Self.Datacentre)
	}
	if !k.guards.running() {
		return fault.New(fault.Paused, "%s was paused", k.board.Self.Name)
	}
	return nil
}

// settings returns the settings of a service in this host's region.
func (k *Keeper) settings(service string) *tree.Values {
	return k.board.Tree.Load().ForService(k.board.Self.Region, service)
}

// gateFor returns the gate of a target that this host keeps or claims, or the refusal that names the target's keeper.
func (k *Keeper) gateFor(service, name string) (*gate, *fault.Error) {
	if !k.guards.askPeers {
		k.reconcile(context.Background())
	}
	if g := (*k.gates.Load())[name]; g != nil {
		return g, nil
	}
	m := k.board.ShardMap(service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %s", service)
	}
	if m.Target(name) == nil {
		return nil, fault.New(fault.Moved, "%s is not in the shard map of %s", name, service)
	}
	assigned, _ := k.tables.current().Keeper(name)
	if assigned.Name == k.board.Self.Name && k.reconciling.CompareAndSwap(false, true) {
		// The assignment may be newer than the last reconcile.
		k.reconcile(context.Background())
		k.reconciling.Store(false)
	}
	if g := (*k.gates.Load())[name]; g != nil {
		return g, nil
	}
	return nil, fault.New(fault.Moved, "%s is kept by %s", name, assigned.Name)
}

// getOrCreateGate returns the gate of a target and creates it if it doesn't exist. k.mu is held.
func (k *Keeper) getOrCreateGate(service string, t shard.Target) *gate {
	gates := *k.gates.Load()
	if g := gates[t.Name]; g != nil {
		return g
	}
	g := newGate(k, service, t)
	if process := k.leavingSignals[t.Name]; process != 0 {
		g.limiter.markLeaving(process)
	}
	next := maps.Clone(gates)
	next[t.Name] = g
	k.gates.Store(&next)
	return g
}

// removeGate closes a target's connections and removes its gate. k.mu is held.
func (k *Keeper) removeGate(name string) {
	next := maps.Clone(*k.gates.Load())
	next[name].client.Close()
	delete(next, name)
	k.gates.Store(&next)
}

// KeepAssignedForTesting makes this host keep every target assigned to it without asking other hosts. It also turns off the limit of cold targets, the sharing of limits in partitions and the refusal of requests to leaving targets. It is meant for tests of other packages.
func (k *Keeper) KeepAssignedForTesting() {
	k.board.MarkJoined()
	k.guards.askPeers, k.guards.confirmReturned, k.guards.rememberLeaving = false, false, false
	k.guards.share = func(limit int, _ *hostCounts) int { return limit }
	k.guards.coldLimit = func(int, int) int { return math.MaxInt }
}

// Table returns the keepers of all targets for the newest view and shard maps.
func (k *Keeper) Table() *Table {
	return k.tables.current()
}

// drainPollPeriod is the interval of the checks whether all targets have been handed over.
const drainPollPeriod = 20 * time.Millisecond

// Drain lets the other hosts take over this host's targets and returns once they have and the requests sent from here have ended. If ctx ends first, it stops all further sends and returns the context's error. If the data centre has no other host, it returns at once and the targets stay with this host.
func (k *Keeper) Drain(ctx context.Context) error {
	k.draining.Store(true)
	tick := k.clock.Every(drainPollPeriod)
	defer tick.Stop()
	for k.hasTargetsOrRequests() {
		if len(k.tables.current().assignments[k.board.Self.Datacentre].otherHosts(k.board.Self.Name)) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			k.stopSends()
			return ctx.Err()
		}
	}
	return nil
}

// hasTargetsOrRequests reports whether this host still keeps a target or has a request in flight.
func (k *Keeper) hasTargetsOrRequests() bool {
	for _, g := range *k.gates.Load() {
		g.mu.Lock()
		busy := g.ownership == held || len(g.inFlight) > 0
		g.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// stopSends refuses all requests that were not sent yet. Requests in flight go on.
func (k *Keeper) stopSends() {
	k.sendsStopped.Store(true)
	for _, g := range *k.gates.Load() {
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
	}
}

// checkTargets reads the state endpoints of the targets that this host keeps, concurrently.
func (k *Keeper) checkTargets(ctx context.Context) {
	for _, g := range *k.gates.Load() {
		g.mu.Lock()
		kept := g.ownership == held
		g.mu.Unlock()
		if kept {
			k.spawn(func() { g.checkState(ctx) })
		}
	}
}

// broadcastLeaving tells the other hosts of the data centre that a target's process is leaving, so that the target's next keeper knows. It does nothing if process is zero.
func (k *Keeper) broadcastLeaving(name string, process uint64) {
	if process == 0 || !k.guards.broadcastLeaving {
		return
	}
	k.mu.Lock()
	k.leavingSignals[name] = process
	var recipients []wire.Member
	for _, p := range k.tracker.peers {
		if p.silentSince.IsZero() {
			recipients = append(recipients, p.member)
		}
	}
	k.mu.Unlock()
	for _, m := range recipients {
		k.spawn(func() {
			ctx, cancel := k.clock.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			// A host that misses the signal gets it when it claims the target, or from the target itself.
			_ = k.sendSignal(ctx, m, wire.LeavingSignal{Target: name, Process: process})
		})
	}
}

// HandleLeavingSignal records a leaving signal that another host has seen.
func (k *Keeper) HandleLeavingSignal(s wire.LeavingSignal) {
	k.mu.Lock()
	k.leavingSignals[s.Target] = s.Process
	k.mu.Unlock()
	if g := (*k.gates.Load())[s.Target]; g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.markLeaving(s.Process)
	}
}

// logChange logs a change of a target's state. The gate's lock is held.
func (k *Keeper) logChange(message string, g *gate) {
	k.log.Info(message,
		zap.String("target", g.name),
		zap.Int("limit", g.limiter.limit),
		zap.String("why", g.limiter.limitReason))
}

// TargetStatus describes one target that this host keeps or claims, for operators.
type TargetStatus struct {
	Target shard.Target `json:"target"`
	// Hold is this host's ownership of the target: none, claiming or held.
	Hold string `json:"hold"`
	// Busy is the number of slots in use, including those reserved for requests that may still run. Limit is the number of usable slots, and Queue the number of waiting requests.
	Busy  int `json:"busy"`
	Limit int `json:"limit"`
	Queue int `json:"queue"`
	// Phase is the phase that the target last stated, and Why the reason for the current limit.
	Phase target.Phase `json:"phase"`
	Why   string       `json:"why"`
}

// TargetStatuses returns the status of the targets that this host keeps or claims.
func (k *Keeper) TargetStatuses() []TargetStatus {
	now := k.clock.Now()
	gates := *k.gates.Load()
	all := make([]TargetStatus, 0, len(gates))
	for _, g := range gates {
		g.mu.Lock()
		if g.ownership != notHeld {
			all = append(all, g.status(now))
		}
		g.mu.Unlock()
	}
	return all
}

// status returns the gate's entry for operators. The gate's lock is held.
func (g *gate) status(now time.Time) TargetStatus {
	status := TargetStatus{
		Target: g.target,
		Hold:   g.ownership.String(),
		Busy:   g.busy(now),
		Queue:  len(g.queue.waiters),
		Phase:  g.limiter.phase,
		Why:    g.limiter.limitReason,
	}
	if g.ownership == held {
		status.Limit = g.capacity(now)
	}
	if g.limiter.leavingProcess != 0 {
		status.Phase = target.Leaving
	}
	return status
}

// String returns the name that operators see.
func (h ownership) String() string {
	switch h {
	case claiming:
		return "claiming"
	case held:
		return "held"
	default:
		return "none"
	}
}
