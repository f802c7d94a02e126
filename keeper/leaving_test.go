package keeper

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/emul"
	"kingcupcross/target"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// TestLeavingTargetGetsNoNewWork shows for each fault that nothing comes to a leaving target after its first sign, and that something does with the guard off.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	neither := func(p *policy) { p.sticks = false }
	alone := func(p *policy) { p.spreads = false }
	sign := func(b *bench) {
		_, k := b.keeper()
		b.target.Leave()
		_, err := b.send(k)
		require.Error(b.t, err)
	}
	for _, c := range []struct {
		name  string
		off   func(*policy)
		fault func(b *bench) *host
	}{
		{
			name: "refusal",
			off:  neither,
			fault: func(b *bench) *host {
				sign(b)
				_, k := b.keeper()
				return k
			},
		},
		{
			name: "reply of work in flight",
			off:  neither,
			fault: func(b *bench) *host {
				_, k := b.keeper()
				l, err := b.send(k)
				require.NoError(b.t, err)
				b.target.Leave()
				b.finish(l)
				return k
			},
		},
		{
			name: "lagging health says that it isn't leaving",
			off:  neither,
			fault: func(b *bench) *host {
				_, k := b.keeper()
				sign(b)
				b.target.SetFaults(emul.TargetFaults{Lag: units.Duration(10 * time.Second)})
				b.withEndpoint(func(g *gate) { g.check(context.Background()) })
				return k
			},
		},
		{
			name: "only the health endpoint says so",
			off:  neither,
			fault: func(b *bench) *host {
				_, k := b.keeper()
				b.target.Leave()
				b.withEndpoint(func(g *gate) { g.check(context.Background()) })
				return k
			},
		},
		{
			name: "sign seen by one host only, which is killed",
			off:  alone,
			fault: func(b *bench) *host {
				name, _ := b.keeper()
				successor, _ := b.successor(name)
				sign(b)
				b.kill(name)
				b.run(3 * time.Second)
				return b.hosts[successor]
			},
		},
		{
			name: "sign and keeper change together",
			off:  func(p *policy) { p.sticks, p.spreads = false, false },
			fault: func(b *bench) *host {
				name, old := b.keeper()
				successor, third := b.successor(name)
				old.keeper.leaving.Store(true)
				sign(b)
				b.see(name, wire.Leaving, false, name, successor, third)
				b.run(2 * benchStep)
				return b.hosts[successor]
			},
		},
		{
			name: "lagging host list: the successor takes the leaving keeper for living and asks late",
			off:  neither,
			fault: func(b *bench) *host {
				name, old := b.keeper()
				old.keeper.leaving.Store(true)
				sign(b)
				b.run(3 * time.Second)
				require.Contains(b.t, b.hosts, name)
				return old
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			late := func(guard func(*policy)) int {
				n := 0
				withBench(t, 3, guard, func(b *bench) {
					b.unguarded = guard != nil
					k := c.fault(b)
					before := b.target.Witness().Late
					for range 8 {
						b.run(500 * time.Millisecond)
						b.flood(k)
					}
					n = b.target.Witness().Late - before
				})
				return n
			}
			require.Positive(t, late(c.off))
			require.Zero(t, late(nil))
		})
	}
}

// TestSignEndsWithANewProcess shows that work comes back through the cold ramp once another process is seen.
func TestSignEndsWithANewProcess(t *testing.T) {
	withBench(t, 3, nil, func(b *bench) {
		_, k := b.keeper()
		b.target.Leave()
		_, err := b.send(k)
		require.Error(t, err)
		b.target.Restart()
		require.Zero(t, b.flood(k), "nobody has seen the new process")
		b.withEndpoint(func(g *gate) { g.check(context.Background()) })
		require.Equal(t, 1, b.flood(k))
	})
}

func TestWorkInFlightOfALeavingTargetFinishes(t *testing.T) {
	withBench(t, 3, nil, func(b *bench) {
		_, k := b.keeper()
		first, err := b.send(k)
		require.NoError(t, err)
		second, err := b.send(k)
		require.NoError(t, err)
		b.target.Leave()
		b.finish(first)
		require.Equal(t, target.Leaving, k.keeper.Gates()[0].Phase)
		b.finish(second)
		require.Zero(t, k.keeper.Gates()[0].Busy)
	})
}
