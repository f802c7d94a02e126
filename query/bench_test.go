package query

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// benchTargetCounts are the numbers of targets per query to measure with.
var benchTargetCounts = []int{9, 25, 50, 99}

const (
	targetsPerKeeper = 14
	benchPayloadSize = 200 // bytes per shard
)

// benchMap returns a map with one shard per target, whose second replica is targetsPerKeeper targets further on.
func benchMap(targets int) *shard.Map {
	m := &shard.Map{Service: testService, Version: 1, Index: 1}
	for t := range targets {
		m.Targets = append(m.Targets, shard.Target{Name: fmt.Sprintf("t%d", t), Address: netip.MustParseAddrPort("127.0.0.1:1"), Datacentre: "aarhus", Slots: 3, Conns: 9})
		m.Shards = append(m.Shards, []int{t, (t + targetsPerKeeper) % targets})
	}
	return m
}

// benchEngine returns an engine with fake keepers that answer immediately, each for targetsPerKeeper targets.
func benchEngine(targets int) *Engine {
	clock := timer.New()
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "h1", Incarnation: 1}, Region: "jylland", Datacentre: "aarhus"})
	b.PutShardMap(benchMap(targets))
	e := New(clock, b, keeper.NewClient("h1", nil, nil), zap.NewNop(), tally.NoopScope)
	keepers := map[string]wire.Member{}
	for t := range targets {
		keepers[fmt.Sprintf("t%d", t)] = wire.Member{HostID: wire.HostID{Name: fmt.Sprintf("h%d", t/targetsPerKeeper)}, Region: "jylland", Datacentre: "aarhus"}
	}
	e.keeperTable = func() func(string) (wire.Member, bool) {
		return func(t string) (wire.Member, bool) { k, found := keepers[t]; return k, found }
	}
	payload := make([]byte, benchPayloadSize)
	e.ask = func(_ context.Context, _ wire.Member, q wire.Ask) (wire.AskReply, error) {
		r := wire.AskReply{ID: q.ID}
		for _, p := range q.Parts {
			result := wire.Result{Target: p.Target, Snapshot: q.Snapshot, Took: time.Millisecond}
			for _, s := range p.Shards {
				result.Parts = append(result.Parts, target.NewPart(s, payload))
			}
			r.Results = append(r.Results, result)
		}
		return r, nil
	}
	return e
}

// BenchmarkSlopeQuery measures a whole query without the network: planning, messages, merging and statistics.
func BenchmarkSlopeQuery(b *testing.B) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := benchEngine(n)
			b.ReportAllocs()
			for b.Loop() {
				if a, err := e.Run(b.Context(), Request{Service: testService}); err != nil || len(a.Missing) > 0 {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSlopePlan measures only the choice of replicas.
func BenchmarkSlopePlan(b *testing.B) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := benchEngine(n)
			m := e.board.ShardMap(testService)
			b.ReportAllocs()
			for b.Loop() {
				p := e.newPlanner(e.statsOf(testService), m)
				for s := range m.Shards {
					p.chooseReplica(s, nil)
				}
			}
		})
	}
}

// BenchmarkSlopeMerge measures only the merging of results.
func BenchmarkSlopeMerge(b *testing.B) {
	for _, n := range benchTargetCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := benchMap(n)
			results := make([]wire.Result, n)
			for s := range results {
				results[s] = wire.Result{Snapshot: m.Snapshot(), Parts: []target.Part{target.NewPart(s, make([]byte, benchPayloadSize))}}
			}
			b.ReportAllocs()
			for b.Loop() {
				merged := newMerger(m, newResultChecks())
				for s, r := range results {
					merged.add([]int{s}, r)
				}
				merged.answer("")
			}
		})
	}
}
