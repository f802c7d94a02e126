package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// kill ends a host's process, of which the others have proof.
func (b *cluster) kill(name string) {
	b.hosts[name].killed = true
	for o := range b.hosts {
		if o != name {
			b.setHostState(name, wire.Dead, true, o)
		}
	}
}

// pause stops a host. The others see it as dead without proof.
func (b *cluster) pause(name string) {
	b.hosts[name].paused = true
	for o := range b.hosts {
		if o != name {
			b.setHostState(name, wire.Dead, false, o)
		}
	}
}

// resume continues a paused host, which has not rejoined the others yet.
func (b *cluster) resume(name string) {
	b.hosts[name].paused = false
}

// isolate cuts a host off from the others. They see it as dead at once; setOtherStates lets it see them as dead too.
func (b *cluster) isolate(name string) {
	b.callLost = func(from, to string) bool { return from == name || to == name }
	for o := range b.hosts {
		if o != name {
			b.setHostState(name, wire.Dead, false, o)
		}
	}
}

// setOtherStates changes the state of all other hosts in the view of the host name.
func (b *cluster) setOtherStates(name string, s wire.HostState) {
	for o := range b.hosts {
		if o != name {
			b.setHostState(o, s, false, name)
		}
	}
}

// TestTargetLimitHoldsUnderFaults checks for each fault that the target gets no more requests than it can handle, and that it gets more with the guard against that fault disabled.
func TestTargetLimitHoldsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name         string
		disableGuard func(*guards)
		fault        func(b *cluster)
	}{
		{
			name:         "keeper killed",
			disableGuard: func(g *guards) { g.lostRequestTime = 0 },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.flood(old)
				b.kill(name)
				for range 50 {
					b.run(stepTime)
					b.flood(b.hosts[successor])
				}
				b.requireKeeper(successor)
			},
		},
		{
			name: "keeper paused and continued",
			disableGuard: func(g *guards) {
				g.running = func() bool { return true }
				g.pauseCount = func() uint64 { return 0 }
			},
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.pause(name)
				b.run(9 * time.Second)
				b.resume(name)
				for range 20 {
					b.flood(old)
					b.flood(b.hosts[successor])
					b.run(stepTime)
				}
			},
		},
		{
			name:         "keeper paused, continued and joined again while another keeps the target",
			disableGuard: func(g *guards) { g.pauseCount = func() uint64 { return 0 } },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.pause(name)
				b.run(9 * time.Second)
				b.resume(name)
				old.board.PauseDetector.Heartbeat()
				old.board.PauseDetector.ClearCurrentFence()
				b.flood(old)
				b.flood(b.hosts[successor])
				b.run(stepTime)
			},
		},
		{
			name:         "two keepers by differing views: one takes the living keeper for leaving",
			disableGuard: func(g *guards) { g.askPeers, g.confirmReturned = false, false },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.setHostState(name, wire.Leaving, false, successor)
				b.serve(time.Second, old, b.hosts[successor])
			},
		},
		{
			name:         "handed over with requests in flight",
			disableGuard: func(g *guards) { g.countInherited = false },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, third := b.expectedSuccessor(name)
				b.flood(old)
				old.keeper.draining.Store(true)
				b.setHostState(name, wire.Leaving, false, name, successor, third)
				b.run(2 * stepTime)
				b.requireKeeper(successor)
				b.flood(b.hosts[successor])
			},
		},
		{
			name:         "keeper cut off from its peers but not from the target",
			disableGuard: func(g *guards) { g.share = func(limit int, _ *hostCounts) int { return limit } },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.isolate(name)
				b.run(3 * time.Second)
				b.setOtherStates(name, wire.Dead)
				b.serve(10*time.Second, old, b.hosts[successor])
			},
		},
		{
			name:         "silent keeper that has not yet seen that it is cut off",
			disableGuard: func(g *guards) { g.fencingTime = 0 },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.isolate(name)
				b.serve(4*time.Second, old, b.hosts[successor])
			},
		},
		{
			name:         "partition healed while both sides keep the target",
			disableGuard: func(g *guards) { g.confirmReturned = false },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, third := b.expectedSuccessor(name)
				b.isolate(name)
				b.run(3 * time.Second)
				b.setOtherStates(name, wire.Dead)
				b.serve(8*time.Second, old, b.hosts[successor])
				b.setOtherStates(name, wire.Alive)
				b.setHostState(name, wire.Alive, false, successor, third)
				b.serve(time.Second, old, b.hosts[successor])
				b.callLost = func(string, string) bool { return false }
				b.run(3 * time.Second)
				b.keeper()
			},
		},
		{
			name:         "two faults: keeper cut off, then killed while the other side keeps the target too",
			disableGuard: func(g *guards) { g.lostRequestTime, g.countForeignWork = 0, false },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.isolate(name)
				b.run(3 * time.Second)
				b.setOtherStates(name, wire.Dead)
				b.serve(8*time.Second, old, b.hosts[successor])
				b.callLost = func(string, string) bool { return false }
				b.kill(name)
				for range 10 {
					b.run(stepTime)
					b.flood(b.hosts[successor])
				}
			},
		},
		{
			name:         "two faults: answer to the hand-over lost, then the keeper killed",
			disableGuard: func(g *guards) { g.lostRequestTime = 0 },
			fault: func(b *cluster) {
				name, old := b.keeper()
				successor, third := b.expectedSuccessor(name)
				b.flood(old)
				b.replyLost = func(from, _ string) bool { return from == name }
				old.keeper.draining.Store(true)
				b.setHostState(name, wire.Leaving, false, name, successor, third)
				b.run(2 * stepTime)
				b.kill(name)
				for range 50 {
					b.run(stepTime)
					b.flood(b.hosts[successor])
				}
				b.requireKeeper(successor)
			},
		},
		{
			name:         "two faults: keeper killed and target cold again",
			disableGuard: func(g *guards) { g.coldLimit = func(int, int) int { return targetSlots } },
			fault: func(b *cluster) {
				name, _ := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				b.kill(name)
				b.target.Restart()
				b.run(3 * time.Second)
				b.flood(b.hosts[successor])
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var without, with int
			withCluster(t, 3, c.disableGuard, func(b *cluster) {
				b.guardDisabled = true
				before := b.target.Stats().Excess
				c.fault(b)
				without = b.target.Stats().Excess - before
			})
			withCluster(t, 3, nil, func(b *cluster) {
				before := b.target.Stats().Excess
				c.fault(b)
				with = b.target.Stats().Excess - before
			})
			require.Positive(t, without, "excess requests with the guard disabled")
			require.Zero(t, with, "excess requests")
		})
	}
}

// requireKeeper checks which host keeps the target, if no guard is disabled.
func (b *cluster) requireKeeper(name string) {
	b.t.Helper()
	if !b.guardDisabled {
		now, _ := b.keeper()
		require.Equal(b.t, name, now)
	}
}
