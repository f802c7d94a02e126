package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/peers"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// inForce is the bound of P10 and outBound that of P4.
const (
	inForce  = 6 * time.Second
	outBound = 3 * time.Second
)

// fleet is a set of hosts in one process with a manual clock, around an emulated store.
type fleet struct {
	t      *testing.T
	clock  *timer.Service
	manual *timer.Manual
	net    *emul.Net
	store  *emul.Store
	client *store.Client
	nodes  []*node
	ticks  int
	// readPeriod is the time between two reads of the store by a watcher: a watch's wait and the platform's slowness together.
	readPeriod time.Duration
	// cutStore names the data centres that can't reach the store.
	cutStore string
	// alone takes the spread between hosts out.
	alone bool
	// ids holds the id of each change that any host had in force.
	ids    map[uint64]string
	mixed  bool
	revert bool
}

type node struct {
	board  *board.Board
	peers  *peers.Peers
	spread *Spread
	name   string
	gone   bool
	frozen bool
	n      uint64
}

func withFleet(t *testing.T, hosts int, f func(*fleet)) {
	t.Helper()
	clock, manual := timer.NewManual(time.Unix(1000, 0))
	s := emul.NewStore(clock)
	client, closeStore := serveStore(t, clock, s)
	defer closeStore()
	l := &fleet{
		t:          t,
		clock:      clock,
		manual:     manual,
		net:        emul.NewNet(),
		store:      s,
		client:     client,
		readPeriod: 500 * time.Millisecond,
		ids:        map[uint64]string{},
	}
	l.store.Put(Maps+"dispatch", []byte(`{"service":"dispatch","version":1,"index":1,"targets":[{"name":"t","address":"10.1.0.1:1","datacentre":"a","slots":1,"conns":1}],"shards":[[0]]}`))
	for i := range hosts {
		for _, datacentre := range []string{"a", "b", "c"} {
			l.add(fmt.Sprintf("%s%d", datacentre, i+1), datacentre)
		}
	}
	l.accept("deadline", `"1s"`)
	l.run(5 * time.Second)
	f(l)
}

// serveStore answers at a port of loopback.
func serveStore(t *testing.T, clock *timer.Service, s *emul.Store) (client *store.Client, end func()) {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	return store.New(clock, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))), server.Close
}

func (l *fleet) add(name, datacentre string) *node {
	i := len(l.nodes) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	b := board.New(l.clock, wire.Member{
		HostID:     wire.HostID{Name: name, Incarnation: uint64(1000 + i)},
		Region:     "r" + datacentre,
		Datacentre: datacentre,
		Peers:      address,
	})
	hosts := func(context.Context) ([]store.Host, error) {
		return l.hosts(), l.storeError(datacentre)
	}
	var seeds []netip.AddrPort
	for _, n := range l.nodes {
		if !n.gone && n.name != name {
			seeds = append(seeds, n.board.Self.Peers)
		}
	}
	call := l.net.Caller(address)
	n := &node{board: b, name: name}
	n.peers = peers.New(l.clock, b, call, hosts, seeds, zap.NewNop(), tally.NoopScope)
	n.spread = New(l.clock, b, l.client, l.between(call), zap.NewNop(), tally.NoopScope)
	n.spread.watch = func(context.Context, string, uint64, time.Duration) (store.Page, error) { return store.Page{}, nil }
	n.peers.Spawn = func(f func()) { f() }
	n.spread.Spawn = n.peers.Spawn
	n.peers.Heard, n.peers.Heads = n.spread.Heard, n.spread.Heads
	l.nodes = append(l.nodes, n)
	l.net.Register(address, peers.Remote, peers.NewService(n.peers))
	l.net.Register(address, Remote, NewService(n.spread))
	return n
}

// between is the way to other hosts, without this package's calls where the mechanism is taken out.
func (l *fleet) between(call wire.CallFunc) wire.CallFunc {
	return func(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
		if l.alone && strings.HasPrefix(method, Remote+".") {
			return context.DeadlineExceeded
		}
		return call(ctx, a, method, args, reply)
	}
}

