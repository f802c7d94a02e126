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

// TestLeavingTargetGetsNoNewRequests checks for each fault that a leaving target gets no new requests after its first leaving signal, and that it does get some with the guard against that fault disabled.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	forgetLeaving := func(g *guards) { g.rememberLeaving = false }
	noBroadcast := func(g *guards) { g.broadcastLeaving = false }
	// signalLeaving lets the keeper see the first leaving signal, in a refusal.
	signalLeaving := func(b *cluster) {
		_, k := b.keeper()
		b.target.Leave()
		_, err := b.send(k)
		require.Error(b.t, err)
	}
	for _, c := range []struct {
		name         string
		disableGuard func(*guards)
		fault        func(b *cluster) *host
	}{
		{
			name:         "leaving signal in a refusal",
			disableGuard: forgetLeaving,
			fault: func(b *cluster) *host {
				signalLeaving(b)
				_, k := b.keeper()
				return k
			},
		},
		{
			name:         "leaving signal in the reply to a request in flight",
			disableGuard: forgetLeaving,
			fault: func(b *cluster) *host {
				_, k := b.keeper()
				r, err := b.send(k)
				require.NoError(b.t, err)
				b.target.Leave()
				b.finish(r)
				return k
			},
		},
		{
			name:         "lagging state endpoint says that it isn't leaving",
			disableGuard: forgetLeaving,
			fault: func(b *cluster) *host {
				_, k := b.keeper()
				signalLeaving(b)
				b.target.SetFaults(emul.TargetFaults{Lag: units.Duration(10 * time.Second)})
				b.withEndpoint(func(g *gate) { g.checkState(context.Background()) })
				return k
			},
		},
		{
			name:         "only the state endpoint says that it is leaving",
			disableGuard: forgetLeaving,
			fault: func(b *cluster) *host {
				_, k := b.keeper()
				b.target.Leave()
				b.withEndpoint(func(g *gate) { g.checkState(context.Background()) })
				return k
			},
		},
		{
			name:         "leaving signal seen by one host only, which is killed",
			disableGuard: noBroadcast,
			fault: func(b *cluster) *host {
				name, _ := b.keeper()
				successor, _ := b.expectedSuccessor(name)
				signalLeaving(b)
				b.kill(name)
				b.run(3 * time.Second)
				return b.hosts[successor]
			},
		},
		{
			name:         "leaving signal and keeper change together",
			disableGuard: func(g *guards) { g.rememberLeaving, g.broadcastLeaving = false, false },
			fault: func(b *cluster) *host {
				name, old := b.keeper()
				successor, third := b.expectedSuccessor(name)
				old.keeper.draining.Store(true)
				signalLeaving(b)
				b.setHostState(name, wire.Leaving, false, name, successor, third)
				b.run(2 * stepTime)
				return b.hosts[successor]
			},
		},
		{
			name:         "lagging view: the successor takes the leaving keeper for alive and asks it late",
			disableGuard: forgetLeaving,
			fault: func(b *cluster) *host {
				name, old := b.keeper()
				old.keeper.draining.Store(true)
				signalLeaving(b)
				b.run(3 * time.Second)
				require.Contains(b.t, b.hosts, name)
				return old
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			lateRequests := func(disableGuard func(*guards)) int {
				n := 0
				withCluster(t, 3, disableGuard, func(b *cluster) {
					b.guardDisabled = disableGuard != nil
					k := c.fault(b)
					before := b.target.Stats().Late
					for range 8 {
						b.run(500 * time.Millisecond)
						b.flood(k)
					}
					n = b.target.Stats().Late - before
				})
				return n
			}
			require.Positive(t, lateRequests(c.disableGuard))
			require.Zero(t, lateRequests(nil))
		})
	}
}

// TestNewProcessEndsLeavingState checks that requests are sent again, with the limit of a cold target, once another process of the target is seen.
func TestNewProcessEndsLeavingState(t *testing.T) {
	withCluster(t, 3, nil, func(b *cluster) {
		_, k := b.keeper()
		b.target.Leave()
		_, err := b.send(k)
		require.Error(t, err)
		b.target.Restart()
		require.Zero(t, b.flood(k), "no host has seen the new process yet")
		b.withEndpoint(func(g *gate) { g.checkState(context.Background()) })
		require.Equal(t, 1, b.flood(k))
	})
}

func TestRequestsInFlightAtLeavingTargetFinish(t *testing.T) {
	withCluster(t, 3, nil, func(b *cluster) {
		_, k := b.keeper()
		first, err := b.send(k)
		require.NoError(t, err)
		second, err := b.send(k)
		require.NoError(t, err)
		b.target.Leave()
		b.finish(first)
		require.Equal(t, target.Leaving, k.keeper.TargetStatuses()[0].Phase)
		b.finish(second)
		require.Zero(t, k.keeper.TargetStatuses()[0].Busy)
	})
}
