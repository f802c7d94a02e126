package query

import (
	"context"
	"time"

	"kingcupcross/shard"
	"kingcupcross/tree"
)

// maxPlans is the bound on how often one query is planned.
const maxPlans = 4

// run is one query under way, over all its plans.
type run struct {
	engine   *Engine
	request  Request
	service  *service
	values   *tree.Values
	deadline time.Time
	// tail is when an answer that covers enough goes out.
	tail   time.Time
	wanted float64
	// planned holds the snapshots that the query was planned on; first is the oldest.
	planned map[shard.Snapshot]bool
	first   shard.Snapshot
	load    Load
}

func newRun(e *Engine, r Request, v *tree.Values, left time.Duration, wanted float64) *run {
	now := e.clock.Now()
	return &run{
		engine:   e,
		request:  r,
		service:  e.service(r.Service),
		values:   v,
		deadline: now.Add(left),
		tail:     now.Add(tailOf(v, left)),
		wanted:   wanted,
		planned:  map[shard.Snapshot]bool{},
	}
}

// answer plans on m and, where shards went missing because the snapshot is gone, whole anew on a newer one; of the answers it returns the one that covers most.
func (r *run) answer(ctx context.Context, m *shard.Map) *Answer {
	r.first = m.Snapshot()
	var best *Answer
	for m != nil {
		r.planned[m.Snapshot()] = true
		a := newAttempt(r, m)
		got := a.perform(ctx)
		if best == nil || got.Coverage() > best.Coverage() {
			best = got
		}
		if !a.stuck || len(r.planned) == r.engine.plans || r.over(ctx, best) {
			break
		}
		if m = r.next(ctx, m, a.hints); m != nil {
			r.load.Replans++
		}
	}
	best.Load = r.load
	return best
}

// over reports whether the answer is due.
func (r *run) over(ctx context.Context, best *Answer) bool {
	now := r.engine.clock.Now()
	return ctx.Err() != nil || (!now.Before(r.tail) && best.Coverage() >= r.wanted)
}

// next returns the map to plan on anew: at once where one is known, else as soon as a newer partition reaches this host within half of the time left.
func (r *run) next(ctx context.Context, m *shard.Map, hints []shard.Snapshot) *shard.Map {
	wait, cancel := r.engine.clock.WithTimeout(ctx, r.tail.Sub(r.engine.clock.Now())/2)
	defer cancel()
	for {
		changed := r.engine.board.ShardMaps.Changed()
		if newer := r.newer(m, hints); newer != nil {
			return newer
		}
		if !r.awaited(m, hints) {
			return nil
		}
		select {
		case <-changed:
		case <-wait.Done():
			return nil
		}
	}
}

// awaited reports whether a target named a partition that this host hasn't got.
func (r *run) awaited(m *shard.Map, hints []shard.Snapshot) bool {
	for _, h := range hints {
		if h.Map > m.Version {
			return true
		}
	}
	return false
}

// newer returns the board's map or m at an index that a target named, if the query wasn't planned on it and it is newer than the first.
func (r *run) newer(m *shard.Map, hints []shard.Snapshot) *shard.Map {
	b := r.engine.board.ShardMap(r.request.Service)
	if b != nil && r.open(b.Snapshot()) {
		return b
	}
	var index uint64
	for _, h := range hints {
		if h.Map == m.Version && r.open(h) && (index == 0 || h.Index < index) {
			index = h.Index
		}
	}
	if index == 0 {
		return nil
	}
	return m.WithIndex(index)
}

func (r *run) open(s shard.Snapshot) bool {
	return r.first.Less(s) && !r.planned[s]
}
