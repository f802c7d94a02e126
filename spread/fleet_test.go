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

// changeBound is the time within which all hosts must have an accepted change (P10 in the docs), outBound the time within which a data centre must be out (P4).
const (
	changeBound = 6 * time.Second
	outBound    = 3 * time.Second
)

// fleet is a set of hosts in one process with a manual clock, an emulated network and an emulated store.
type fleet struct {
	t      *testing.T
	clock  *timer.Clock
	manual *timer.ManualClock
	net    *emul.Net
	store  *emul.Store
	client *store.Client
	nodes  []*node
	ticks  int
	// readPeriod is the time between two reads of the store by a watcher; it stands for the wait of a watch and the delay of a slow store.
	readPeriod time.Duration
	// cutStore holds the letters of the data centres that can't reach the store.
	cutStore string
	// withoutOffers makes all calls between hosts to this package's service fail.
	withoutOffers bool
	// ids holds the id of each change that any host has applied, by number; conflictSeen reports whether two hosts applied different changes under one number, revertSeen whether a host went back to an older change.
	ids          map[uint64]string
	conflictSeen bool
	revertSeen   bool
}

// node is one host of a fleet; a frozen one is paused; lastNumber is the number of the change that it had at the last check.
type node struct {
	board       *board.State
	peers       *peers.Peers
	distributor *Distributor
	name        string
	killed      bool
	frozen      bool
	lastNumber  uint64
}

// withFleet runs f on a fleet with data centres a, b and c of the given number of hosts each, after all have joined and applied the first change.
func withFleet(t *testing.T, hosts int, f func(*fleet)) {
	t.Helper()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
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
	l.store.Put(MapsPrefix+"dispatch", []byte(`{"service":"dispatch","version":1,"index":1,"targets":[{"name":"t","address":"10.1.0.1:1","datacentre":"a","slots":1,"conns":1}],"shards":[[0]]}`))
	for i := range hosts {
		for _, datacentre := range []string{"a", "b", "c"} {
			l.addHost(fmt.Sprintf("%s%d", datacentre, i+1), datacentre)
		}
	}
	l.mustAppend("deadline", `"1s"`)
	l.advance(5 * time.Second)
	f(l)
}

// serveStore serves an emulated store on the loopback interface and returns a client and a function that closes the server.
func serveStore(t *testing.T, clock *timer.Clock, s *emul.Store) (client *store.Client, end func()) {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	return store.New(clock, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))), server.Close
}

// addHost adds a host that has not joined its peers yet; seeds are the running hosts.
func (l *fleet) addHost(name, datacentre string) *node {
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
		if !n.killed && n.name != name {
			seeds = append(seeds, n.board.Self.Peers)
		}
	}
	call := l.net.Caller(address)
	n := &node{board: b, name: name}
	n.peers = peers.New(l.clock, b, call, hosts, seeds, zap.NewNop(), tally.NoopScope)
	n.distributor = New(l.clock, b, l.client, l.peerCaller(call), zap.NewNop(), tally.NoopScope)
	n.distributor.watch = func(context.Context, string, uint64, time.Duration) (store.Page, error) { return store.Page{}, nil }
	n.peers.Spawn = func(f func()) { f() }
	n.distributor.Spawn = n.peers.Spawn
	n.peers.OnContact, n.peers.Heads = n.distributor.OnPeerHeads, n.distributor.Heads
	l.nodes = append(l.nodes, n)
	l.net.Register(address, peers.ServiceName, peers.NewService(n.peers))
	l.net.Register(address, ServiceName, NewService(n.distributor))
	return n
}

// peerCaller wraps call so that this package's calls fail while withoutOffers is set.
func (l *fleet) peerCaller(call wire.CallFunc) wire.CallFunc {
	return func(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
		if l.withoutOffers && strings.HasPrefix(method, ServiceName+".") {
			return context.DeadlineExceeded
		}
		return call(ctx, a, method, args, reply)
	}
}

