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

// fleet is a set of hosts in one process with a manual clock; every call runs at once and in the same order each time.
type fleet struct {
	t        *testing.T
	clock    *timer.Service
	manual   *timer.Manual
	net      *emul.Net
	nodes    []*node
	list     []store.Host
	platform bool
	ticks    int
	// weigh is given each message between hosts.
	weigh func(any)
}

type node struct {
	*Peers
	frozen bool
	gone   bool
}

func withFleet(t *testing.T, sizes map[string]int, f func(*fleet)) {
	t.Helper()
	withFleetAfter(t, sizes, 6*time.Second, f)
}

// withFleetAfter lets the hosts meet for a time first.
func withFleetAfter(t *testing.T, sizes map[string]int, settle time.Duration, f func(*fleet)) {
	t.Helper()
	clock, manual := timer.NewManual(time.Unix(1000, 0))
	l := &fleet{
		t:        t,
		clock:    clock,
		manual:   manual,
		net:      emul.NewNet(),
		platform: true,
		weigh:    func(any) {},
	}
	for _, datacentre := range slices.Sorted(maps.Keys(sizes)) {
		for i := range sizes[datacentre] {
			l.add(fmt.Sprintf("%s%d", datacentre, i+1), datacentre, nil)
		}
	}
	l.run(settle)
	f(l)
}

// add starts a host that the platform's list names from then on.
func (l *fleet) add(name, datacentre string, seeds []netip.AddrPort) *node {
	n := l.start(name, datacentre, seeds)
	l.list = append(l.list, store.Host{
		Name:       name,
		Datacentre: datacentre,
		Peers:      n.board.Self.Peers,
		State:      store.Live,
	})
	return n
}

func (l *fleet) start(name, datacentre string, seeds []netip.AddrPort) *node {
	i := len(l.nodes) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	b := board.New(l.clock, wire.Member{
		HostID:     wire.HostID{Name: name, Incarnation: uint64(1000 + i)},
		Region:     "r",
		Datacentre: datacentre,
		Peers:      address,
	})
	call := l.net.Caller(address)
	weighed := func(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
		l.weigh(args)
		err := call(ctx, a, method, args, reply)
		l.weigh(reply)
		return err
	}
	p := New(l.clock, b, weighed, l.hosts, seeds, zap.NewNop(), tally.NoopScope)
	p.Spawn = func(f func()) { f() }
	n := &node{Peers: p}
	l.nodes = append(l.nodes, n)
	l.net.Register(address, Remote, NewService(p))
	return n
}

func (l *fleet) hosts(context.Context) ([]store.Host, error) {
	if !l.platform {
		return nil, fault.New(fault.Store, "down")
	}
	return l.list, nil
}

// run lets time pass in steps of a beat.
func (l *fleet) run(d time.Duration) {
	for range d / board.PulsePeriod {
		l.manual.Advance(board.PulsePeriod)
		l.ticks++
		for _, n := range l.nodes {
			if n.frozen || n.gone {
				continue
			}
			n.board.Pulse.Beat()
			if l.ticks%int(period/board.PulsePeriod) == 0 {
				n.Step(context.Background())
			}
		}
	}
}

// until runs until the condition holds, at most for limit, and returns the time that it took.
func (l *fleet) until(limit time.Duration, what string, holds func() bool) time.Duration {
	l.t.Helper()
	start := l.clock.Now()
	for !holds() {
		require.Less(l.t, l.clock.Since(start), limit, what)
		l.run(board.PulsePeriod)
	}
	return l.clock.Since(start)
}

func (l *fleet) node(name string) *node {
	i := slices.IndexFunc(l.nodes, func(n *node) bool { return n.board.Self.Name == name && !n.gone })
	require.GreaterOrEqual(l.t, i, 0, name)
	return l.nodes[i]
}

func (l *fleet) kill(names ...string) {
	for _, name := range names {
		n := l.node(name)
		n.gone = true
		l.net.Kill(n.board.Self.Peers)
	}
}

func (l *fleet) freeze(names ...string) {
	for _, name := range names {
		n := l.node(name)
		n.frozen = true
		l.net.Freeze(n.board.Self.Peers)
	}
}

func (l *fleet) thaw(names ...string) {
	for _, name := range names {
		n := l.node(name)
		n.frozen = false
		l.net.Thaw(n.board.Self.Peers)
	}
}

// cut drops calls between the two groups of data centres' names; "" as the second group is everything else.
func (l *fleet) cut(one, other string) {
	side := map[netip.AddrPort]string{}
	for _, n := range l.nodes {
		side[n.board.Self.Peers] = n.board.Self.Datacentre
	}
	l.net.Cut(func(from, to netip.AddrPort) bool {
		a, b := side[from], side[to]
		return a != b && ((a == one && (b == other || other == "")) || (b == one && (a == other || other == "")))
	})
}

func (l *fleet) heal() {
	l.net.Cut(func(netip.AddrPort, netip.AddrPort) bool { return false })
}

// sees says whether each running host of the data centres has the record of a host in that state.
func (l *fleet) sees(datacentres, name string, state wire.HostState) bool {
	for _, n := range l.nodes {
		if n.gone || n.frozen || n.board.Self.Name == name || !slices.Contains([]byte(datacentres), n.board.Self.Datacentre[0]) {
			continue
		}
		if n.board.View.Load().Members[name].State != state {
			return false
		}
	}
	return true
}

func (n *node) member(name string) wire.Member {
	return n.board.View.Load().Members[name]
}
