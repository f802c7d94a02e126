package keeper

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/emul"
	"kingcupcross/target"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// gate returns the keeper's gate of the target.
func (b *bench) gate() *gate {
	_, k := b.keeper()
	g, f := k.keeper.gate("s1", "t1")
	require.Nil(b.t, f)
	return g
}

// withEndpoint gives the keeper's gate a client that reaches the target over HTTP.
func (b *bench) withEndpoint(f func(g *gate)) {
	server := httptest.NewServer(b.target.Handler())
	defer server.Close()
	g := b.gate()
	g.client = target.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 2)
	f(g)
}

// TestColdTargetIsNoticed shows how many requests beyond what it bears come to a target that turned cold without warning.
func TestColdTargetIsNoticed(t *testing.T) {
	for _, c := range []struct {
		name string
		off  func(*policy)
		cold func(b *bench, k *host)
		// most is the bound on the excess: what was sent before the first sign could be seen.
		most int
	}{
		{
			name: "by the first reply of the new process",
			off:  func(p *policy) { p.hears = false },
			cold: func(b *bench, k *host) {
				l, err := b.send(k)
				require.NoError(b.t, err)
				b.target.Restart()
				b.finish(l)
			},
		},
		{
			name: "by a failed request",
			off:  func(p *policy) { p.doubts = false },
			cold: func(b *bench, k *host) {
				l, err := b.send(k)
				require.NoError(b.t, err)
				b.target.Restart()
				b.flights = nil
				b.target.End()
				l.pass.deadline = b.clock.Now()
				l.pass.done(target.State{}, errLost)
			},
		},
		{
			name: "by the end of an idle connection",
			off:  func(p *policy) { p.doubts = false },
			cold: func(b *bench, _ *host) {
				b.target.Restart()
				b.gate().lost()
			},
		},
		{
			name: "by a reply that is overdue",
			off:  func(p *policy) { p.doubts = false },
			cold: func(b *bench, k *host) {
				_, err := b.send(k)
				require.NoError(b.t, err)
				b.run(slowFactor*benchStep + 2*benchStep)
				b.target.Restart()
				b.flights = nil
				b.target.End()
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			excess := func(guard func(*policy)) int {
				n := 0
				withBench(t, 3, guard, func(b *bench) {
					b.unguarded = guard != nil
					_, k := b.keeper()
					before := b.target.Witness().Excess
					c.cold(b, k)
					b.flood(k)
					n = b.target.Witness().Excess - before
				})
				return n
			}
			require.Positive(t, excess(c.off))
			require.LessOrEqual(t, excess(nil), c.most)
		})
	}
}

func TestLimitRampsWithSuccessAndReturnsAfterADoubt(t *testing.T) {
	withBench(t, 3, nil, func(b *bench) {
		_, k := b.keeper()
		require.Equal(t, benchSlots, b.flood(k))
		b.serve(benchStep)
		b.gate().lost()
		require.Equal(t, 1, b.gate().ramp.limit)
		l, err := b.send(k)
		require.NoError(t, err)
		b.finish(l)
		require.Equal(t, benchSlots, b.gate().ramp.limit, "a reply of the same warm process ends the doubt")

		b.target.Restart()
		l, err = b.send(k)
		require.NoError(t, err)
		b.finish(l)
		require.Equal(t, 1, b.gate().ramp.limit)
		b.serve(time.Second, k)
		require.Equal(t, benchSlots, b.gate().ramp.limit)
		require.Zero(t, b.target.Witness().Excess)
	})
}

func TestEndpointNeverRaises(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults emul.TargetFaults
	}{
		{name: "lagging", faults: emul.TargetFaults{Lag: units.Duration(time.Minute)}},
		{name: "lying", faults: emul.TargetFaults{Lie: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, 3, nil, func(b *bench) {
				_, k := b.keeper()
				b.run(10 * time.Second)
				b.target.Restart()
				b.target.SetFaults(c.faults)
				l, err := b.send(k)
				require.NoError(t, err)
				b.finish(l)
				b.withEndpoint(func(g *gate) {
					g.check(context.Background())
					require.Equal(t, 1, g.ramp.limit)
				})
			})
		})
	}
}

// TestLoneHost shows that silence of all peers doesn't stop the only living host, and that the target's word of other work does.
func TestLoneHost(t *testing.T) {
	withBench(t, 3, nil, func(b *bench) {
		name, k := b.keeper()
		for o := range b.hosts {
			if o != name {
				b.hosts[o].paused = true
				b.see(o, wire.Dead, false, name)
			}
		}
		g := b.gate()
		g.ramp.limit = 2 // a third of two is none
		require.Zero(t, func() int { b.run(time.Second); return b.flood(k) }())
		b.run(isolationTime)
		require.Equal(t, 1, b.flood(k))
		b.finish(b.flights[0])
		require.Nil(t, b.target.Begin(), "another host's request")
		g.ramp.limit = 2
		l, err := b.send(k)
		require.NoError(t, err)
		b.finish(l)
		g.ramp.limit = 2
		require.Zero(t, b.flood(k), "the target told of work that isn't this host's")
	})
}

func TestQueue(t *testing.T) {
	withBench(t, 1, nil, func(b *bench) {
		_, k := b.keeper()
		g := b.gate()
		require.Equal(t, benchSlots, b.flood(k))
		ended := make(chan wire.Class, 3)
		for _, c := range []wire.Class{wire.Bulk, wire.Routine, wire.Recall} {
			go func() {
				p, err := g.enter(context.Background(), c, b.clock.Now().Add(time.Minute))
				if err == nil {
					ended <- c
					p.done(target.State{}, nil)
				}
			}()
			require.Eventually(t, func() bool { return g.waiting() == int(wire.Bulk-c)+1 }, 5*time.Second, time.Millisecond)
		}
		_, err := g.enter(context.Background(), wire.Bulk, b.clock.Now().Add(time.Millisecond))
		require.ErrorContains(t, err, "toolate", "what can't make its deadline gets its final answer at once")
		b.finish(b.flights[0])
		require.Equal(t, wire.Recall, <-ended)
		require.Equal(t, wire.Routine, <-ended)
		require.Equal(t, wire.Bulk, <-ended)
	})
}

func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue.waiters)
}
