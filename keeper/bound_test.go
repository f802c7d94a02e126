package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// kill ends a host's process; the others learn it with proof.
func (b *bench) kill(name string) {
	b.hosts[name].killed = true
	for o := range b.hosts {
		if o != name {
			b.see(name, wire.Dead, true, o)
		}
	}
}

// pause stops a host, which the others take for dead without proof.
func (b *bench) pause(name string) {
	b.hosts[name].paused = true
	for o := range b.hosts {
		if o != name {
			b.see(name, wire.Dead, false, o)
		}
	}
}

// goOn continues a paused host, which has not yet joined the others again.
func (b *bench) goOn(name string) {
	b.hosts[name].paused = false
}

// part cuts one host off from the others, which it sees as dead after some seconds and they it.
func (b *bench) part(name string) {
	b.cut = func(from, to string) bool { return from == name || to == name }
	for o := range b.hosts {
		if o != name {
			b.see(name, wire.Dead, false, o)
		}
	}
}

func (b *bench) sees(name string, s wire.HostState) {
	for o := range b.hosts {
		if o != name {
			b.see(o, s, false, name)
		}
	}
}

// TestBoundHolds shows for each fault that the target gets no more than it bears, and that it gets more with the guard off.
func TestBoundHolds(t *testing.T) {
	for _, c := range []struct {
		name  string
		off   func(*policy)
		fault func(b *bench)
	}{
		{
			name: "keeper killed",
			off:  func(p *policy) { p.lostFlight = 0 },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.flood(old)
				b.kill(name)
				for range 50 {
					b.run(benchStep)
					b.flood(b.hosts[successor])
				}
				b.requireKeeper(successor)
			},
		},
		{
			name: "keeper paused and continued",
			off: func(p *policy) {
				p.awake = func() bool { return true }
				p.pauses = func() uint64 { return 0 }
			},
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.pause(name)
				b.run(9 * time.Second)
				b.goOn(name)
				for range 20 {
					b.flood(old)
					b.flood(b.hosts[successor])
					b.run(benchStep)
				}
			},
		},
		{
			name: "keeper paused, continued and joined again while another keeps the target",
			off:  func(p *policy) { p.pauses = func() uint64 { return 0 } },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.pause(name)
				b.run(9 * time.Second)
				b.goOn(name)
				old.board.Pulse.Beat()
				old.board.Pulse.Rejoin()
				b.flood(old)
				b.flood(b.hosts[successor])
				b.run(benchStep)
			},
		},
		{
			name: "two keepers by differing views: one takes the living keeper for leaving",
			off:  func(p *policy) { p.asks, p.confirms = false, false },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.see(name, wire.Leaving, false, successor)
				b.serve(time.Second, old, b.hosts[successor])
			},
		},
		{
			name: "handed over with requests in flight",
			off:  func(p *policy) { p.counts = false },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, third := b.successor(name)
				b.flood(old)
				old.keeper.leaving.Store(true)
				b.see(name, wire.Leaving, false, name, successor, third)
				b.run(2 * benchStep)
				b.requireKeeper(successor)
				b.flood(b.hosts[successor])
			},
		},
		{
			name: "keeper cut off from its peers but not from the target",
			off:  func(p *policy) { p.share = func(limit int, _ *census) int { return limit } },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.part(name)
				b.run(3 * time.Second)
				b.sees(name, wire.Dead)
				b.serve(10*time.Second, old, b.hosts[successor])
			},
		},
		{
			name: "silent keeper that has not yet seen that it is cut off",
			off:  func(p *policy) { p.silence = 0 },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.part(name)
				b.serve(4*time.Second, old, b.hosts[successor])
			},
		},
		{
			name: "cut healed while both sides keep the target",
			off:  func(p *policy) { p.confirms = false },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, third := b.successor(name)
				b.part(name)
				b.run(3 * time.Second)
				b.sees(name, wire.Dead)
				b.serve(8*time.Second, old, b.hosts[successor])
				b.sees(name, wire.Alive)
				b.see(name, wire.Alive, false, successor, third)
				b.serve(time.Second, old, b.hosts[successor])
				b.cut = func(string, string) bool { return false }
				b.run(3 * time.Second)
				b.keeper()
			},
		},
		{
			name: "two faults: keeper cut off, then killed while the other side keeps the target too",
			off:  func(p *policy) { p.lostFlight, p.witness = 0, false },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, _ := b.successor(name)
				b.part(name)
				b.run(3 * time.Second)
				b.sees(name, wire.Dead)
				b.serve(8*time.Second, old, b.hosts[successor])
				b.cut = func(string, string) bool { return false }
				b.kill(name)
				for range 10 {
					b.run(benchStep)
					b.flood(b.hosts[successor])
				}
			},
		},
		{
			name: "two faults: answer to the hand-over lost, then the keeper killed",
			off:  func(p *policy) { p.lostFlight = 0 },
			fault: func(b *bench) {
				name, old := b.keeper()
				successor, third := b.successor(name)
				b.flood(old)
				b.drop = func(from, _ string) bool { return from == name }
				old.keeper.leaving.Store(true)
				b.see(name, wire.Leaving, false, name, successor, third)
				b.run(2 * benchStep)
				b.kill(name)
				for range 50 {
					b.run(benchStep)
					b.flood(b.hosts[successor])
				}
				b.requireKeeper(successor)
			},
		},
		{
			name: "two faults: keeper killed and target cold again",
			off:  func(p *policy) { p.cold = func(int, int) int { return benchSlots } },
			fault: func(b *bench) {
				name, _ := b.keeper()
				successor, _ := b.successor(name)
				b.kill(name)
				b.target.Restart()
				b.run(3 * time.Second)
				b.flood(b.hosts[successor])
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var without, with int
			withBench(t, 3, c.off, func(b *bench) {
				b.unguarded = true
				before := b.target.Witness().Excess
				c.fault(b)
				without = b.target.Witness().Excess - before
			})
			withBench(t, 3, nil, func(b *bench) {
				before := b.target.Witness().Excess
				c.fault(b)
				with = b.target.Witness().Excess - before
			})
			require.Positive(t, without, "with the guard off the target gets more than it bears")
			require.Zero(t, with, "the target gets no more than it bears")
		})
	}
}

func (b *bench) requireKeeper(name string) {
	b.t.Helper()
	if !b.unguarded {
		now, _ := b.keeper()
		require.Equal(b.t, name, now)
	}
}
