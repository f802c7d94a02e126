package relay

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionsForHedges are set up to all targets that may get one, a few at a time, and not to others.
func TestConnectionsForHedges(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(50, 0.89)
		i := byte(0)
		for _, e := range l.view.Entries {
			e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)
			i++
		}
		first, second := l.view.Services["s00"][0], l.view.Services["s01"][0]
		first.ColdUntil = time.Now().Add(time.Hour)
		l.engine.rank(second).Begin(time.Now())
		var mu sync.Mutex
		made := map[netip.AddrPort]int{}
		ready := func(a netip.AddrPort) bool {
			mu.Lock()
			defer mu.Unlock()
			return made[a] > 0
		}
		prepare := func(_ context.Context, a netip.AddrPort) error {
			mu.Lock()
			defer mu.Unlock()
			made[a]++
			return nil
		}
		l.engine.Warm(context.Background(), ready, prepare)
		require.Len(t, made, warmMost)
		l.engine.Warm(context.Background(), ready, prepare)
		require.Len(t, made, 98)
		require.Zero(t, made[first.Address])
		require.Zero(t, made[second.Address])
		l.engine.Warm(context.Background(), ready, prepare)
		for _, n := range made {
			require.Equal(t, 1, n)
		}
	})
}