// hosts returns the running hosts as the store lists them.
func (l *fleet) hosts() []store.Host {
	var all []store.Host
	for _, n := range l.nodes {
		if !n.killed {
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

// storeError returns the error of a read of the store from a data centre, nil unless it is cut off.
func (l *fleet) storeError(datacentre string) error {
	if strings.Contains(l.cutStore, datacentre) {
		return fault.New(fault.Store, "cut off from the platform")
	}
	return nil
}

// advance moves the clock by d in steps of board.HeartbeatPeriod and lets every running host do its work at each step.
func (l *fleet) advance(d time.Duration) {
	for range d / board.HeartbeatPeriod {
		l.manual.Advance(board.HeartbeatPeriod)
		l.ticks++
		for _, n := range l.nodes {
			if !n.killed && !n.frozen {
				l.tick(n)
			}
		}
		l.checkInvariants()
	}
}

// tick does one host's work of one step: its heartbeat, a round of probes, a read of the store if one is due, and the check for readiness.
func (l *fleet) tick(n *node) {
	ctx := context.Background()
	n.board.PauseDetector.Heartbeat()
	if l.ticks%2 == 0 {
		n.peers.Step(ctx)
	}
	if l.ticks%int(l.readPeriod/board.HeartbeatPeriod) == 0 && n.distributor.isWatcher() && l.storeError(n.board.Self.Datacentre) == nil {
		n.distributor.recordStoreResult(ctx, n.distributor.readLog(ctx))
		n.distributor.recordStoreResult(ctx, n.distributor.readMaps(ctx))
	}
	n.distributor.advanceIfReady()
}

// checkInvariants records violations of what must always hold: one change per number, and no host that goes back to an older one.
func (l *fleet) checkInvariants() {
	for _, n := range l.nodes {
		t := n.board.Tree.Load()
		l.revertSeen = l.revertSeen || t.ChangeNumber < n.lastNumber
		n.lastNumber = t.ChangeNumber
		if id, known := l.ids[t.ChangeNumber]; known && id != t.LastChangeID {
			l.conflictSeen = true
		}
		l.ids[t.ChangeNumber] = t.LastChangeID
	}
}

// node returns the running host of a name.
func (l *fleet) node(name string) *node {
	i := slices.IndexFunc(l.nodes, func(n *node) bool { return n.name == name && !n.killed })
	require.GreaterOrEqual(l.t, i, 0, name)
	return l.nodes[i]
}

// kill stops a host at once; calls to it fail from then on.
func (l *fleet) kill(name string) {
	n := l.node(name)
	n.killed = true
	l.net.Kill(n.board.Self.Peers)
}

// cut makes all calls between a data centre and the others fail.
func (l *fleet) cut(datacentre string) {
	inside := func(a netip.AddrPort) bool {
		return slices.ContainsFunc(l.nodes, func(n *node) bool {
			return n.board.Self.Peers == a && n.board.Self.Datacentre == datacentre
		})
	}
	l.net.DropCalls(func(from, to netip.AddrPort) bool { return inside(from) != inside(to) })
}

// reconnect undoes cut.
func (l *fleet) reconnect() {
	l.net.DropCalls(func(netip.AddrPort, netip.AddrPort) bool { return false })
}

// allReached reports whether each running host of the data centres has change n or a later one.
func (l *fleet) allReached(datacentres string, n uint64) bool {
	for _, o := range l.nodes {
		if !o.killed && strings.Contains(datacentres, o.board.Self.Datacentre) && o.board.Tree.Load().ChangeNumber < n {
			return false
		}
	}
	return true
}

// holdsWithin advances the clock until the condition holds, for up to limit, reports whether it did and logs when.
func (l *fleet) holdsWithin(limit time.Duration, holds func() bool) bool {
	start := l.clock.Now()
	for !holds() {
		if l.clock.Since(start) >= limit {
			return false
		}
		l.advance(board.HeartbeatPeriod)
	}
	l.t.Logf("held after %v", l.clock.Since(start))
	return true
}

// proposal returns an operator's change of one key at the top level.
func (l *fleet) proposal(key, value string) Proposal {
	return Proposal{
		Author: "op",
		Reason: "test",
		Ops:    []tree.Op{{Path: "org", Key: key, After: json.RawMessage(value)}},
	}
}

// writer returns an operator's writer that doesn't wait between attempts.
func (l *fleet) writer() *Writer {
	w := NewWriter(l.clock, l.client)
	w.sleep = func(context.Context, time.Duration) error { return nil }
	return w
}

// mustAppend appends a change of one key to the log and fails the test if it isn't accepted.
func (l *fleet) mustAppend(key, value string) tree.Change {
	l.t.Helper()
	w := l.writer()
	t, err := w.Latest(context.Background())
	require.NoError(l.t, err)
	c, err := w.Append(context.Background(), t, l.proposal(key, value))
	require.NoError(l.t, err)
	return c
}
