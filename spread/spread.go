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

// readyCheckInterval is the time between two checks whether a starting host can become ready.
const readyCheckInterval = 50 * time.Millisecond

// errMissingChange is returned for a change whose predecessor this host doesn't have.
var errMissingChange = errors.New("an earlier settings change is missing")

// Distributor updates the settings and the shard maps on this host's board from the store and from other hosts.
type Distributor struct {
	// Spawn runs a fetch or an offer concurrently with the caller; tests replace it.
	Spawn func(func())

	clock *timer.Clock
	board *board.State
	get   func(ctx context.Context, key string) (store.Entry, bool, error)
	list  func(ctx context.Context, prefix, after string, limit int) (store.Page, error)
	watch func(ctx context.Context, prefix string, revision uint64, wait time.Duration) (store.Page, error)
	call  wire.CallFunc
	// shouldInstall reports whether the whole tree next may replace the current tree t.
	shouldInstall func(next, t *tree.Tree) bool
	log           *zap.Logger
	scope         tally.Scope

	// mapsKnown is set once all shard maps were read, from the store or from a peer.
	mapsKnown atomic.Bool
	// cachedChecksum is the last result of mapsChecksum.
	cachedChecksum atomic.Pointer[checksumOfMaps]

	mu   sync.Mutex
	tail changeTail
	// nextSource is the host to fetch from next, nil if there is none; fetching says that fetchAll runs.
	nextSource *source
	fetching   bool
	// compared holds, by host, the XOR of its and this host's map checksums for which this host last fetched from it.
	compared map[string]uint64
	// refusedID is the id of the last change that failed validation, conflictingID that of the last one that conflicted with this host's history; a repeat isn't logged again.
	refusedID     string
	conflictingID string
	// storeReachable says that the last call to the store succeeded; it is true before the first call.
	storeReachable bool
}

// checksumOfMaps is a checksum together with the maps that it was computed from.
type checksumOfMaps struct {
	maps *board.ShardMaps
	sum  uint64
}

// New returns a distributor that reads from the store through s and calls other hosts through call.
func New(clock *timer.Clock, b *board.State, s *store.Client, call wire.CallFunc, log *zap.Logger, scope tally.Scope) *Distributor {
	return &Distributor{
		Spawn:          func(f func()) { go f() },
		clock:          clock,
		board:          b,
		get:            s.Get,
		list:           s.List,
		watch:          s.Watch,
		call:           call,
		shouldInstall:  installsOnlyWhenEmpty,
		log:            log,
		scope:          scope,
		compared:       map[string]uint64{},
		storeReachable: true,
	}
}

// installsOnlyWhenEmpty allows a whole tree only at a host without settings, so that an old tree from a stale replica or peer never reverts a change.
func installsOnlyWhenEmpty(_, t *tree.Tree) bool {
	return t.ChangeNumber == 0
}

// Run reads from the store while this host is a watcher and makes the host ready once it can be; it returns when the context ends.
func (s *Distributor) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.pollStore(ctx, s.readLog) })
	group.Go(func() { s.pollStore(ctx, s.readMaps) })
	tick := s.clock.Every(readyCheckInterval)
	defer tick.Stop()
	for s.board.Phase() == board.Starting && ctx.Err() == nil {
		s.advanceIfReady()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	group.Wait()
	return nil
}

// advanceIfReady makes this host ready for callers once it has settings and shard maps and knows its peers.
func (s *Distributor) advanceIfReady() {
	if s.board.Tree.Load().ChangeNumber > 0 && s.mapsKnown.Load() && s.board.Joined() {
		s.board.Advance(board.Ready)
	}
}

// Heads returns the number and the id of the last applied change and the checksum of the shard maps.
func (s *Distributor) Heads() wire.Heads {
	t := s.board.Tree.Load()
	return wire.Heads{Settings: t.ChangeNumber, Last: t.LastChangeID, Maps: s.mapsChecksum()}
}

