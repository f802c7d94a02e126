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
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// Keeper holds the gates of the targets that this host keeps.
type Keeper struct {
	clock  *timer.Service
	board  *board.Board
	log    *zap.Logger
	count  *counters
	policy policy
	// choice names the keepers of all targets.
	choice *chooser
	// reuse lets an Ask take an id that is in use; it is set in tests only, to show what the check prevents.
	reuse bool
	// call asks a peer to yield and tell sends it a sign; spawn runs a part beside the caller.
	call  func(context.Context, wire.Member, wire.Yield) (wire.YieldReply, error)
	tell  func(context.Context, wire.Member, wire.LeavingSignal) error
	spawn func(func())

	// gates and census are read without a lock on a request's path.
	gates  atomic.Pointer[map[string]*gate]
	census atomic.Pointer[census]
	// leaving says that this host claims nothing more, and stopped that it sends nothing more.
	leaving atomic.Bool
	// tending says that a request has begun a look at what is to be claimed.
	tending atomic.Bool
	stopped atomic.Bool

	mu     sync.Mutex
	roster *roster
	claims uint64
	// signs holds the leaving processes that other hosts told of, by target.
	signs map[string]uint64
	asks  map[string]*ask
}

// New returns a keeper that reads views, maps and settings from the board.
func New(clock *timer.Service, b *board.Board, log *zap.Logger, scope tally.Scope) *Keeper {
	k := &Keeper{
		clock:  clock,
		board:  b,
		log:    log,
		count:  newCounters(scope),
		policy: newPolicy(b),
		choice: &chooser{board: b},
		spawn:  func(f func()) { go f() },
		signs:  map[string]uint64{},
		asks:   map[string]*ask{},
	}
	k.roster = newRoster(b.Self, clock.Now(), func() time.Duration { return k.policy.lostFlight })
	k.gates.Store(&map[string]*gate{})
	k.census.Store(&census{present: 1, all: 1, first: true})
	return k
}

func (k *Keeper) refuse() *fault.Error {
	if k.board.SelfOut() {
		return fault.New(fault.Out, "data centre %s is out", k.board.Self.Datacentre)
	}
	if !k.policy.awake() {
		return fault.New(fault.Paused, "%s was paused", k.board.Self.Name)
	}
	return nil
}

func (k *Keeper) settings(service string) *tree.Values {
	return k.board.Tree.Load().For(k.board.Self.Region, service)
}

// gate returns the gate of a target that this host keeps or claims.
func (k *Keeper) gate(service, name string) (*gate, *fault.Error) {
	if !k.policy.asks {
		k.tend(context.Background())
	}
	if g := (*k.gates.Load())[name]; g != nil {
		return g, nil
	}
	m := k.board.Map(service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %s", service)
	}
	if m.Target(name) == nil {
		return nil, fault.New(fault.Moved, "%s is not in the shard map of %s", name, service)
	}
	owner, _ := k.choice.load().Keeper(name)
	if owner.Name == k.board.Self.Name && k.tending.CompareAndSwap(false, true) {
		// The view is newer than the last look at what is to be claimed.
		k.tend(context.Background())
		k.tending.Store(false)
	}
	if g := (*k.gates.Load())[name]; g != nil {
		return g, nil
	}
	return nil, fault.New(fault.Moved, "%s is kept by %s", name, owner.Name)
}

// ensure returns the gate of a target and makes it if there is none; the lock is held.
func (k *Keeper) ensure(service string, t shard.Target) *gate {
	gates := *k.gates.Load()
	if g := gates[t.Name]; g != nil {
		return g
	}
	g := newGate(k, service, t)
	if process := k.signs[t.Name]; process != 0 {
		g.ramp.sign(process)
	}
	next := maps.Clone(gates)
	next[t.Name] = g
	k.gates.Store(&next)
	return g
}

// remove forgets a gate; the lock is held.
func (k *Keeper) remove(name string) {
	next := maps.Clone(*k.gates.Load())
	next[name].client.Close()
	delete(next, name)
	k.gates.Store(&next)
}

// Assume makes this host keep each target that its table gives it, warm and without a word to others, for tests of other parts.
func (k *Keeper) Assume() {
	k.board.Join()
	k.policy.asks, k.policy.confirms, k.policy.sticks = false, false, false
	k.policy.share = func(limit int, _ *census) int { return limit }
	k.policy.cold = func(int, int) int { return math.MaxInt }
}

