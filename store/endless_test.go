package store_test

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/mock"
	"kingcupcross/store"
	"kingcupcross/timer"
)

// hostMemory is the memory that a host may use.
const hostMemory = 256 << 20

// callEndlessStore makes all calls to the store at an address that a host makes at the same time.
func callEndlessStore(address string) {
	c := store.New(timer.New(), netip.MustParseAddrPort(address))
	for range 5 {
		var all sync.WaitGroup
		for _, call := range []func() error{
			func() error { _, err := c.List(ctx, "k", "", 10); return err },
			func() error { _, err := c.Watch(ctx, "k", 1, time.Second); return err },
			func() error { _, err := c.Hosts(ctx); return err },
			func() error { return c.KeepAlive(ctx, store.Lease{ID: 1}) },
		} {
			// Whether a call fails depends on the endless part.
			all.Go(func() { _ = call() })
		}
		all.Wait()
	}
}

// TestEndlessResponsesOfTheStore guards against a store, or another server at its address, that ends a host by an endless response. The host's part runs in a process of its own, so that the memory of the sender doesn't count.
func TestEndlessResponsesOfTheStore(t *testing.T) {
	for _, part := range mock.EndlessParts {
		t.Run(string(part), func(t *testing.T) {
			server, err := mock.NewEndlessServer(part)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			peak, err := mock.PeakMemory(t.Name(), server.Address.String(), callEndlessStore)
			require.NoError(t, err)
			t.Logf("peak memory: %.1f MB", float64(peak)/(1<<20))
			require.Less(t, peak, int64(hostMemory/2))
		})
	}
}

// TestLongPageIsReadInParts guards against a host that can't read a page because its values are too long together.
func TestLongPageIsReadInParts(t *testing.T) {
	withStore(t, func(r *testStore) {
		const entries = 40
		value := strings.Repeat("x", int(store.MaxValue))
		for n := range entries {
			r.put(fmt.Sprintf("k/%02d", n), value, 0)
		}
		page, err := r.List(ctx, "k/", "", entries)
		require.NoError(t, err)
		require.Len(t, page.Entries, entries)
		for n, e := range page.Entries {
			require.Equal(t, fmt.Sprintf("k/%02d", n), e.Key)
			require.Len(t, e.Value, len(value))
		}
		require.EqualValues(t, entries, page.Revision)
		page, err = r.List(ctx, "k/", "k/29", entries)
		require.NoError(t, err)
		require.Len(t, page.Entries, 10)
	})
}
