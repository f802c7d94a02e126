package query

import (
	"context"
	"time"

	"kingcupcross/shard"
	"kingcupcross/tree"
)

// maxPlans is the maximum number of plans per query, the first included.
const maxPlans = 4

// execution is the state of one query across all its plans.
type execution struct {
	engine   *Engine
	request  Request
	stats    *serviceStats
	settings *tree.Values
	deadline time.Time
	// tailTime is when an answer with enough coverage is returned without the remaining shards.
	tailTime    time.Time
	minCoverage float64
	// plannedOn holds the snapshots that the query was planned on; firstSnapshot is the oldest of them.
	plannedOn     map[shard.Snapshot]bool
	firstSnapshot shard.Snapshot
	counts        SubRequestCounts
}

func newExecution(e *Engine, r Request, v *tree.Values, timeout time.Duration, minCoverage float64) *execution {
	now := e.clock.Now()
	return &execution{
		engine:      e,
		request:     r,
		stats:       e.statsOf(r.Service),
		settings:    v,
		deadline:    now.Add(timeout),
		tailTime:    now.Add(tailTimeout(v, timeout)),
		minCoverage: minCoverage,
		plannedOn:   map[shard.Snapshot]bool{},
	}
}

// execute plans the query on m. If shards are missing because the snapshot is gone from their targets, it plans the whole
// query again on a newer snapshot. It returns the answer with the most coverage, since answers of different snapshots are
// never merged.
func (r *execution) execute(ctx context.Context, m *shard.Map) *Answer {
	r.firstSnapshot = m.Snapshot()
	var best *Answer
	for m != nil {
		r.plannedOn[m.Snapshot()] = true
		a := newAttempt(r, m)
		got := a.run(ctx)
		if best == nil || got.Coverage() > best.Coverage() {
			best = got
		}
		if !a.snapshotLost || len(r.plannedOn) == r.engine.planLimit || r.answerDue(ctx, best) {
			break
		}
		if m = r.awaitNewerMap(ctx, m, a.newerSnapshots); m != nil {
			r.counts.Replans++
		}
	}
	best.SubRequests = r.counts
	return best
}

// answerDue reports whether there is no time for another plan: the context has ended, or the tail time has passed and
// the best answer has enough coverage.
func (r *execution) answerDue(ctx context.Context, best *Answer) bool {
	now := r.engine.clock.Now()
	return ctx.Err() != nil || (!now.Before(r.tailTime) && best.Coverage() >= r.minCoverage)
}

// awaitNewerMap returns the shard map for the next plan, or nil. If targets named a shard map that this host does not have
// yet, it waits for it for at most half of the remaining time.
func (r *execution) awaitNewerMap(ctx context.Context, m *shard.Map, named []shard.Snapshot) *shard.Map {
	wait, cancel := r.engine.clock.WithTimeout(ctx, r.tailTime.Sub(r.engine.clock.Now())/2)
	defer cancel()
	for {
		changed := r.engine.board.ShardMaps.Changed()
		if newer := r.newerMap(m, named); newer != nil {
			return newer
		}
		if !r.expectsNewerMap(m, named) {
			return nil
		}
		select {
		case <-changed:
		case <-wait.Done():
			return nil
		}
	}
}

// expectsNewerMap reports whether a target named a newer version of the shard map than m.
func (r *execution) expectsNewerMap(m *shard.Map, named []shard.Snapshot) bool {
	for _, h := range named {
		if h.Map > m.Version {
			return true
		}
	}
	return false
}

// newerMap returns a map that is newer than that of the first plan and was not planned on yet, or nil: the board's map or
// else m at the lowest such index version that a target named.
func (r *execution) newerMap(m *shard.Map, named []shard.Snapshot) *shard.Map {
	b := r.engine.board.ShardMap(r.request.Service)
	if b != nil && r.isUnplanned(b.Snapshot()) {
		return b
	}
	var index uint64
	for _, h := range named {
		if h.Map == m.Version && r.isUnplanned(h) && (index == 0 || h.Index < index) {
			index = h.Index
		}
	}
	if index == 0 {
		return nil
	}
	return m.WithIndex(index)
}

// isUnplanned reports whether a snapshot is newer than the first one and was not planned on yet.
func (r *execution) isUnplanned(s shard.Snapshot) bool {
	return r.firstSnapshot.Less(s) && !r.plannedOn[s]
}
