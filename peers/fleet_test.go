package peers

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// fleet is a set of hosts in one process with a manual clock; every call runs synchronously, so the order of events is the same in each run.
type fleet struct {
	t            *testing.T
	clock        *timer.Clock
	manual       *timer.ManualClock
	net          *emul.Net
	hosts        []*testHost
	platformList []store.Host
	platformUp   bool
	ticks        int
	// observe is called with each message between hosts.
	observe func(any)
}

// testHost is a host of a fleet; a frozen one is paused, one that is gone was killed.
type testHost struct {
	*Peers
	frozen bool
	killed bool
}

func withFleet(t *testing.T, sizes map[string]int, f func(*fleet)) {
	t.Helper()
	withFleetAfter(t, sizes, 6*time.Second, f)
}

// withFleetAfter starts the hosts, lets them join for the time settle, and then calls f.
func withFleetAfter(t *testing.T, sizes map[string]int, settle time.Duration, f func(*fleet)) {
	t.Helper()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	l := &fleet{
		t:          t,
		clock:      clock,
		manual:     manual,
		net:        emul.NewNet(),
		platformUp: true,
		observe:    func(any) {},
	}
	for _, datacentre := range slices.Sorted(maps.Keys(sizes)) {
		for i := range sizes[datacentre] {
			l.add(fmt.Sprintf("%s%d", datacentre, i+1), datacentre, nil)
		}
	}
	l.run(settle)
	f(l)
}

// add starts a host and puts it on the platform's list.
func (l *fleet) add(name, datacentre string, seeds []netip.AddrPort) *testHost {
	n := l.start(name, datacentre, seeds)
	l.platformList = append(l.platformList, store.Host{
		Name:       name,
		Datacentre: datacentre,
		Peers:      n.board.Self.Peers,
		State:      store.Live,
	})
	return n
}

// start starts a host that isn't on the platform's list.
func (l *fleet) start(name, datacentre string, seeds []netip.AddrPort) *testHost {
	i := len(l.hosts) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	b := board.New(l.clock, wire.Member{
		HostID:     wire.HostID{Name: name, Incarnation: uint64(1000 + i)},
		Region:     "r",
		Datacentre: datacentre,
		Peers:      address,
	})
	call := l.net.Caller(address)
	observedCall := func(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
		l.observe(args)
		err := call(ctx, a, method, args, reply)
		l.observe(reply)
		return err
	}
	p := New(l.clock, b, observedCall, l.readPlatformList, seeds, zap.NewNop(), tally.NoopScope)
	p.Spawn = func(f func()) { f() }
	n := &testHost{Peers: p}
	l.hosts = append(l.hosts, n)
	l.net.Register(address, ServiceName, NewService(p))
	return n
}

func (l *fleet) readPlatformList(context.Context) ([]store.Host, error) {
	if !l.platformUp {
		return nil, fault.New(fault.Store, "down")
	}
	return l.platformList, nil
}

// run advances the clock by d in steps of board.HeartbeatPeriod and runs the heartbeats and periods of the running hosts.
func (l *fleet) run(d time.Duration) {
	for range d / board.HeartbeatPeriod {
		l.manual.Advance(board.HeartbeatPeriod)
		l.ticks++
		for _, n := range l.hosts {
			if n.frozen || n.killed {
				continue
			}
			n.board.PauseDetector.Heartbeat()
			if l.ticks%int(probePeriod/board.HeartbeatPeriod) == 0 {
				n.Step(context.Background())
			}
		}
	}
}

// runUntil runs the fleet until the condition holds, fails the test with message if that takes longer than limit, and returns the time that it took.
func (l *fleet) runUntil(limit time.Duration, message string, holds func() bool) time.Duration {
	l.t.Helper()
	start := l.clock.Now()
	for !holds() {
		require.Less(l.t, l.clock.Since(start), limit, message)
		l.run(board.HeartbeatPeriod)
	}
	return l.clock.Since(start)
}

func (l *fleet) host(name string) *testHost {
	i := slices.IndexFunc(l.hosts, func(n *testHost) bool { return n.board.Self.Name == name && !n.killed })
	require.GreaterOrEqual(l.t, i, 0, name)
	return l.hosts[i]
}

func (l *fleet) kill(names ...string) {
	for _, name := range names {
		n := l.host(name)
		n.killed = true
		l.net.Kill(n.board.Self.Peers)
	}
}

func (l *fleet) freeze(names ...string) {
	for _, name := range names {
		n := l.host(name)
		n.frozen = true
		l.net.Freeze(n.board.Self.Peers)
	}
}

func (l *fleet) unfreeze(names ...string) {
	for _, name := range names {
		n := l.host(name)
		n.frozen = false
		l.net.Resume(n.board.Self.Peers)
	}
}

// cut drops calls between two data centres; if other is "", it drops all calls between one and the rest.
func (l *fleet) cut(one, other string) {
	datacentreOf := map[netip.AddrPort]string{}
	for _, n := range l.hosts {
		datacentreOf[n.board.Self.Peers] = n.board.Self.Datacentre
	}
	l.net.DropCalls(func(from, to netip.AddrPort) bool {
		a, b := datacentreOf[from], datacentreOf[to]
		return a != b && ((a == one && (b == other || other == "")) || (b == one && (a == other || other == "")))
	})
}

func (l *fleet) reconnect() {
	l.net.DropCalls(func(netip.AddrPort, netip.AddrPort) bool { return false })
}

// everyHostSees reports whether each running host of the data centres, given as their one-letter names in one string, has a host in that state; the host itself isn't asked.
func (l *fleet) everyHostSees(datacentres, name string, state wire.HostState) bool {
	for _, n := range l.hosts {
		if n.killed || n.frozen || n.board.Self.Name == name || !slices.Contains([]byte(datacentres), n.board.Self.Datacentre[0]) {
			continue
		}
		if n.board.Membership.Load().Members[name].State != state {
			return false
		}
	}
	return true
}

func (n *testHost) member(name string) wire.Member {
	return n.board.Membership.Load().Members[name]
}
