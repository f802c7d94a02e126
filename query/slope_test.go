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

// slopeSizes are the numbers of targets that a query asks.
var slopeSizes = []int{9, 25, 50, 99}

const (
	slopeBlock   = 14
	slopePayload = 200
)

func slopeMap(targets int) *shard.Map {
	m := &shard.Map{Service: service1, Version: 1, Index: 1}
	for t := range targets {
		m.Targets = append(m.Targets, shard.Target{Name: fmt.Sprintf("t%d", t), Address: netip.MustParseAddrPort("127.0.0.1:1"), Datacentre: "aarhus", Slots: 3, Conns: 9})
		m.Shards = append(m.Shards, []int{t, (t + slopeBlock) % targets})
	}
	return m
}

// slopeEngine asks keepers of blocks of targets that answer at once.
func slopeEngine(targets int) *Engine {
	clock := timer.New()
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "h1", Incarnation: 1}, Region: "jylland", Datacentre: "aarhus"})
	b.PutShardMap(slopeMap(targets))
	e := New(clock, b, keeper.NewClient("h1", nil, nil), zap.NewNop(), tally.NoopScope)
	keepers := map[string]wire.Member{}
	for t := range targets {
		keepers[fmt.Sprintf("t%d", t)] = wire.Member{HostID: wire.HostID{Name: fmt.Sprintf("h%d", t/slopeBlock)}, Region: "jylland", Datacentre: "aarhus"}
	}
	e.table = func() func(string) (wire.Member, bool) {
		return func(t string) (wire.Member, bool) { k, found := keepers[t]; return k, found }
	}
	payload := make([]byte, slopePayload)
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

// BenchmarkSlopeQuery measures plan, messages, merge and learning of one query without the wire.
func BenchmarkSlopeQuery(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := slopeEngine(n)
			b.ReportAllocs()
			for b.Loop() {
				if a, err := e.Run(b.Context(), Request{Service: service1}); err != nil || len(a.Missing) > 0 {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSlopePlan measures the choice of replicas alone.
func BenchmarkSlopePlan(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := slopeEngine(n)
			m := e.board.ShardMap(service1)
			b.ReportAllocs()
			for b.Loop() {
				p := e.planner(e.service(service1), m)
				for s := range m.Shards {
					p.replica(s, nil)
				}
			}
		})
	}
}

// BenchmarkSlopeMerge measures the merge alone.
func BenchmarkSlopeMerge(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := slopeMap(n)
			results := make([]wire.Result, n)
			for s := range results {
				results[s] = wire.Result{Snapshot: m.Snapshot(), Parts: []target.Part{target.NewPart(s, make([]byte, slopePayload))}}
			}
			b.ReportAllocs()
			for b.Loop() {
				merged := newMerge(m, newGuards())
				for s, r := range results {
					merged.add([]int{s}, r)
				}
				merged.answer("")
			}
		})
	}
}
