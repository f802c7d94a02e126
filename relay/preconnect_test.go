package relay

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPreconnectCoversHedgeTargets checks that connections are set up to all targets that may get hedges, a limited number per round, but not to cold or busy targets.
func TestPreconnectCoversHedgeTargets(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(50, 0.89)
		i := byte(0)
		for _, e := range l.view.Entries {
			e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)
			i++
		}
		cold, busy := l.view.Services["s00"][0], l.view.Services["s01"][0]
		cold.ColdUntil = time.Now().Add(time.Hour)
		l.engine.estimatorOf(busy).Begin(time.Now())
		var mu sync.Mutex
		setUp := map[netip.AddrPort]int{}
		isConnected := func(a netip.AddrPort) bool {
			mu.Lock()
			defer mu.Unlock()
			return setUp[a] > 0
		}
		connect := func(_ context.Context, a netip.AddrPort) error {
			mu.Lock()
			defer mu.Unlock()
			setUp[a]++
			return nil
		}
		l.engine.Preconnect(context.Background(), isConnected, connect)
		require.Len(t, setUp, maxPreconnects)
		l.engine.Preconnect(context.Background(), isConnected, connect)
		require.Len(t, setUp, 98)
		require.Zero(t, setUp[cold.Address])
		require.Zero(t, setUp[busy.Address])
		l.engine.Preconnect(context.Background(), isConnected, connect)
		for _, n := range setUp {
			require.Equal(t, 1, n)
		}
	})
}