func (l *fleet) hosts() []store.Host {
	var all []store.Host
	for _, n := range l.nodes {
		if !n.gone {
			all = append(all, store.Host{
				Name:       n.name,
				Datacentre: n.board.Self.Datacentre,
				Peers:      n.board.Self.Peers,
				State:      store.Live,
			})
		}
	}
	return all
}

func (l *fleet) storeError(datacentre string) error {
	if strings.Contains(l.cutStore, datacentre) {
		return fault.New(fault.Store, "cut off from the platform")
	}
	return nil
}

func (l *fleet) run(d time.Duration) {
	for range d / board.PulsePeriod {
		l.manual.Advance(board.PulsePeriod)
		l.ticks++
		for _, n := range l.nodes {
			if !n.gone && !n.frozen {
				l.tick(n)
			}
		}
		l.check()
	}
}

func (l *fleet) tick(n *node) {
	ctx := context.Background()
	n.board.Pulse.Beat()
	if l.ticks%2 == 0 {
		n.peers.Step(ctx)
	}
	if l.ticks%int(l.readPeriod/board.PulsePeriod) == 0 && n.spread.watches() && l.storeError(n.board.Self.Datacentre) == nil {
		n.spread.note(ctx, n.spread.readLog(ctx))
		n.spread.note(ctx, n.spread.readMaps(ctx))
	}
	n.spread.ready()
}

// check watches over what must always hold: one change for each number, and no host that goes back.
func (l *fleet) check() {
	for _, n := range l.nodes {
		t := n.board.Tree.Load()
		l.revert = l.revert || t.N < n.n
		n.n = t.N
		if id, known := l.ids[t.N]; known && id != t.Last {
			l.mixed = true
		}
		l.ids[t.N] = t.Last
	}
}

func (l *fleet) node(name string) *node {
	i := slices.IndexFunc(l.nodes, func(n *node) bool { return n.name == name && !n.gone })
	require.GreaterOrEqual(l.t, i, 0, name)
	return l.nodes[i]
}

func (l *fleet) kill(name string) {
	n := l.node(name)
	n.gone = true
	l.net.Kill(n.board.Self.Peers)
}

// cut drops all calls between a data centre and the others.
func (l *fleet) cut(datacentre string) {
	inside := func(a netip.AddrPort) bool {
		return slices.ContainsFunc(l.nodes, func(n *node) bool {
			return n.board.Self.Peers == a && n.board.Self.Datacentre == datacentre
		})
	}
	l.net.Cut(func(from, to netip.AddrPort) bool { return inside(from) != inside(to) })
}

func (l *fleet) heal() {
	l.net.Cut(func(netip.AddrPort, netip.AddrPort) bool { return false })
}

// everywhere says whether each running host of the data centres has change n or a later one.
func (l *fleet) everywhere(datacentres string, n uint64) bool {
	for _, o := range l.nodes {
		if !o.gone && strings.Contains(datacentres, o.board.Self.Datacentre) && o.board.Tree.Load().N < n {
			return false
		}
	}
	return true
}

// within runs for up to limit and reports whether the condition came to hold, and when.
func (l *fleet) within(limit time.Duration, holds func() bool) bool {
	start := l.clock.Now()
	for !holds() {
		if l.clock.Since(start) >= limit {
			return false
		}
		l.run(board.PulsePeriod)
	}
	l.t.Logf("held after %v", l.clock.Since(start))
	return true
}

func (l *fleet) proposal(key, value string) Proposal {
	return Proposal{
		Author: "op",
		Reason: "test",
		Ops:    []tree.Op{{Path: "org", Key: key, After: json.RawMessage(value)}},
	}
}

// writer returns an operator's writer whose waits take no time.
func (l *fleet) writer() *Writer {
	w := NewWriter(l.clock, l.client)
	w.sleep = func(context.Context, time.Duration) error { return nil }
	return w
}

// accept makes a change that must succeed.
func (l *fleet) accept(key, value string) tree.Change {
	l.t.Helper()
	w := l.writer()
	t, err := w.Latest(context.Background())
	require.NoError(l.t, err)
	c, err := w.Append(context.Background(), t, l.proposal(key, value))
	require.NoError(l.t, err)
	return c
}