// mapsChecksum returns the checksum over the versions of all shard maps and caches it until the maps change.
func (s *Distributor) mapsChecksum() uint64 {
	maps := s.board.ShardMaps.Load()
	if cached := s.cachedChecksum.Load(); cached != nil && cached.maps == maps {
		return cached.sum
	}
	var sum uint64
	for service, v := range *maps {
		sum ^= xxhash.Sum64String(service + "\x00" + strconv.FormatUint(v.Version, 16) + "\x00" + strconv.FormatUint(v.Index, 16))
	}
	s.cachedChecksum.Store(&checksumOfMaps{maps: maps, sum: sum})
	return sum
}

// applyChange applies one change of the log if it is the next one and reports whether it did.
// A change with an older number is only checked for a conflict; a later one gives errMissingChange.
func (s *Distributor) applyChange(raw []byte) (bool, error) {
	var c tree.Change
	if err := json.Unmarshal(raw, &c); err != nil {
		return false, eris.Wrap(err, "decode change")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.board.Tree.Load()
	if c.N > t.ChangeNumber+1 {
		return false, errMissingChange
	}
	if c.N <= t.ChangeNumber {
		s.detectConflict(c.N, c.ID)
		return false, nil
	}
	next, err := t.Apply(c)
	if err != nil {
		s.recordRefusal(&c, err)
		return false, eris.Wrapf(err, "apply change %d", c.N)
	}
	s.board.Tree.Update(func(*tree.Tree) *tree.Tree { return next })
	s.tail.add(c.N, loggedChange{id: c.ID, raw: slices.Clone(raw)})
	s.scope.Counter("changes").Inc(1)
	s.scope.Gauge("change").Update(float64(c.N))
	s.log.Info("settings change applied", zap.Uint64("n", c.N), zap.String("id", c.ID), zap.String("author", c.Author))
	return true, nil
}

// recordRefusal counts a change that failed validation and logs it once; the host keeps its current settings.
func (s *Distributor) recordRefusal(c *tree.Change, err error) {
	s.scope.Counter("refused").Inc(1)
	if s.refusedID != c.ID {
		s.refusedID = c.ID
		s.log.Error("settings change failed validation", zap.Uint64("n", c.N), zap.String("id", c.ID), zap.Error(err))
	}
}

// detectConflict counts, and logs once, a change whose number this host has applied with another id.
// The store has then lost one of the two histories; the host keeps its own and never mixes them.
func (s *Distributor) detectConflict(n uint64, id string) {
	own, known := s.tail.id(n)
	if !known || own == id {
		return
	}
	s.scope.Counter("splits").Inc(1)
	if s.conflictingID != id {
		s.conflictingID = id
		s.log.Error("settings change conflicts with the applied change of the same number", zap.Uint64("n", n), zap.String("own", own), zap.String("other", id))
	}
}

// installTree replaces the tree by an encoded one if shouldInstall allows it, and reports whether it did.
func (s *Distributor) installTree(raw []byte) (bool, error) {
	t, err := tree.Decode(raw)
	if err != nil {
		return false, eris.Wrap(err, "decode snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shouldInstall(t, s.board.Tree.Load()) {
		return false, nil
	}
	s.board.Tree.Update(func(*tree.Tree) *tree.Tree { return t })
	s.tail.reset(t.ChangeNumber, t.LastChangeID)
	s.log.Info("settings replaced by a complete tree", zap.Uint64("n", t.ChangeNumber), zap.String("id", t.LastChangeID))
	return true, nil
}

// applyMap publishes a shard map if it is newer than the current one of its service, and reports whether it was.
func (s *Distributor) applyMap(raw []byte) (bool, error) {
	var m shard.Map
	if err := json.Unmarshal(raw, &m); err != nil {
		return false, eris.Wrap(err, "decode shard map")
	}
	if !s.board.PutShardMap(&m) {
		return false, nil
	}
	s.log.Info("shard map applied", zap.String("service", m.Service), zap.Uint64("version", m.Version), zap.Uint64("index", m.Index))
	return true, nil
}

// jitter returns a random time between half of d and d, so that hosts don't retry at the same moments.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
