package spread

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/shard"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// readyPeriod is the time between two looks at whether this host may become ready.
const readyPeriod = 50 * time.Millisecond

// errGap is a change whose predecessor is missing here.
var errGap = errors.New("a change before this one is missing")

// Spread keeps settings and shard maps on the board the newest that it can learn of.
type Spread struct {
	// Spawn runs a fetch or an offer beside the caller.
	Spawn func(func())

	clock *timer.Service
	board *board.Board
	get   func(ctx context.Context, key string) (store.Entry, bool, error)
	list  func(ctx context.Context, prefix, after string, limit int) (store.Page, error)
	watch func(ctx context.Context, prefix string, revision uint64, wait time.Duration) (store.Page, error)
	call  wire.CallFunc
	// replaces says whether a whole tree may be put in force over the one that is.
	replaces func(next, t *tree.Tree) bool
	log      *zap.Logger
	scope    tally.Scope

	// mapsKnown says that the shard maps were read once, from the store or a peer.
	mapsKnown atomic.Bool
	sums      atomic.Pointer[mapsSum]

	mu     sync.Mutex
	tail   tail
	wanted *source
	busy   bool
	// compared holds, by host, the two checksums of maps that were last compared with it.
	compared map[string]uint64
	// refused is the id of the change that last failed the checks, and split that of the last one that clashed.
	refused string
	split   string
	reached bool
}

// mapsSum is the checksum of one version of the shard maps.
type mapsSum struct {
	maps *board.Maps
	sum  uint64
}

// New returns the part that brings changes and maps onto the board.
func New(clock *timer.Service, b *board.Board, s *store.Client, call wire.CallFunc, log *zap.Logger, scope tally.Scope) *Spread {
	return &Spread{
		Spawn:    func(f func()) { go f() },
		clock:    clock,
		board:    b,
		get:      s.Get,
		list:     s.List,
		watch:    s.Watch,
		call:     call,
		replaces: replaces,
		log:      log,
		scope:    scope,
		compared: map[string]uint64{},
		reached:  true,
	}
}

// replaces takes a whole tree at a host that has none: what comes late, from a slow replica or peer, never reverts anything.
func replaces(_, t *tree.Tree) bool {
	return t.N == 0
}

// Run follows the store, where that is this host's part, until the context ends.
func (s *Spread) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.follow(ctx, s.readLog) })
	group.Go(func() { s.follow(ctx, s.readMaps) })
	tick := s.clock.Every(readyPeriod)
	defer tick.Stop()
	for s.board.Phase() == board.Starting && ctx.Err() == nil {
		s.ready()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	group.Wait()
	return nil
}

// ready opens this host to callers once it has settings and maps and knows its peers.
func (s *Spread) ready() {
	if s.board.Tree.Load().N > 0 && s.mapsKnown.Load() && s.board.Joined() {
		s.board.Advance(board.Ready)
	}
}

// Heads returns what this host has in force.
func (s *Spread) Heads() wire.Heads {
	t := s.board.Tree.Load()
	return wire.Heads{Settings: t.N, Last: t.Last, Maps: s.mapsSum()}
}

func (s *Spread) mapsSum() uint64 {
	m := s.board.Maps.Load()
	if known := s.sums.Load(); known != nil && known.maps == m {
		return known.sum
	}
	var sum uint64
	for service, v := range *m {
		sum ^= xxhash.Sum64String(service + "\x00" + strconv.FormatUint(v.Version, 16) + "\x00" + strconv.FormatUint(v.Index, 16))
	}
	s.sums.Store(&mapsSum{maps: m, sum: sum})
	return sum
}

// apply puts one change of the log in force if it is the next one, and reports whether it did.
func (s *Spread) apply(raw []byte) (bool, error) {
	var c tree.Change
	if err := json.Unmarshal(raw, &c); err != nil {
		return false, eris.Wrap(err, "decode change")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.board.Tree.Load()
	if c.N > t.N+1 {
		return false, errGap
	}
	if c.N <= t.N {
		s.compare(c.N, c.ID)
		return false, nil
	}
	next, err := t.Apply(c)
	if err != nil {
		s.refuse(&c, err)
		return false, eris.Wrapf(err, "apply change %d", c.N)
	}
	s.board.Tree.Update(func(*tree.Tree) *tree.Tree { return next })
	s.tail.add(c.N, record{id: c.ID, raw: slices.Clone(raw)})
	s.scope.Counter("changes").Inc(1)
	s.scope.Gauge("change").Update(float64(c.N))
	s.log.Info("change in force", zap.Uint64("n", c.N), zap.String("id", c.ID), zap.String("author", c.Author))
	return true, nil
}

// refuse notes a change that doesn't pass the checks, once: the settings in force stay.
func (s *Spread) refuse(c *tree.Change, err error) {
	s.scope.Counter("refused").Inc(1)
	if s.refused != c.ID {
		s.refused = c.ID
		s.log.Error("change refused", zap.Uint64("n", c.N), zap.String("id", c.ID), zap.Error(err))
	}
}

// compare notes a change under a number that another one has here: one of the two histories was lost, and neither is put over the other.
func (s *Spread) compare(n uint64, id string) {
	own, known := s.tail.id(n)
	if !known || own == id {
		return
	}
	s.scope.Counter("splits").Inc(1)
	if s.split != id {
		s.split = id
		s.log.Error("change clashes", zap.Uint64("n", n), zap.String("own", own), zap.String("other", id))
	}
}

// install puts a whole tree in force at a host that has none.
func (s *Spread) install(raw []byte) (bool, error) {
	t, err := tree.Decode(raw)
	if err != nil {
		return false, eris.Wrap(err, "decode snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.replaces(t, s.board.Tree.Load()) {
		return false, nil
	}
	s.board.Tree.Update(func(*tree.Tree) *tree.Tree { return t })
	s.tail.reset(t.N, t.Last)
	s.log.Info("settings in force", zap.Uint64("n", t.N), zap.String("id", t.Last))
	return true, nil
}

// putMap puts a shard map in force if it is newer, and reports whether it was.
func (s *Spread) putMap(raw []byte) (bool, error) {
	var m shard.Map
	if err := json.Unmarshal(raw, &m); err != nil {
		return false, eris.Wrap(err, "decode shard map")
	}
	if !s.board.PutMap(&m) {
		return false, nil
	}
	s.log.Info("shard map in force", zap.String("service", m.Service), zap.Uint64("version", m.Version), zap.Uint64("index", m.Index))
	return true, nil
}

// jitter returns a time between half of d and d, so that hosts don't act in step.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
