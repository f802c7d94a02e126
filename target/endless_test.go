package target_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/bound"
	"kingcupcross/mock"
	"kingcupcross/target"
)

const (
	// hostMemory is the memory that a host may use.
	hostMemory = 256 << 20
	// endlessTargets and connsPerTarget are the numbers of targets of one host that send endless responses at the same time and of connections to each.
	endlessTargets = 8
	connsPerTarget = 8
)

// queryEndless sends requests over all connections to targets that all have the same address.
func queryEndless(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	memory := bound.NewMemory(24 << 20)
	var all sync.WaitGroup
	for range endlessTargets {
		c := target.NewClient(netip.MustParseAddrPort(address), connsPerTarget, memory)
		for range connsPerTarget {
			all.Go(func() {
				for range 3 {
					// Whether a request fails depends on the endless part.
					_, _ = c.Query(ctx, target.Query{ID: "q"})
				}
			})
		}
	}
	all.Wait()
}

// TestEndlessResponsesOfTargets guards against targets that end a host by endless responses over all their connections. The host's part runs in a process of its own, so that the memory of the sender doesn't count.
func TestEndlessResponsesOfTargets(t *testing.T) {
	for _, part := range mock.EndlessParts {
		t.Run(string(part), func(t *testing.T) {
			server, err := mock.NewEndlessServer(part)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			peak, err := mock.PeakMemory(t.Name(), server.Address.String(), queryEndless)
			require.NoError(t, err)
			t.Logf("peak memory: %.1f MB", float64(peak)/(1<<20))
			require.Less(t, peak, int64(hostMemory/2))
		})
	}
}
