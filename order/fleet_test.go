package order

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/bound"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/store"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// node is one host of a fleet, with a book and a keeper behind a real RPC server on the loopback interface.
type node struct {
	*Book
	server *wire.Server
	dialer *wire.Dialer
	// pause makes the host's pause detector report that the process was paused.
	pause func()
}

// fleet is a set of hosts in data centres a and b with one target in each: the target in a holds shards 0 and 1, the one in b only shard 1.
type fleet struct {
	t       *testing.T
	clock   *timer.Clock
	nodes   map[string]*node
	targets []*emul.Target
	store   *emul.Store
	shards  *shard.Map
	// frozen stops the targets' clock, so that running orders don't end.
	frozen atomic.Bool
	// replies holds all replies of the fleet in order.
	replies []wire.OrderReply
}

// withFleet runs f on a new fleet whose hosts' guards were changed by configure.
func withFleet(t *testing.T, configure func(*guards), f func(*fleet)) {
	t.Helper()
	fl := &fleet{t: t, clock: timer.New(), nodes: map[string]*node{}}
	fl.store = emul.NewStore(fl.clock)
	platform := store.New(fl.clock, serverAddress(t, httptest.NewServer(fl.store.Handler())))
	fl.shards = &shard.Map{Service: "silo", Version: 1, Index: 1, Shards: [][]int{{0}, {0, 1}}}
	targetClock := fl.newTargetClock()
	for _, datacentre := range []string{"a", "b"} {
		emulated := emul.NewTarget(targetClock, emul.TargetSettings{
			Name:   datacentre,
			Slots:  4,
			Cold:   4,
			Median: units.Duration(30 * time.Millisecond),
		})
		fl.targets = append(fl.targets, emulated)
		fl.shards.Targets = append(fl.shards.Targets, shard.Target{
			Name:       "t" + datacentre,
			Address:    serverAddress(t, httptest.NewServer(emulated.Handler())),
			Datacentre: datacentre,
			Slots:      4,
			Conns:      4,
		})
	}
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2"} {
		fl.startHost(name, platform, configure)
	}
	fl.updateViews(func(map[string]wire.Member) {})
	t.Cleanup(func() { fl.frozen.Store(false) })
	f(fl)
}

// newTargetClock returns a clock for the targets that runs in real time unless the fleet is frozen.
func (fl *fleet) newTargetClock() *timer.Clock {
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	tick := fl.clock.Every(time.Millisecond)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-tick.C:
				if !fl.frozen.Load() {
					manual.Advance(time.Millisecond)
				}
			case <-done:
				return
			}
		}
	}()
	fl.t.Cleanup(func() {
		tick.Stop()
		close(done)
	})
	return clock
}

// serverAddress returns the address of a test server and closes the server at the end of the test.
func serverAddress(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// startHost adds a host to the fleet; the first letter of its name is its data centre.
func (fl *fleet) startHost(name string, platform *store.Client, configure func(*guards)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(fl.t, err)
	self := wire.Member{
		HostID:     wire.HostID{Name: name, Incarnation: 1},
		Datacentre: name[:1],
		Peers:      netip.MustParseAddrPort(listener.Addr().String()),
	}
	b := board.New(fl.clock, self)
	b.PutShardMap(fl.shards)
	// The pause detector's clock is manual: the host counts as running until a test makes the clock jump.
	detectorClock, detectorManual := timer.NewManualClock(time.Unix(1000, 0))
	b.PauseDetector = board.NewPauseDetector(detectorClock)
	// The keeper only assigns targets to hosts; sender replaces the part that sends orders to them.
	k := keeper.New(fl.clock, b, zap.NewNop(), tally.NoopScope)
	orderSender := &sender{fl: fl, pauses: b.PauseDetector}
	n := &node{server: wire.NewServer(listener), dialer: wire.NewDialer(), pause: func() { detectorManual.AdvanceWithoutCalls(2 * board.PauseThreshold) }}
	n.Book = New(fl.clock, b, keeper.NewClient(name, k, n.dialer), n.dialer, platform, zap.NewNop(), tally.NoopScope)
	configure(&n.guards)
	n.send = orderSender.sendFunc(self.HostID, n.dialer)
	require.NoError(fl.t, n.server.Register(senderName, orderSender))
	require.NoError(fl.t, n.server.Register(ServiceName, NewService(n.Book)))
	go n.server.Serve()
	fl.t.Cleanup(func() {
		n.server.Close()
		n.dialer.Close()
	})
	fl.nodes[name] = n
}

// sender sends orders to targets as a host's keeper does, with 4 slots for all targets together.
type sender struct {
	fl     *fleet
	pauses *board.PauseDetector
	slots  chan struct{}
	once   sync.Once
}

const senderName = "Sender"

// sendFunc returns a replacement for Book.send that calls the sender of the keeper's host.
func (s *sender) sendFunc(self wire.HostID, dialer *wire.Dialer) func(context.Context, wire.Member, wire.Send) (wire.OrderReply, error) {
	return func(ctx context.Context, m wire.Member, o wire.Send) (r wire.OrderReply, err error) {
		if m.HostID == self {
			err = s.Send(o, &r)
			return r, err
		}
		err = dialer.Call(ctx, m.Peers, senderName+".Send", o, &r)
		return r, err
	}
}

// Send sends an order to its target once a slot is free and maps the target's answer to a reply.
func (s *sender) Send(o wire.Send, r *wire.OrderReply) error {
	s.once.Do(func() { s.slots = make(chan struct{}, 4) })
	r.Target = o.Target
	startDeadline, cancel := s.fl.clock.WithTimeout(context.Background(), o.Left)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-startDeadline.Done():
		r.Fault = fault.New(fault.TooLate, "no slot")
		return nil
	}
	defer func() { <-s.slots }()
	client := target.NewClient(s.fl.shards.Target(o.Target).Address, 4, bound.NewMemory(1<<20))
	defer client.Close()
	reply, err := client.Order(context.Background(), startDeadline, s.checkRunning, target.Order{ID: o.ID, Payload: o.Payload})
	r.Payload = reply.Payload
	var sendError *target.SendError
	var refusal *target.Refusal
	switch {
	case err == nil:
	case errors.As(err, &sendError) && sendError.Sent:
		r.Fault = fault.New(fault.Unknown, "%v", err)
	case errors.As(err, &refusal) && refusal.Reason == target.ReasonShed:
		r.Fault = fault.New(fault.Overload, "%v", err)
	case errors.As(err, &refusal):
		r.Fault = fault.New(fault.NoReplica, "%v", err)
	default:
		r.Fault = fault.Of(err)
	}
	return nil
}

