package spread

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcross/peers"
)

const (
	// watcherCount is the number of hosts in each data centre that watch the store.
	watcherCount = 2
	// watchTimeout is how long a watch of the store waits for changes.
	// The log is read again after each watch, in case a replica of the store left a change out.
	watchTimeout = 4 * time.Second
	// watcherCheckInterval is the time between two checks whether this host has become a watcher.
	watcherCheckInterval = 250 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff are the limits of the wait after a failed call to the store.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// pageSize is the maximum number of entries in one list call to the store.
	pageSize = 100
)

// isWatcher reports whether this host is one of its data centre's watchers; a host that hasn't joined its peers is not, since its view is incomplete.
func (s *Distributor) isWatcher() bool {
	if !s.board.Joined() {
		return false
	}
	for _, m := range peers.SelectByRendezvous(s.board.Membership.Load().Members, s.board.Self.Datacentre, "store", watcherCount) {
		if m.Name == s.board.Self.Name {
			return true
		}
	}
	return false
}

// pollStore calls read repeatedly while this host is a watcher, with exponential backoff after failures.
func (s *Distributor) pollStore(ctx context.Context, read func(context.Context) error) {
	wait := minStoreBackoff
	for ctx.Err() == nil {
		if !s.isWatcher() {
			s.clock.Sleep(ctx, watcherCheckInterval)
			continue
		}
		err := read(ctx)
		s.recordStoreResult(ctx, err)
		if err == nil {
			wait = minStoreBackoff
			continue
		}
		s.clock.Sleep(ctx, jitter(wait))
		wait = min(2*wait, maxStoreBackoff)
	}
}

// recordStoreResult logs when the store becomes reachable or unreachable.
func (s *Distributor) recordStoreResult(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reachable := err == nil
	if reachable != s.storeReachable && ctx.Err() == nil {
		s.storeReachable = reachable
		s.log.Info("store reachability changed", zap.Bool("reachable", reachable), zap.Error(err))
	}
}

// readLog applies the changes of the log that this host doesn't have and then watches the log once for more.
func (s *Distributor) readLog(ctx context.Context) error {
	if s.board.Tree.Load().ChangeNumber == 0 {
		if err := s.readSnapshot(ctx); err != nil {
			return err
		}
	}
	revision, err := s.readNewChanges(ctx)
	if err != nil {
		return err
	}
	p, err := s.watch(ctx, LogPrefix, revision, watchTimeout)
	if err != nil {
		return err
	}
	anyApplied := false
	for _, e := range p.Entries {
		applied, err := s.applyChange(e.Value)
		if errors.Is(err, errMissingChange) {
			// The next readLog starts at the missing change.
			break
		}
		if err != nil {
			return eris.Wrapf(err, "%s", e.Key)
		}
		anyApplied = anyApplied || applied
	}
	if anyApplied {
		s.offer(s.board.Self.Name)
	}
	return nil
}

// readNewChanges applies the log from the next change on, page by page, and returns the store's revision at the last page.
func (s *Distributor) readNewChanges(ctx context.Context) (uint64, error) {
	for {
		p, err := s.list(ctx, LogPrefix, LogKey(s.board.Tree.Load().ChangeNumber), pageSize)
		if err != nil {
			return 0, err
		}
		anyApplied := false
		for _, e := range p.Entries {
			applied, err := s.applyChange(e.Value)
			if err != nil {
				return 0, eris.Wrapf(err, "%s", e.Key)
			}
			anyApplied = anyApplied || applied
		}
		if anyApplied {
			s.offer(s.board.Self.Name)
		}
		if len(p.Entries) < pageSize {
			return p.Revision, nil
		}
	}
}

// readSnapshot installs the store's snapshot of the tree, so that a new host need not read the whole log.
func (s *Distributor) readSnapshot(ctx context.Context) error {
	e, found, err := s.get(ctx, SnapshotKey)
	if err != nil || !found {
		return err
	}
	_, err = s.installTree(e.Value)
	return err
}

// readMaps applies all shard maps and then watches for newer ones.
func (s *Distributor) readMaps(ctx context.Context) error {
	after, revision := "", uint64(0)
	anyNewer := false
	for {
		p, err := s.list(ctx, MapsPrefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			newer, err := s.applyMap(e.Value)
			if err != nil {
				return eris.Wrapf(err, "%s", e.Key)
			}
			anyNewer = anyNewer || newer
			after = e.Key
		}
		revision = max(revision, p.Revision)
		if len(p.Entries) < pageSize {
			break
		}
	}
	s.mapsKnown.Store(true)
	if anyNewer {
		s.offer(s.board.Self.Name)
	}
	return s.watchMaps(ctx, revision)
}

// watchesPerMapsRead is the number of watches after which all maps are read again.
const watchesPerMapsRead = 15

// watchMaps applies newer shard maps as they arrive, until this host is no longer a watcher or all maps are due to be read again.
func (s *Distributor) watchMaps(ctx context.Context, revision uint64) error {
	for range watchesPerMapsRead {
		p, err := s.watch(ctx, MapsPrefix, revision, watchTimeout)
		if err != nil {
			return err
		}
		anyNewer := false
		for _, e := range p.Entries {
			newer, err := s.applyMap(e.Value)
			if err != nil {
				return eris.Wrapf(err, "%s", e.Key)
			}
			anyNewer = anyNewer || newer
		}
		revision = max(revision, p.Revision)
		if anyNewer {
			s.offer(s.board.Self.Name)
		}
		if !s.isWatcher() {
			return nil
		}
	}
	return nil
}