// Table returns the keepers of all targets by the newest view and maps.
func (k *Keeper) Table() *Table {
	return k.choice.load()
}

// leavePoll is the time between two looks at whether all targets have been taken over.
const leavePoll = 20 * time.Millisecond

// Leave lets the other hosts take the targets over and returns once they have and the requests here have ended, with the context's error where that ends first; where the data centre has no other host it returns at once and the targets stay with this one.
func (k *Keeper) Leave(ctx context.Context) error {
	k.leaving.Store(true)
	tick := k.clock.Every(leavePoll)
	defer tick.Stop()
	for k.keepsAny() {
		if len(k.choice.load().sites[k.board.Self.Datacentre].others(k.board.Self.Name)) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			k.halt()
			return ctx.Err()
		}
	}
	return nil
}

// keepsAny reports whether this host still keeps a target or has a request at one.
func (k *Keeper) keepsAny() bool {
	for _, g := range *k.gates.Load() {
		g.mu.Lock()
		busy := g.hold == held || len(g.flying) > 0
		g.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// halt ends all new sends; requests that run go on.
func (k *Keeper) halt() {
	k.stopped.Store(true)
	for _, g := range *k.gates.Load() {
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
	}
}

// checkAll reads the state endpoints of the targets that this host keeps.
func (k *Keeper) checkAll(ctx context.Context) {
	for _, g := range *k.gates.Load() {
		g.mu.Lock()
		kept := g.hold == held
		g.mu.Unlock()
		if kept {
			k.spawn(func() { g.check(ctx) })
		}
	}
}

// spreadSign tells the other hosts of the data centre of a leaving target, so that its next keeper knows; process zero means no sign.
func (k *Keeper) spreadSign(name string, process uint64) {
	if process == 0 || !k.policy.spreads {
		return
	}
	k.mu.Lock()
	k.signs[name] = process
	var to []wire.Member
	for _, p := range k.roster.peers {
		if p.silent.IsZero() {
			to = append(to, p.member)
		}
	}
	k.mu.Unlock()
	for _, m := range to {
		k.spawn(func() {
			ctx, cancel := k.clock.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			// A host that misses the sign learns it when it claims the target, or from the target.
			_ = k.tell(ctx, m, wire.LeavingSignal{Target: name, Process: process})
		})
	}
}

// Sign notes that another host saw a sign of leaving.
func (k *Keeper) Sign(s wire.LeavingSignal) {
	k.mu.Lock()
	k.signs[s.Target] = s.Process
	k.mu.Unlock()
	if g := (*k.gates.Load())[s.Target]; g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.sign(s.Process)
	}
}

// say logs a change of a target's state; the gate's lock is held.
func (k *Keeper) say(what string, g *gate) {
	k.log.Info(what,
		zap.String("target", g.name),
		zap.Int("limit", g.ramp.limit),
		zap.String("why", g.ramp.why))
}

// Kept describes the gate of one target for operators.
type Kept struct {
	Target shard.Target `json:"target"`
	// Hold is this host's right to the target: none, claiming or held.
	Hold string `json:"hold"`
	// Busy is the number of requests that run or may run, Limit the number that may, and Queue that of those that wait.
	Busy  int `json:"busy"`
	Limit int `json:"limit"`
	Queue int `json:"queue"`
	// Phase is what the target last said of itself, and Why the reason of the limit.
	Phase target.Phase `json:"phase"`
	Why   string       `json:"why"`
}

// Gates returns the state of the targets that this host keeps or claims.
func (k *Keeper) Gates() []Kept {
	now := k.clock.Now()
	gates := *k.gates.Load()
	all := make([]Kept, 0, len(gates))
	for _, g := range gates {
		g.mu.Lock()
		if g.hold != idle {
			all = append(all, g.kept(now))
		}
		g.mu.Unlock()
	}
	return all
}

func (g *gate) kept(now time.Time) Kept {
	row := Kept{
		Target: g.target,
		Hold:   g.hold.String(),
		Busy:   g.busy(now),
		Queue:  len(g.queue.waiters),
		Phase:  g.ramp.phase,
		Why:    g.ramp.why,
	}
	if g.hold == held {
		row.Limit = g.allowed(now)
	}
	if g.ramp.leaving != 0 {
		row.Phase = target.Leaving
	}
	return row
}

// String returns the right's name.
func (h hold) String() string {
	switch h {
	case claiming:
		return "claiming"
	case held:
		return "held"
	default:
		return "none"
	}
}
