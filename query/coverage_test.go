package query

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// guardless engines have one guard of the merge taken out.
var guardless = map[string]func(*guards){
	"none": func(*guards) {},
	"total": func(g *guards) {
		g.total = func(m *shard.Map) int { return len(m.Shards) - 2 }
	},
	"whole":  func(g *guards) { g.whole = func(target.Part) bool { return true } },
	"fresh":  func(g *guards) { g.fresh = func(bool) bool { return true } },
	"wanted": func(g *guards) { g.wanted = func(bool) bool { return true } },
	"left":   func(g *guards) { g.left = func([]int, func(int) bool) []int { return nil } },
}

func lost(name string) *fault.Error {
	return fault.New(fault.NoReplica, "%s is lost", name)
}

func TestCoverageIsTruthful(t *testing.T) {
	tests := map[string]struct {
		script func(b *bench, off bool)
		// without names the guard that the case is about.
		without string
		missing int
	}{
		"shard lost": {
			script: func(b *bench, _ bool) {
				b.keepers.replicas["t0"].fault, b.keepers.replicas["t1"].fault = lost("t0"), lost("t1")
			},
			without: "total",
			missing: 2,
		},
		"wrong checksum":     {script: func(b *bench, _ bool) { b.keepers.replicas["t0"].corrupt = true }, without: "whole"},
		"cut short":          {script: func(b *bench, _ bool) { b.keepers.replicas["t2"].short = true }, without: "left"},
		"part not asked for": {script: func(b *bench, _ bool) { b.keepers.replicas["t0"].foreign = true }, without: "wanted"},
		"duplicated": {
			script: func(b *bench, _ bool) {
				b.keepers.replicas["t0"].twice = true
				b.keepers.replicas["t2"].late = true
			},
			without: "fresh",
		},
		"hedge and original both answering": {
			script: func(b *bench, off bool) {
				for _, name := range []string{"t2", "t3"} {
					b.keepers.replicas[name].late = true
				}
				b.keepers.replicas["t2"].short = true
				go func() {
					// The hedge's reply has been taken once its rest is waited for.
					<-b.keepers.waiting
					<-b.keepers.waiting
					b.keepers.let("t2")
					if !off {
						b.keepers.let("t3")
					}
				}()
			},
			without: "fresh",
		},
		"wrong checksum and shard lost": {
			script: func(b *bench, _ bool) {
				b.keepers.replicas["t0"].corrupt = true
				b.keepers.replicas["t1"].fault = lost("t1")
			},
			without: "whole",
			missing: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(b *bench) {
				test.script(b, true)
				guardless[test.without](&b.guards)
				a := b.query(t, "salt")
				exact := len(violations(a, "salt")) == 0 && a.Total == shardCount && len(a.Missing) == test.missing
				require.False(t, exact, "without the guard")
			})
			withEngine(t, func(b *bench) {
				test.script(b, false)
				a := b.query(t, "salt")
				require.Empty(t, violations(a, "salt"))
				require.Len(t, a.Missing, test.missing)
				requireTruthful(t, a, shardCount)
			})
		})
	}
}

// TestLateReplyIsMissing also shows that nothing is held back: the answer goes out when the deadline passes, not before.
func TestLateReplyIsMissing(t *testing.T) {
	withEngine(t, func(b *bench) {
		for _, r := range b.keepers.replicas {
			r.late = true
		}
		b.keepers.replicas["t0"].late = false
		answers := make(chan *Answer)
		go func() { answers <- b.query(t, "salt") }()
		<-b.keepers.waiting
		<-b.keepers.waiting
		b.manual.Advance(b.Engine.board.Tree.Load().ForService("jylland", service1).Deadline.D())
		a := <-answers
		b.keepers.let(allTargets...)
		requireTruthful(t, a, shardCount)
		require.NotEmpty(t, a.Missing)
		require.Contains(t, a.Missing[0].Reason, "no reply before the deadline")
	})
}

func TestMergeProperties(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		m := testMap(1, 1, shards)
		merged := newMerge(m, newGuards())
		truth := map[int]bool{}
		for range rapid.IntRange(0, 20).Draw(t, "results") {
			asked := rapid.SliceOfNDistinct(rapid.IntRange(0, shards-1), 0, shards, rapid.ID[int]).Draw(t, "asked")
			r, valid := drawResult(t, m, asked)
			open := merged.add(asked, r)
			for _, s := range valid {
				truth[s] = true
			}
			for _, s := range asked {
				require.Equal(t, !truth[s], contains(open, s))
			}
		}
		a := merged.answer("never answered")
		require.Len(t, a.Parts, len(truth))
		require.Equal(t, len(truth), merged.count)
		require.Equal(t, len(truth) == shards, merged.complete())
		require.Equal(t, shards, len(a.Parts)+len(a.Missing))
		for s := range a.Parts {
			require.True(t, truth[s])
			require.Equal(t, payload(nil, m.Snapshot(), s), string(a.Parts[s]))
		}
	})
}

func contains(all []int, s int) bool {
	for _, n := range all {
		if n == s {
			return true
		}
	}
	return false
}

// drawResult returns a reply to asked and the shards of it that may count.
func drawResult(t *rapid.T, m *shard.Map, asked []int) (r wire.Result, valid []int) {
	r = wire.Result{Target: "t0", Snapshot: m.Snapshot()}
	if rapid.Bool().Draw(t, "failed") {
		r.Fault = lost("t0")
	}
	r.Snapshot.Index += rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
	for _, s := range rapid.SliceOfN(rapid.IntRange(-1, len(m.Shards)), 0, 2*len(m.Shards)).Draw(t, "parts") {
		p := target.NewPart(s, []byte(payload(nil, r.Snapshot, s)))
		broken := rapid.SampledFrom([]bool{false, false, true}).Draw(t, "broken")
		if broken {
			p.Sum++
		}
		r.Parts = append(r.Parts, p)
		if !broken && r.Fault == nil && r.Snapshot == m.Snapshot() && contains(asked, s) {
			valid = append(valid, s)
		}
	}
	return r, valid
}
