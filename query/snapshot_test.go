package query

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

func at(version, index uint64) shard.Snapshot {
	return shard.Snapshot{Map: version, Index: index}
}

func TestAnswerHoldsOneSnapshot(t *testing.T) {
	tests := map[string]struct {
		script func(map[string]*replica)
		// unguarded says that the merge takes wrong parts once its guard is out.
		unguarded bool
	}{
		"version change in flight":     {script: func(r map[string]*replica) { r["t0"].serves = at(1, 2) }, unguarded: true},
		"repartition in flight":        {script: func(r map[string]*replica) { r["t2"].serves = at(2, 1) }, unguarded: true},
		"replica lagging a version":    {script: func(r map[string]*replica) { r["t0"].serves = at(1, 0) }, unguarded: true},
		"target back with old version": {script: func(r map[string]*replica) { r["t1"].serves, r["t2"].serves = at(1, 0), at(0, 9) }, unguarded: true},
		"lagging and lost together": {script: func(r map[string]*replica) {
			r["t0"].serves = at(1, 0)
			r["t3"].fault = fault.New(fault.NoReplica, "t3 is lost")
		}, unguarded: true},
		"some refuse the version": {script: func(r map[string]*replica) {
			r["t0"].holds = []shard.Snapshot{at(1, 2)}
			r["t2"].holds = []shard.Snapshot{at(1, 0)}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(b *bench) {
				test.script(b.keepers.replicas)
				b.guards.same = func(_, _ shard.Snapshot) bool { return true }
				a := b.query(t, "salt")
				require.Equal(t, test.unguarded, len(violations(a, "salt")) > 0, "without the guard")
			})
			withEngine(t, func(b *bench) {
				test.script(b.keepers.replicas)
				a := b.query(t, "salt")
				require.Empty(t, violations(a, "salt"))
				requireTruthful(t, a, shardCount)
				require.Zero(t, a.Load.Replans, "the other replica must do")
			})
		})
	}
}

func TestReplanWholeOnNewerSnapshot(t *testing.T) {
	all := func(b *bench, holds ...shard.Snapshot) {
		for _, r := range b.keepers.replicas {
			r.holds = holds
		}
	}
	tests := map[string]struct {
		script func(*bench)
		want   shard.Snapshot
		shards int
	}{
		"index gone everywhere": {
			script: func(b *bench) { all(b, at(1, 2)) },
			want:   at(1, 2),
			shards: shardCount,
		},
		"repartition already on the board": {
			script: func(b *bench) {
				all(b, at(2, 1))
				b.keepers.onAsk = func(wire.Ask, int) { b.Engine.board.PutShardMap(testMap(2, 1, 2*shardCount)) }
			},
			want:   at(2, 1),
			shards: 2 * shardCount,
		},
		"two repartitions in flight": {
			script: func(b *bench) {
				all(b, at(3, 1))
				b.keepers.onAsk = func(q wire.Ask, _ int) { b.Engine.board.PutShardMap(testMap(q.Snapshot.Map+1, 1, shardCount)) }
			},
			want:   at(3, 1),
			shards: shardCount,
		},
		"repartition and lost target": {
			script: func(b *bench) {
				all(b, at(2, 1))
				b.keepers.replicas["t1"].fault = fault.New(fault.NoReplica, "t1 is lost")
				b.keepers.onAsk = func(wire.Ask, int) { b.Engine.board.PutShardMap(testMap(2, 1, shardCount)) }
			},
			want:   at(2, 1),
			shards: shardCount,
		},
		"newer index at the refusing target only": {
			script: func(b *bench) {
				all(b, at(1, 1), at(1, 2))
				b.keepers.replicas["t0"].holds = []shard.Snapshot{at(1, 2), at(1, 3)}
				b.keepers.replicas["t1"].holds = []shard.Snapshot{at(1, 2)}
			},
			want:   at(1, 2),
			shards: shardCount,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(b *bench) {
				test.script(b)
				b.plans = 1
				require.NotEmpty(t, b.query(t, "salt").Missing, "without replanning")
			})
			withEngine(t, func(b *bench) {
				test.script(b)
				a := b.query(t, "salt")
				require.Empty(t, a.Missing)
				require.Equal(t, test.want, a.Snapshot)
				require.Empty(t, violations(a, "salt"))
				requireTruthful(t, a, test.shards)
			})
		})
	}
}

func TestMapThatLagsIsAwaited(t *testing.T) {
	withEngine(t, func(b *bench) {
		for _, r := range b.keepers.replicas {
			r.holds = []shard.Snapshot{at(2, 1)}
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
		a := b.query(t, "salt")
		require.Equal(t, at(2, 1), a.Snapshot)
		require.Empty(t, a.Missing)
	})
}

func TestReplansAreBounded(t *testing.T) {
	withEngine(t, func(b *bench) {
		for _, r := range b.keepers.replicas {
			r.holds = []shard.Snapshot{at(99, 1)}
		}
		b.keepers.onAsk = func(q wire.Ask, _ int) { b.Engine.board.PutShardMap(testMap(q.Snapshot.Map+1, 1, shardCount)) }
		a := b.query(t, "salt")
		require.Equal(t, maxPlans-1, a.Load.Replans)
		require.Len(t, a.Missing, shardCount)
	})
}
