package query

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

func snapshotAt(version, index uint64) shard.Snapshot {
	return shard.Snapshot{Map: version, Index: index}
}

func TestAnswerHoldsOneSnapshot(t *testing.T) {
	tests := map[string]struct {
		script func(map[string]*scriptedTarget)
		// wrongUnchecked says that wrong parts are merged while the check is disabled.
		wrongUnchecked bool
	}{
		"version change in flight":  {script: func(r map[string]*scriptedTarget) { r["t0"].answersFrom = snapshotAt(1, 2) }, wrongUnchecked: true},
		"repartition in flight":     {script: func(r map[string]*scriptedTarget) { r["t2"].answersFrom = snapshotAt(2, 1) }, wrongUnchecked: true},
		"replica lagging a version": {script: func(r map[string]*scriptedTarget) { r["t0"].answersFrom = snapshotAt(1, 0) }, wrongUnchecked: true},
		"target back with old version": {script: func(r map[string]*scriptedTarget) {
			r["t1"].answersFrom, r["t2"].answersFrom = snapshotAt(1, 0), snapshotAt(0, 9)
		}, wrongUnchecked: true},
		"lagging and lost together": {script: func(r map[string]*scriptedTarget) {
			r["t0"].answersFrom = snapshotAt(1, 0)
			r["t3"].fault = fault.New(fault.NoReplica, "t3 is lost")
		}, wrongUnchecked: true},
		"some refuse the version": {script: func(r map[string]*scriptedTarget) {
			r["t0"].heldSnapshots = []shard.Snapshot{snapshotAt(1, 2)}
			r["t2"].heldSnapshots = []shard.Snapshot{snapshotAt(1, 0)}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEngine(t, func(b *testEngine) {
				test.script(b.keepers.targets)
				b.checks.sameSnapshot = func(_, _ shard.Snapshot) bool { return true }
				a := b.runQuery(t, "salt")
				require.Equal(t, test.wrongUnchecked, len(wrongParts(a, "salt")) > 0, "with the check disabled")
			})
			withTestEngine(t, func(b *testEngine) {
				test.script(b.keepers.targets)
				a := b.runQuery(t, "salt")
				require.Empty(t, wrongParts(a, "salt"))
				requireConsistent(t, a, shardCount)
				require.Zero(t, a.SubRequests.Replans, "the other replica must be enough")
			})
		})
	}
}

func TestReplanWholeOnNewerSnapshot(t *testing.T) {
	setHeld := func(b *testEngine, snapshots ...shard.Snapshot) {
		for _, r := range b.keepers.targets {
			r.heldSnapshots = snapshots
		}
	}
	tests := map[string]struct {
		script func(*testEngine)
		want   shard.Snapshot
		shards int
	}{
		"index gone everywhere": {
			script: func(b *testEngine) { setHeld(b, snapshotAt(1, 2)) },
			want:   snapshotAt(1, 2),
			shards: shardCount,
		},
		"repartition already on the board": {
			script: func(b *testEngine) {
				setHeld(b, snapshotAt(2, 1))
				b.keepers.onAsk = func(wire.Ask, int) { b.Engine.board.PutShardMap(testMap(2, 1, 2*shardCount)) }
			},
			want:   snapshotAt(2, 1),
			shards: 2 * shardCount,
		},
		"two repartitions in flight": {
			script: func(b *testEngine) {
				setHeld(b, snapshotAt(3, 1))
				b.keepers.onAsk = func(q wire.Ask, _ int) { b.Engine.board.PutShardMap(testMap(q.Snapshot.Map+1, 1, shardCount)) }
			},
			want:   snapshotAt(3, 1),
			shards: shardCount,
		},
		"repartition and lost target": {
			script: func(b *testEngine) {
				setHeld(b, snapshotAt(2, 1))
				b.keepers.targets["t1"].fault = fault.New(fault.NoReplica, "t1 is lost")
				b.keepers.onAsk = func(wire.Ask, int) { b.Engine.board.PutShardMap(testMap(2, 1, shardCount)) }
			},
			want:   snapshotAt(2, 1),
			shards: shardCount,
		},
		"newer index at the refusing target only": {
			script: func(b *testEngine) {
				setHeld(b, snapshotAt(1, 1), snapshotAt(1, 2))
				b.keepers.targets["t0"].heldSnapshots = []shard.Snapshot{snapshotAt(1, 2), snapshotAt(1, 3)}
				b.keepers.targets["t1"].heldSnapshots = []shard.Snapshot{snapshotAt(1, 2)}
			},
			want:   snapshotAt(1, 2),
			shards: shardCount,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEngine(t, func(b *testEngine) {
				test.script(b)
				b.planLimit = 1
				require.NotEmpty(t, b.runQuery(t, "salt").Missing, "without replanning shards must be missing")
			})
			withTestEngine(t, func(b *testEngine) {
				test.script(b)
				a := b.runQuery(t, "salt")
				require.Empty(t, a.Missing)
				require.Equal(t, test.want, a.Snapshot)
				require.Empty(t, wrongParts(a, "salt"))
				requireConsistent(t, a, test.shards)
			})
		})
	}
}

func TestReplanWaitsForNewerMap(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for _, r := range b.keepers.targets {
			r.heldSnapshots = []shard.Snapshot{snapshotAt(2, 1)}
		}
		var asks sync.WaitGroup
		asks.Add(2)
		b.keepers.onAsk = func(q wire.Ask, _ int) {
			if q.Snapshot.Map == 1 {
				asks.Done()
			}
		}
		go func() {
			asks.Wait()
			b.Engine.board.PutShardMap(testMap(2, 1, shardCount))
		}()
		a := b.runQuery(t, "salt")
		require.Equal(t, snapshotAt(2, 1), a.Snapshot)
		require.Empty(t, a.Missing)
	})
}

func TestReplansAreBounded(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for _, r := range b.keepers.targets {
			r.heldSnapshots = []shard.Snapshot{snapshotAt(99, 1)}
		}
		b.keepers.onAsk = func(q wire.Ask, _ int) { b.Engine.board.PutShardMap(testMap(q.Snapshot.Map+1, 1, shardCount)) }
		a := b.runQuery(t, "salt")
		require.Equal(t, maxPlans-1, a.SubRequests.Replans)
		require.Len(t, a.Missing, shardCount)
	})
}
