package store_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/units"
)

// testStore is a client of an emulated store, both on one manual clock.
type testStore struct {
	*store.Client
	t      *testing.T
	emul   *emul.Store
	manual *timer.ManualClock
}

var ctx = context.Background()

func withStore(t *testing.T, f func(*testStore)) {
	t.Helper()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	s := emul.NewStore(clock)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f(&testStore{
		Client: store.New(clock, address),
		t:      t,
		emul:   s,
		manual: manual,
	})
}

// advanceUntilDone makes a call and advances the clock step by step until the call returns.
func (r *testStore) advanceUntilDone(step time.Duration, call func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
			r.manual.Advance(step)
		}
	}
}

func (r *testStore) put(key, value string, expect uint64) uint64 {
	r.t.Helper()
	revision, err := r.Put(ctx, key, store.Write{Value: []byte(value), Expect: expect})
	require.NoError(r.t, err)
	return revision
}

// TestStoreContract checks the properties of the platform's store that the project relies on, one case each, also under faults.
func TestStoreContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testStore)
	}{
		{name: "create only if absent", run: func(r *testStore) {
			r.put("k", "one", 0)
			_, err := r.Put(ctx, "k", store.Write{Value: []byte("two")})
			require.True(r.t, fault.Is(err, fault.Conflict))
			require.True(r.t, fault.Of(err).NotRun())
		}},
		{name: "compare and swap", run: func(r *testStore) {
			first := r.put("k", "one", 0)
			second := r.put("k", "two", first)
			_, err := r.Put(ctx, "k", store.Write{Value: []byte("three"), Expect: first})
			require.True(r.t, fault.Is(err, fault.Conflict))
			e, found, err := r.Get(ctx, "k")
			require.NoError(r.t, err)
			require.True(r.t, found)
			require.Equal(r.t, second, e.Revision)
			require.Equal(r.t, "two", string(e.Value))
		}},
		{name: "concurrent creates have one winner", run: func(r *testStore) {
			var group sync.WaitGroup
			wins := make(chan int, 16)
			for i := range 16 {
				group.Go(func() {
					if _, err := r.Put(ctx, "k", store.Write{Value: []byte(fmt.Sprint(i))}); err == nil {
						wins <- i
					}
				})
			}
			group.Wait()
			require.Len(r.t, wins, 1)
			e, _, err := r.Get(ctx, "k")
			require.NoError(r.t, err)
			require.Equal(r.t, fmt.Sprint(<-wins), string(e.Value))
		}},
		{name: "absent key", run: func(r *testStore) {
			_, found, err := r.Get(ctx, "k")
			require.NoError(r.t, err)
			require.False(r.t, found)
		}},
		{name: "value too large", run: func(r *testStore) {
			_, err := r.Put(ctx, "k", store.Write{Value: make([]byte, store.MaxValue+1)})
			require.True(r.t, fault.Is(err, fault.TooLarge))
		}},
		{name: "list returns keys in order", run: func(r *testStore) {
			for i := range 5 {
				r.put(fmt.Sprintf("p/%d", 4-i), "v", 0)
			}
			r.put("q", "v", 0)
			p, err := r.List(ctx, "p/", "p/1", 2)
			require.NoError(r.t, err)
			require.Len(r.t, p.Entries, 2)
			require.Equal(r.t, "p/2", p.Entries[0].Key)
			require.Equal(r.t, "p/3", p.Entries[1].Key)
		}},
		{name: "down", run: func(r *testStore) {
			r.emul.SetFaults(emul.StoreFaults{Down: true})
			_, _, err := r.Get(ctx, "k")
			require.True(r.t, fault.Is(err, fault.Store))
			_, err = r.Put(ctx, "k", store.Write{})
			require.True(r.t, fault.Is(err, fault.Store))
			require.False(r.t, fault.Of(err).NotRun(), "a failing store may still have written")
		}},
		{name: "slower than the call timeout", run: func(r *testStore) {
			r.emul.SetFaults(emul.StoreFaults{Slow: units.Duration(time.Hour)})
			r.advanceUntilDone(time.Second, func() {
				_, err := r.Put(ctx, "k", store.Write{})
				require.True(r.t, fault.Is(err, fault.Store))
				require.False(r.t, fault.Of(err).NotRun())
			})
			// The write continues after the caller has given up, and may still take effect.
			r.manual.Advance(time.Hour)
		}},
		{name: "reply lost after the write took effect", run: func(r *testStore) {
			r.emul.SetFaults(emul.StoreFaults{LoseReplies: 1})
			_, err := r.Put(ctx, "k", store.Write{Value: []byte("one")})
			require.True(r.t, fault.Is(err, fault.Store))
			require.False(r.t, fault.Of(err).NotRun())
			e, found, err := r.Get(ctx, "k")
			require.NoError(r.t, err)
			require.True(r.t, found)
			require.Equal(r.t, "one", string(e.Value))
		}},
		{name: "stale reads", run: func(r *testStore) {
			r.put("k", "two", r.put("k", "one", 0))
			r.emul.SetFaults(emul.StoreFaults{StaleBy: 1})
			e, found, err := r.Get(ctx, "k")
			require.NoError(r.t, err)
			require.True(r.t, found)
			require.Equal(r.t, "one", string(e.Value))
			p, err := r.List(ctx, "k", "", 10)
			require.NoError(r.t, err)
			require.Equal(r.t, e.Revision, p.Revision, "a stale replica reports its own revision")
			r.emul.SetFaults(emul.StoreFaults{})
			p, err = r.Watch(ctx, "k", p.Revision, time.Second)
			require.NoError(r.t, err)
			require.Equal(r.t, "two", string(p.Entries[0].Value), "the watch returns what the stale read missed")
		}},
		{name: "lease expires while its holder is paused", run: func(r *testStore) {
			lease, err := r.Grant(ctx, store.Lease{TTL: units.Duration(5 * time.Second)})
			require.NoError(r.t, err)
			_, err = r.Put(ctx, "k", store.Write{Value: []byte("held"), Lease: lease.ID})
			require.NoError(r.t, err)
			r.manual.Advance(4 * time.Second)
			require.NoError(r.t, r.KeepAlive(ctx, lease))
			r.manual.Advance(6 * time.Second)
			require.True(r.t, fault.Is(r.KeepAlive(ctx, lease), fault.Conflict))
			_, found, err := r.Get(ctx, "k")
			require.NoError(r.t, err)
			require.False(r.t, found)
			_, err = r.Put(ctx, "k", store.Write{Value: []byte("late"), Lease: lease.ID})
			require.True(r.t, fault.Is(err, fault.Conflict))
			require.True(r.t, fault.Of(err).NotRun())
		}},
		{name: "watch returns on a write", run: func(r *testStore) {
			first := r.put("w/1", "one", 0)
			r.advanceUntilDone(0, func() {
				go r.emul.Put("w/2", []byte("two"))
				p, err := r.Watch(ctx, "w/", first, time.Minute)
				require.NoError(r.t, err)
				require.Equal(r.t, "w/2", p.Entries[0].Key)
			})
		}},
		{name: "watch times out with an empty page", run: func(r *testStore) {
			first := r.put("w/1", "one", 0)
			r.advanceUntilDone(time.Second, func() {
				p, err := r.Watch(ctx, "w/", first, 3*time.Second)
				require.NoError(r.t, err)
				require.Empty(r.t, p.Entries)
			})
		}},
		{name: "watch across an outage", run: func(r *testStore) {
			first := r.put("w/1", "one", 0)
			r.emul.SetFaults(emul.StoreFaults{Down: true})
			_, err := r.Watch(ctx, "w/", first, time.Second)
			require.True(r.t, fault.Is(err, fault.Store))
			r.emul.Put("w/2", []byte("two"))
			r.emul.Put("w/3", []byte("three"))
			r.emul.SetFaults(emul.StoreFaults{})
			p, err := r.Watch(ctx, "w/", first, time.Second)
			require.NoError(r.t, err)
			require.Len(r.t, p.Entries, 2, "the watch returns all writes made during the outage")
			require.Equal(r.t, "w/2", p.Entries[0].Key)
		}},
		{name: "canceled context", run: func(r *testStore) {
			canceled, cancel := context.WithCancel(ctx)
			cancel()
			_, err := r.Watch(canceled, "w/", 0, time.Minute)
			require.True(r.t, fault.Is(err, fault.Store))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withStore(t, c.run)
		})
	}
}

// TestConnectionRefusedMeansNotRun checks that a refused connection is the only failure of a write that certainly had no effect.
// refusingAddress returns an address that refuses connections. Its port stays bound, so that no other process can begin to listen there.
func refusingAddress(t *testing.T) netip.AddrPort {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, syscall.Close(socket)) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := bound.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
}

func TestConnectionRefusedMeansNotRun(t *testing.T) {
	clock, _ := timer.NewManualClock(time.Unix(1000, 0))
	_, err := store.New(clock, refusingAddress(t)).Put(ctx, "k", store.Write{})
	require.True(t, fault.Is(err, fault.Store))
	require.True(t, fault.Of(err).NotRun())
}
