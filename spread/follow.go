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
	// watchers is the number of hosts of a data centre that watch the store.
	watchers = 2
	// watchWait is how long a watch waits; the log is read again after each, in case a replica left something out.
	watchWait = 4 * time.Second
	// idlePeriod is the time between two looks at whether this host is a watcher.
	idlePeriod = 250 * time.Millisecond
	// backoffFirst and backoffLast bound the wait after a failed call to the store.
	backoffFirst = 200 * time.Millisecond
	backoffLast  = 2 * time.Second
	// page is the number of entries that are read at once.
	page = 100
)

// watches says whether this host is one of its data centre's watchers; a host that hasn't met its peers can't know.
func (s *Spread) watches() bool {
	if !s.board.Joined() {
		return false
	}
	for _, m := range peers.First(s.board.View.Load().Members, s.board.Self.Datacentre, "store", watchers) {
		if m.Name == s.board.Self.Name {
			return true
		}
	}
	return false
}

// follow repeats a read of the store while this host is a watcher, and waits ever longer after failures.
func (s *Spread) follow(ctx context.Context, read func(context.Context) error) {
	wait := backoffFirst
	for ctx.Err() == nil {
		if !s.watches() {
			s.clock.Sleep(ctx, idlePeriod)
			continue
		}
		err := read(ctx)
		s.note(ctx, err)
		if err == nil {
			wait = backoffFirst
			continue
		}
		s.clock.Sleep(ctx, jitter(wait))
		wait = min(2*wait, backoffLast)
	}
}

// note logs where the store comes into reach or goes out of it.
func (s *Spread) note(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reached := err == nil
	if reached != s.reached && ctx.Err() == nil {
		s.reached = reached
		s.log.Info("store changed", zap.Bool("reachable", reached), zap.Error(err))
	}
}

// readLog reads what the log has beyond the settings in force and then waits for more.
func (s *Spread) readLog(ctx context.Context) error {
	if s.board.Tree.Load().N == 0 {
		if err := s.readSnapshot(ctx); err != nil {
			return err
		}
	}
	revision, err := s.catchUp(ctx)
	if err != nil {
		return err
	}
	p, err := s.watch(ctx, Log, revision, watchWait)
	if err != nil {
		return err
	}
	news := false
	for _, e := range p.Entries {
		applied, err := s.apply(e.Value)
		if errors.Is(err, errGap) {
			// The next read fills it in order.
			break
		}
		if err != nil {
			return eris.Wrapf(err, "%s", e.Key)
		}
		news = news || applied
	}
	if news {
		s.offer(s.board.Self.Name)
	}
	return nil
}

// catchUp reads the log page by page and returns the store's revision at the last one.
func (s *Spread) catchUp(ctx context.Context) (uint64, error) {
	for {
		p, err := s.list(ctx, Log, LogKey(s.board.Tree.Load().N), page)
		if err != nil {
			return 0, err
		}
		news := false
		for _, e := range p.Entries {
			applied, err := s.apply(e.Value)
			if err != nil {
				return 0, eris.Wrapf(err, "%s", e.Key)
			}
			news = news || applied
		}
		if news {
			s.offer(s.board.Self.Name)
		}
		if len(p.Entries) < page {
			return p.Revision, nil
		}
	}
}

// readSnapshot spares a fresh host the reading of the whole log.
func (s *Spread) readSnapshot(ctx context.Context) error {
	e, found, err := s.get(ctx, Snapshot)
	if err != nil || !found {
		return err
	}
	_, err = s.install(e.Value)
	return err
}

// readMaps reads all shard maps and then waits for newer ones.
func (s *Spread) readMaps(ctx context.Context) error {
	after, revision := "", uint64(0)
	news := false
	for {
		p, err := s.list(ctx, Maps, after, page)
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			newer, err := s.putMap(e.Value)
			if err != nil {
				return eris.Wrapf(err, "%s", e.Key)
			}
			news = news || newer
			after = e.Key
		}
		revision = max(revision, p.Revision)
		if len(p.Entries) < page {
			break
		}
	}
	s.mapsKnown.Store(true)
	if news {
		s.offer(s.board.Self.Name)
	}
	return s.watchMaps(ctx, revision)
}

// mapsWatches is the number of watches after which the maps are read whole again.
const mapsWatches = 15

func (s *Spread) watchMaps(ctx context.Context, revision uint64) error {
	for range mapsWatches {
		p, err := s.watch(ctx, Maps, revision, watchWait)
		if err != nil {
			return err
		}
		news := false
		for _, e := range p.Entries {
			newer, err := s.putMap(e.Value)
			if err != nil {
				return eris.Wrapf(err, "%s", e.Key)
			}
			news = news || newer
		}
		revision = max(revision, p.Revision)
		if news {
			s.offer(s.board.Self.Name)
		}
		if !s.watches() {
			return nil
		}
	}
	return nil
}
