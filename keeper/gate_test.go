package keeper

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/bound"
	"kingcupcross/emul"
	"kingcupcross/target"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// gate returns the gate of the target at its keeper.
func (b *cluster) gate() *gate {
	_, k := b.keeper()
	g, f := k.keeper.gateFor("s1", "t1")
	require.Nil(b.t, f)
	return g
}

// withEndpoint runs f with the keeper's gate after giving it a client that reaches the target over HTTP.
func (b *cluster) withEndpoint(f func(g *gate)) {
	server := httptest.NewServer(b.target.Handler())
	defer server.Close()
	g := b.gate()
	g.client = target.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 2, bound.NewMemory(1<<20))
	f(g)
}

// TestRestartedTargetIsDetected checks how many excess requests reach a target that turned cold without warning, and that there are more with the guard disabled.
func TestRestartedTargetIsDetected(t *testing.T) {
	for _, c := range []struct {
		name         string
		disableGuard func(*guards)
		restart      func(b *cluster, k *host)
		// maxExcess is the number of excess requests allowed: those sent before the first sign of the restart could be seen.
		maxExcess int
	}{
		{
			name:         "by the first reply of the new process",
			disableGuard: func(g *guards) { g.useStatedState = false },
			restart: func(b *cluster, k *host) {
				r, err := b.send(k)
				require.NoError(b.t, err)
				b.target.Restart()
				b.finish(r)
			},
		},
		{
			name:         "by a failed request",
			disableGuard: func(g *guards) { g.suspectRestarts = false },
			restart: func(b *cluster, k *host) {
				r, err := b.send(k)
				require.NoError(b.t, err)
				b.target.Restart()
				b.requests = nil
				b.target.ReleaseSlot()
				r.permit.deadline = b.clock.Now()
				r.permit.done(target.State{}, errNoReply)
			},
		},
		{
			name:         "by the end of an idle connection",
			disableGuard: func(g *guards) { g.suspectRestarts = false },
			restart: func(b *cluster, _ *host) {
				b.target.Restart()
				b.gate().onDisconnect()
			},
		},
		{
			name:         "by a reply that is overdue",
			disableGuard: func(g *guards) { g.suspectRestarts = false },
			restart: func(b *cluster, k *host) {
				_, err := b.send(k)
				require.NoError(b.t, err)
				b.run(overdueFactor*stepTime + 2*stepTime)
				b.target.Restart()
				b.requests = nil
				b.target.ReleaseSlot()
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			excess := func(disableGuard func(*guards)) int {
				n := 0
				withCluster(t, 3, disableGuard, func(b *cluster) {
					b.guardDisabled = disableGuard != nil
					_, k := b.keeper()
					before := b.target.Stats().Excess
					c.restart(b, k)
					b.flood(k)
					n = b.target.Stats().Excess - before
				})
				return n
			}
			require.Positive(t, excess(c.disableGuard))
			require.LessOrEqual(t, excess(nil), c.maxExcess)
		})
	}
}

// TestLimitAfterSuspectedAndRealRestart checks that a suspected restart lowers the limit until a reply of the same process, and that a real restart lowers it until requests succeed again.
func TestLimitAfterSuspectedAndRealRestart(t *testing.T) {
	withCluster(t, 3, nil, func(b *cluster) {
		_, k := b.keeper()
		require.Equal(t, targetSlots, b.flood(k))
		b.serve(stepTime)
		b.gate().onDisconnect()
		require.Equal(t, 1, b.gate().limiter.limit)
		r, err := b.send(k)
		require.NoError(t, err)
		b.finish(r)
		require.Equal(t, targetSlots, b.gate().limiter.limit, "a reply of the same warm process restores the limit")

		b.target.Restart()
		r, err = b.send(k)
		require.NoError(t, err)
		b.finish(r)
		require.Equal(t, 1, b.gate().limiter.limit)
		b.serve(time.Second, k)
		require.Equal(t, targetSlots, b.gate().limiter.limit)
		require.Zero(t, b.target.Stats().Excess)
	})
}

// TestUnreliableStateEndpointDoesNotRaiseLimit checks that the state endpoint of a restarted target doesn't raise the limit while it returns an outdated or false state.
func TestUnreliableStateEndpointDoesNotRaiseLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults emul.TargetFaults
	}{
		{name: "outdated state", faults: emul.TargetFaults{Lag: units.Duration(time.Minute)}},
		{name: "false state", faults: emul.TargetFaults{Lie: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 3, nil, func(b *cluster) {
				_, k := b.keeper()
				b.run(10 * time.Second)
				b.target.Restart()
				b.target.SetFaults(c.faults)
				r, err := b.send(k)
				require.NoError(t, err)
				b.finish(r)
				b.withEndpoint(func(g *gate) {
					g.checkState(context.Background())
					require.Equal(t, 1, g.limiter.limit)
				})
			})
		})
	}
}

// TestIsolatedHostSendsUntilAnotherIsReported checks that the only living host doesn't stop sending when all peers are silent, and that it stops when the target reports requests of another host.
func TestIsolatedHostSendsUntilAnotherIsReported(t *testing.T) {
	withCluster(t, 3, nil, func(b *cluster) {
		name, k := b.keeper()
		for o := range b.hosts {
			if o != name {
				b.hosts[o].paused = true
				b.setHostState(o, wire.Dead, false, name)
			}
		}
		g := b.gate()
		g.limiter.limit = 2 // this host's share, a third of two, rounds down to zero
		require.Zero(t, func() int { b.run(time.Second); return b.flood(k) }())
		b.run(isolationTime)
		require.Equal(t, 1, b.flood(k))
		b.finish(b.requests[0])
		require.Nil(t, b.target.AcquireSlot(), "another host's request")
		g.limiter.limit = 2
		r, err := b.send(k)
		require.NoError(t, err)
		b.finish(r)
		g.limiter.limit = 2
		require.Zero(t, b.flood(k), "the target reported a request of another host")
	})
}

// TestQueueAdmitsByClassAndRefusesLateRequests checks that waiting requests are admitted by class and that one that would be late is refused.
func TestQueueAdmitsByClassAndRefusesLateRequests(t *testing.T) {
	withCluster(t, 1, nil, func(b *cluster) {
		_, k := b.keeper()
		g := b.gate()
		require.Equal(t, targetSlots, b.flood(k))
		ended := make(chan wire.Class, 3)
		for _, c := range []wire.Class{wire.Bulk, wire.Routine, wire.Recall} {
			go func() {
				p, err := g.acquire(context.Background(), c, b.clock.Now().Add(time.Minute))
				if err == nil {
					ended <- c
					p.done(target.State{}, nil)
				}
			}()
			require.Eventually(t, func() bool { return g.waiting() == int(wire.Bulk-c)+1 }, 5*time.Second, time.Millisecond)
		}
		_, err := g.acquire(context.Background(), wire.Bulk, b.clock.Now().Add(time.Millisecond))
		require.ErrorContains(t, err, "toolate", "a request that can't meet its deadline is refused at once")
		b.finish(b.requests[0])
		require.Equal(t, wire.Recall, <-ended)
		require.Equal(t, wire.Routine, <-ended)
		require.Equal(t, wire.Bulk, <-ended)
	})
}

// waiting returns the number of queued requests.
func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue.waiters)
}
