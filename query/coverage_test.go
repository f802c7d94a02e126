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

// removedChecks disables one check of the merger each.
var removedChecks = map[string]func(*resultChecks){
	"none": func(*resultChecks) {},
	"total": func(c *resultChecks) {
		c.shardTotal = func(m *shard.Map) int { return len(m.Shards) - 2 }
	},
	"whole":  func(c *resultChecks) { c.checksumMatches = func(target.Part) bool { return true } },
	"fresh":  func(c *resultChecks) { c.notAnswered = func(bool) bool { return true } },
	"wanted": func(c *resultChecks) { c.wasRequested = func(bool) bool { return true } },
	"left":   func(c *resultChecks) { c.unansweredOf = func([]int, func(int) bool) []int { return nil } },
}

// noReplicaFault is the fault of a target that can't be reached.
func noReplicaFault(name string) *fault.Error {
	return fault.New(fault.NoReplica, "%s is lost", name)
}

// TestCoverageMatchesAnsweredShards guards against answers that count a shard as answered, or state a coverage, that does not
// match the parts received.
func TestCoverageMatchesAnsweredShards(t *testing.T) {
	tests := map[string]struct {
		// script sets up the case; disabled says that the check of the case is disabled.
		script func(b *testEngine, disabled bool)
		// check is the key in removedChecks of the check that the case needs.
		check   string
		missing int
	}{
		"shard lost": {
			script: func(b *testEngine, _ bool) {
				b.keepers.targets["t0"].fault, b.keepers.targets["t1"].fault = noReplicaFault("t0"), noReplicaFault("t1")
			},
			check:   "total",
			missing: 2,
		},
		"wrong checksum":     {script: func(b *testEngine, _ bool) { b.keepers.targets["t0"].corrupt = true }, check: "whole"},
		"cut short":          {script: func(b *testEngine, _ bool) { b.keepers.targets["t2"].omitsLast = true }, check: "left"},
		"part not asked for": {script: func(b *testEngine, _ bool) { b.keepers.targets["t0"].addsForeign = true }, check: "wanted"},
		"duplicated": {
			script: func(b *testEngine, _ bool) {
				b.keepers.targets["t0"].repeatsParts = true
				b.keepers.targets["t2"].late = true
			},
			check: "fresh",
		},
		"hedge and original both answering": {
			script: func(b *testEngine, disabled bool) {
				for _, name := range []string{"t2", "t3"} {
					b.keepers.targets[name].late = true
				}
				b.keepers.targets["t2"].omitsLast = true
				go func() {
					// The engine has handled the hedge's first reply once it asks for the rest.
					<-b.keepers.awaitedAsks
					<-b.keepers.awaitedAsks
					b.keepers.release("t2")
					if !disabled {
						b.keepers.release("t3")
					}
				}()
			},
			check: "fresh",
		},
		"wrong checksum and shard lost": {
			script: func(b *testEngine, _ bool) {
				b.keepers.targets["t0"].corrupt = true
				b.keepers.targets["t1"].fault = noReplicaFault("t1")
			},
			check:   "whole",
			missing: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEngine(t, func(b *testEngine) {
				test.script(b, true)
				removedChecks[test.check](&b.checks)
				a := b.runQuery(t, "salt")
				correct := len(wrongParts(a, "salt")) == 0 && a.ShardCount == shardCount && len(a.Missing) == test.missing
				require.False(t, correct, "with the check disabled the answer must be wrong")
			})
			withTestEngine(t, func(b *testEngine) {
				test.script(b, false)
				a := b.runQuery(t, "salt")
				require.Empty(t, wrongParts(a, "salt"))
				require.Len(t, a.Missing, test.missing)
				requireConsistent(t, a, shardCount)
			})
		})
	}
}

// TestShardWithoutReplyAtDeadlineIsMissing checks that an answer is returned when the deadline passes, with the shards that
// have answered until then.
func TestShardWithoutReplyAtDeadlineIsMissing(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for _, r := range b.keepers.targets {
			r.late = true
		}
		b.keepers.targets["t0"].late = false
		answers := make(chan *Answer)
		go func() { answers <- b.runQuery(t, "salt") }()
		<-b.keepers.awaitedAsks
		<-b.keepers.awaitedAsks
		b.manualClock.Advance(b.Engine.board.Tree.Load().ForService("jylland", testService).Deadline.D())
		a := <-answers
		b.keepers.release(allTargets...)
		requireConsistent(t, a, shardCount)
		require.NotEmpty(t, a.Missing)
		require.Contains(t, a.Missing[0].Reason, "no reply before the deadline")
	})
}

func TestMergerProperties(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		m := testMap(1, 1, shards)
		merged := newMerger(m, newResultChecks())
		answered := map[int]bool{}
		for range rapid.IntRange(0, 20).Draw(t, "results") {
			requested := rapid.SliceOfNDistinct(rapid.IntRange(0, shards-1), 0, shards, rapid.ID[int]).Draw(t, "asked")
			r, counted := drawResult(t, m, requested)
			unanswered := merged.add(requested, r)
			for _, s := range counted {
				answered[s] = true
			}
			for _, s := range requested {
				require.Equal(t, !answered[s], containsShard(unanswered, s))
			}
		}
		a := merged.answer("no reply")
		require.Len(t, a.Parts, len(answered))
		require.Equal(t, len(answered), merged.answeredCount)
		require.Equal(t, len(answered) == shards, merged.complete())
		require.Equal(t, shards, len(a.Parts)+len(a.Missing))
		for s := range a.Parts {
			require.True(t, answered[s])
			require.Equal(t, payload(nil, m.Snapshot(), s), string(a.Parts[s]))
		}
	})
}

func containsShard(all []int, s int) bool {
	for _, n := range all {
		if n == s {
			return true
		}
	}
	return false
}

// drawResult draws a result for the requested shards, and returns the shards whose parts may be merged.
func drawResult(t *rapid.T, m *shard.Map, requested []int) (r wire.Result, valid []int) {
	r = wire.Result{Target: "t0", Snapshot: m.Snapshot()}
	if rapid.Bool().Draw(t, "failed") {
		r.Fault = noReplicaFault("t0")
	}
	r.Snapshot.Index += rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
	for _, s := range rapid.SliceOfN(rapid.IntRange(-1, len(m.Shards)), 0, 2*len(m.Shards)).Draw(t, "parts") {
		p := target.NewPart(s, []byte(payload(nil, r.Snapshot, s)))
		damaged := rapid.SampledFrom([]bool{false, false, true}).Draw(t, "broken")
		if damaged {
			p.Sum++
		}
		r.Parts = append(r.Parts, p)
		if !damaged && r.Fault == nil && r.Snapshot == m.Snapshot() && containsShard(requested, s) {
			valid = append(valid, s)
		}
	}
	return r, valid
}
