package front

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/conf"
	"kingcupcross/coord"
	"kingcupcross/mock"
	"kingcupcross/units"
)

// newFront returns a host that isn't running, with a store of its own.
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

// TestWhoReadsTheStore has one host in 32 read it for the others, and a host that is alone for itself; nobody does before the hosts are known.
func TestWhoReadsTheStore(t *testing.T) {
	for _, one := range []struct {
		hosts, self int
		reads       bool
	}{
		{hosts: 0, self: 0},
		{hosts: 1, self: 0, reads: true},
		{hosts: 2, self: 0, reads: true},
		{hosts: 2, self: 1},
		{hosts: 60, self: 0, reads: true},
		{hosts: 60, self: 1, reads: true},
		{hosts: 60, self: 2},
		{hosts: 60, self: 59},
	} {
		t.Run(fmt.Sprintf("%d of %d", one.self, one.hosts), func(t *testing.T) {
			f, _ := newFront(t, fmt.Sprintf("h%03d", one.self))
			f.coord.SetMembers(hostsOf(one.hosts))
			c := f.crowd()
			require.Equal(t, one.reads, c.Reads())
			require.Equal(t, max(one.hosts, 1), c.Size())
		})
	}
}

// TestEntryOfAHost is written, renewed, written anew once it has lapsed, and taken back at a stop.
func TestEntryOfAHost(t *testing.T) {
	f, _ := newFront(t, "h000")
	ctx := context.Background()
	known := func() int {
		f.readMembers(ctx)
		return len(f.coord.Members())
	}
	lease, renewed := f.keepEntry(ctx, 0, time.Time{})
	require.NotZero(t, lease)
	require.Equal(t, 1, known())
	same, later := f.keepEntry(ctx, lease, renewed.Add(-renewPeriod))
	require.Equal(t, lease, same)
	require.True(t, later.After(renewed.Add(-renewPeriod)))
	require.NoError(t, f.store.Unregister(ctx, lease))
	gone, _ := f.keepEntry(ctx, lease, renewed.Add(-renewPeriod))
	require.Zero(t, gone)
	require.Zero(t, known())
	again, renewed := f.keepEntry(ctx, 0, renewed)
	require.NotZero(t, again)
	require.Equal(t, 1, known())
	f.leaving.Store(true)
	left, _ := f.keepEntry(ctx, again, renewed)
	require.Zero(t, left)
	require.Zero(t, known())
}
