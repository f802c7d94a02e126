package front

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/conf"
	"kingcupcross/coord"
	"kingcupcross/mock"
	"kingcupcross/units"
)

// newFront returns a host that isn't running, with its own store.
func newFront(t *testing.T, name string) (*Front, *mock.Store) {
	store := mock.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	f, err := New(&conf.Front{
		Name:       name,
		Region:     "r",
		Datacentre: "d",
		Requests:   netip.MustParseAddrPort("127.0.0.1:1"),
		Views:      netip.MustParseAddrPort("127.0.0.1:2"),
		Cores:      1,
		Store:      netip.MustParseAddrPort(server.Listener.Addr().String()),
		Apply:      units.Duration(3 * time.Second),
		Leave:      units.Duration(3 * time.Second),
		Out:        units.Duration(3 * time.Second),
		Beat:       units.Duration(time.Second),
	}, nil)
	require.NoError(t, err)
	t.Cleanup(func() {
		f.dialer.Close()
		f.pool.Close()
		f.meter.Close()
		f.logs.Close()
	})
	return f, store
}

// hostsOf returns hosts of one region and data centre, the strongest first.
func hostsOf(n int) []coord.Member {
	var all []coord.Member
	for i := range n {
		all = append(all, coord.Member{
			Name:       fmt.Sprintf("h%03d", i),
			Datacentre: "d",
			Region:     "r",
			Requests:   netip.MustParseAddrPort("127.0.0.1:1"),
			Views:      netip.MustParseAddrPort("127.0.0.1:2"),
			Cores:      float64(n - i),
		})
	}
	return all
}

// TestWhoReadsTheStore checks that one host in 32 reads the store for the others, that a host which is alone reads it for itself, and that no host reads it before the hosts are known.
func TestWhoReadsTheStore(t *testing.T) {
	for _, tt := range []struct {
		hosts, self int
		readsStore  bool
	}{
		{hosts: 0, self: 0},
		{hosts: 1, self: 0, readsStore: true},
		{hosts: 2, self: 0, readsStore: true},
		{hosts: 2, self: 1},
		{hosts: 60, self: 0, readsStore: true},
		{hosts: 60, self: 1, readsStore: true},
		{hosts: 60, self: 2},
		{hosts: 60, self: 59},
	} {
		t.Run(fmt.Sprintf("%d of %d", tt.self, tt.hosts), func(t *testing.T) {
			f, _ := newFront(t, fmt.Sprintf("h%03d", tt.self))
			f.coord.SetMembers(hostsOf(tt.hosts))
			g := f.hostGroup()
			require.Equal(t, tt.readsStore, g.IsReader())
			require.Equal(t, max(tt.hosts, 1), g.Size())
		})
	}
}

// TestEntryOfAHost checks that the entry is written, renewed, written again once it has expired, and removed at a stop.
func TestEntryOfAHost(t *testing.T) {
	f, _ := newFront(t, "h000")
	ctx := context.Background()
	registered := func() int {
		f.readMembers(ctx)
		return len(f.coord.Members())
	}
	lease, renewed := f.renewEntry(ctx, coord.Lease{}, time.Time{})
	require.NotZero(t, lease)
	require.Equal(t, 1, registered())
	sameLease, renewedAt := f.renewEntry(ctx, lease, renewed.Add(-renewPeriod))
	require.Equal(t, lease, sameLease)
	require.True(t, renewedAt.After(renewed.Add(-renewPeriod)))
	require.NoError(t, f.store.Unregister(ctx, lease))
	expired, _ := f.renewEntry(ctx, lease, renewed.Add(-renewPeriod))
	require.Zero(t, expired)
	require.Zero(t, registered())
	newLease, renewed := f.renewEntry(ctx, coord.Lease{}, renewed)
	require.NotZero(t, newLease)
	require.Equal(t, 1, registered())
	f.leaving.Store(true)
	leftLease, _ := f.renewEntry(ctx, newLease, renewed)
	require.Zero(t, leftLease)
	require.Zero(t, registered())
}

// TestHostRegistersAgainAfterRestore guards against a host that is missing from the list of hosts after the store was restored from a copy without its entry, until its next renewal seconds later.
func TestHostRegistersAgainAfterRestore(t *testing.T) {
	f, store := newFront(t, "h1")
	store.StateEpoch()
	older := store.Copy()
	var calls []string
	var mu sync.Mutex
	f.store.OnCall = func(call string) {
		mu.Lock()
		defer mu.Unlock()
		if call != "range_hosts" {
			calls = append(calls, call)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- f.keepRegistered(ctx) }()
	registered := func() bool {
		members, err := f.store.Members(ctx)
		return err == nil && len(members) == 1
	}
	require.Eventually(t, registered, 20*time.Second, 10*time.Millisecond)
	mu.Lock()
	calls = nil
	mu.Unlock()
	store.Restore(older)
	require.False(t, registered(), "this call shows the new epoch")
	require.Eventually(t, registered, 20*time.Second, 10*time.Millisecond)
	mu.Lock()
	require.Equal(t, []string{"lease", "txn"}, calls, "the old lease is not renewed")
	mu.Unlock()
	cancel()
	require.NoError(t, <-ended)
}