func (s *sender) checkRunning() error {
	if !s.pauses.MaySend() {
		return fault.New(fault.Paused, "paused")
	}
	return nil
}

// updateViews merges the views of all hosts, applies change and publishes the result at every host.
func (fl *fleet) updateViews(change func(map[string]wire.Member)) {
	members := map[string]wire.Member{}
	for _, n := range fl.nodes {
		maps.Copy(members, n.board.Membership.Load().Members)
	}
	change(members)
	for _, n := range fl.nodes {
		n.board.Membership.Update(func(*board.Membership) *board.Membership { return &board.Membership{Members: maps.Clone(members)} })
	}
}

// setState sets the state of a host in every host's view.
func (fl *fleet) setState(name string, s wire.HostState) {
	fl.updateViews(func(m map[string]wire.Member) {
		member := m[name]
		member.State = s
		m[name] = member
	})
}

// kill closes a host's server without a hand-over and marks the host dead in every view.
func (fl *fleet) kill(name string) {
	fl.nodes[name].server.Close()
	fl.setState(name, wire.Dead)
}

// stopGracefully lets a host finish its orders and hand over its records, and then marks it dead.
func (fl *fleet) stopGracefully(name string) {
	fl.setState(name, wire.Leaving)
	n := fl.nodes[name]
	n.Close()
	<-n.Idle()
	n.HandOver(context.Background())
	require.NoError(fl.t, n.server.Shutdown(context.Background()))
	fl.setState(name, wire.Dead)
}

// newOrder returns an order of a shard without a ticket.
func (fl *fleet) newOrder(shardIndex int) wire.Order {
	return wire.Order{
		Service: "silo",
		Shard:   shardIndex,
		Left:    10 * time.Second,
		Attempt: 1,
		Payload: []byte("one load"),
	}
}

// newTicketedOrder returns an order of a shard with a ticket that the host issued.
func (fl *fleet) newTicketedOrder(host string, shardIndex int) wire.Order {
	o := fl.newOrder(shardIndex)
	o.Ticket = fl.nodes[host].IssueTickets(1)[0]
	return o
}

// runAt runs an order at a host and records the reply.
func (fl *fleet) runAt(host string, o wire.Order) wire.OrderReply {
	return fl.recordReply(fl.nodes[host].Run(context.Background(), o))
}

// runKeyedAt runs an order with the fleet's one caller's key at a host and records the reply.
func (fl *fleet) runKeyedAt(host string, o wire.Order, repeated bool) wire.OrderReply {
	k := Key{
		Service:   o.Service,
		Name:      "reservation 7",
		CreatedAt: fl.clock.Now().Truncate(time.Hour),
		Repeated:  repeated,
	}
	return fl.recordReply(fl.nodes[host].RunKeyed(context.Background(), k, o))
}

// recordReply adds a reply to replies and returns it.
func (fl *fleet) recordReply(r wire.OrderReply) wire.OrderReply {
	fl.replies = append(fl.replies, r)
	return r
}

// countRuns returns how often any order ran at any target.
func (fl *fleet) countRuns() int {
	total := 0
	for _, t := range fl.targets {
		for _, n := range t.Stats().Runs {
			total += n
		}
	}
	return total
}

// keeperOf returns the name of a target's keeper.
func (fl *fleet) keeperOf(target int) string {
	m, _ := fl.nodes["b1"].table().Keeper(fl.shards.Targets[target].Name)
	return m.Name
}

// eventually waits until the condition holds and fails the test after 10 seconds.
func (fl *fleet) eventually(condition func() bool) {
	require.Eventually(fl.t, condition, 10*time.Second, time.Millisecond)
}
