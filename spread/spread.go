package spread

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/shard"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
)

const (
	period = 500 * time.Millisecond
	// page is the number of changes that are read at once.
	page = 100
)

// Spread follows the platform's store.
type Spread struct {
	clock *timer.Service
	board *board.Board
	store *store.Client
	log   *zap.Logger
}

// New returns the part that brings changes and maps onto the board.
func New(clock *timer.Service, b *board.Board, s *store.Client, log *zap.Logger) *Spread {
	return &Spread{
		clock: clock,
		board: b,
		store: s,
		log:   log,
	}
}

// Run follows the store until the context ends.
func (s *Spread) Run(ctx context.Context) error {
	tick := s.clock.Every(period)
	defer tick.Stop()
	reachable := true
	for {
		err := s.pull(ctx)
		if reachable != (err == nil) && ctx.Err() == nil {
			reachable = err == nil
			s.log.Info("store changed", zap.Bool("reachable", reachable), zap.Error(err))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Spread) pull(ctx context.Context) error {
	changes, err := s.store.List(ctx, Log, LogKey(s.board.Tree.Load().N), page)
	if err != nil {
		return err
	}
	for _, e := range changes.Entries {
		if err := s.apply(e); err != nil {
			return err
		}
	}
	found, err := s.store.List(ctx, Maps, "", page)
	if err != nil {
		return err
	}
	for _, e := range found.Entries {
		var m shard.Map
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return eris.Wrapf(err, "shard map %s", e.Key)
		}
		if s.board.PutMap(&m) {
			s.log.Info("shard map in force", zap.String("service", m.Service), zap.Uint64("version", m.Version), zap.Uint64("index", m.Index))
		}
	}
	if s.board.Tree.Load().N > 0 {
		s.board.Advance(board.Ready)
	}
	return nil
}

func (s *Spread) apply(e store.Entry) error {
	var c tree.Change
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return eris.Wrapf(err, "change %s", e.Key)
	}
	var failed error
	s.board.Tree.Update(func(t *tree.Tree) *tree.Tree {
		if c.N <= t.N {
			return nil
		}
		next, err := t.Apply(c)
		if err != nil {
			failed = eris.Wrapf(err, "apply change %d", c.N)
			return nil
		}
		s.log.Info("change in force", zap.Uint64("n", c.N), zap.String("id", c.ID))
		return next
	})
	return failed
}
