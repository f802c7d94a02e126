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

// node is one host of a fleet: its book and keeper behind a real server on loopback.
type node struct {
	*Book
	server *wire.Server
	dialer *wire.Dialer
	// pause makes the host find that it was paused.
	pause func()
}

// fleet is a few hosts in data centres a and b with a target in each; shard 0 is at a's target only, shard 1 at both.
type fleet struct {
	t       *testing.T
	clock   *timer.Service
	nodes   map[string]*node
	targets []*emul.Target
	store   *emul.Store
	shards  *shard.Map
	// frozen keeps the targets' orders from ending.
	frozen atomic.Bool
	// replies are all that the fleet has answered.
	replies []wire.OrderReply
}

func withFleet(t *testing.T, guard func(*guards), f func(*fleet)) {
	t.Helper()
	fl := &fleet{t: t, clock: timer.New(), nodes: map[string]*node{}}
	fl.store = emul.NewStore(fl.clock)
	platform := store.New(fl.clock, serveOn(t, httptest.NewServer(fl.store.Handler())))
	fl.shards = &shard.Map{Service: "silo", Version: 1, Index: 1, Shards: [][]int{{0}, {0, 1}}}
	work := fl.workTime()
	for _, datacentre := range []string{"a", "b"} {
		stand := emul.NewTarget(work, emul.TargetSettings{
			Name:   datacentre,
			Slots:  4,
			Cold:   4,
			Median: units.Duration(30 * time.Millisecond),
		})
		fl.targets = append(fl.targets, stand)
		fl.shards.Targets = append(fl.shards.Targets, shard.Target{
			Name:       "t" + datacentre,
			Address:    serveOn(t, httptest.NewServer(stand.Handler())),
			Datacentre: datacentre,
			Slots:      4,
			Conns:      4,
		})
	}
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2"} {
		fl.start(name, platform, guard)
	}
	fl.see(func(map[string]wire.Member) {})
	t.Cleanup(func() { fl.frozen.Store(false) })
	f(fl)
}

// workTime returns the targets' clock, which runs unless the fleet is frozen.
func (fl *fleet) workTime() *timer.Service {
	work, manual := timer.NewManual(time.Unix(1000, 0))
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
	return work
}

func serveOn(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (fl *fleet) start(name string, platform *store.Client, guard func(*guards)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(fl.t, err)
	self := wire.Member{
		HostID:     wire.HostID{Name: name, Incarnation: 1},
		Datacentre: name[:1],
		Peers:      netip.MustParseAddrPort(l.Addr().String()),
	}
	b := board.New(fl.clock, self)
	b.PutMap(fl.shards)
	// The pulse stands still, as for a host that is awake, until a test pauses it.
	still, pause := timer.NewManual(time.Unix(1000, 0))
	b.Pulse = board.NewPulse(still)
	// The keeper only names the keepers; sender stands for what it sends.
	k := keeper.New(fl.clock, b, zap.NewNop(), tally.NoopScope)
	out := &sender{fl: fl, pulse: b.Pulse}
	n := &node{server: wire.NewServer(l), dialer: wire.NewDialer(), pause: func() { pause.Jump(2 * board.PulseLimit) }}
	n.Book = New(fl.clock, b, keeper.NewClient(name, k, n.dialer), n.dialer, platform, zap.NewNop(), tally.NoopScope)
	guard(&n.guards)
	n.send = out.way(self.HostID, n.dialer)
	require.NoError(fl.t, n.server.Register(senderName, out))
	require.NoError(fl.t, n.server.Register(Remote, NewService(n.Book)))
	go n.server.Serve()
	fl.t.Cleanup(func() {
		n.server.Close()
		n.dialer.Close()
	})
	fl.nodes[name] = n
}

// sender sends orders for a host as its keeper does, with 4 slots for all.
type sender struct {
	fl    *fleet
	pulse *board.Pulse
	slots chan struct{}
	once  sync.Once
}

const senderName = "Sender"

// way returns what carries an order to the sender of a keeper.
func (s *sender) way(self wire.HostID, dialer *wire.Dialer) func(context.Context, wire.Member, wire.Send) (wire.OrderReply, error) {
	return func(ctx context.Context, m wire.Member, o wire.Send) (r wire.OrderReply, err error) {
		if m.HostID == self {
			err = s.Send(o, &r)
			return r, err
		}
		err = dialer.Call(ctx, m.Peers, senderName+".Send", o, &r)
		return r, err
	}
}

// Send answers the call of that name.
func (s *sender) Send(o wire.Send, r *wire.OrderReply) error {
	s.once.Do(func() { s.slots = make(chan struct{}, 4) })
	r.Target = o.Target
	begin, cancel := s.fl.clock.WithTimeout(context.Background(), o.Left)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-begin.Done():
		r.Fault = fault.New(fault.TooLate, "no slot")
		return nil
	}
	defer func() { <-s.slots }()
	client := target.NewClient(s.fl.shards.Target(o.Target).Address, 4)
	defer client.Close()
	reply, err := client.Order(context.Background(), begin, s.awake, target.Order{ID: o.ID, Payload: o.Payload})
	r.Payload = reply.Payload
	var failed *target.SendError
	var refusal *target.Refusal
	switch {
	case err == nil:
	case errors.As(err, &failed) && failed.Sent:
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

func (s *sender) awake() error {
	if !s.pulse.Awake() {
		return fault.New(fault.Paused, "paused")
	}
	return nil
}

// see gives all hosts one view, after change.
func (fl *fleet) see(change func(map[string]wire.Member)) {
	members := map[string]wire.Member{}
	for _, n := range fl.nodes {
		maps.Copy(members, n.board.View.Load().Members)
	}
	change(members)
	for _, n := range fl.nodes {
		n.board.View.Update(func(*board.View) *board.View { return &board.View{Members: maps.Clone(members)} })
	}
}

func (fl *fleet) mark(name string, s wire.HostState) {
	fl.see(func(m map[string]wire.Member) {
		member := m[name]
		member.State = s
		m[name] = member
	})
}

// kill ends a host without a word; the others notice.
func (fl *fleet) kill(name string) {
	fl.nodes[name].server.Close()
	fl.mark(name, wire.Dead)
}

// leave stops a host gracefully.
func (fl *fleet) leave(name string) {
	fl.mark(name, wire.Leaving)
	n := fl.nodes[name]
	n.Close()
	<-n.Idle()
	n.HandOver(context.Background())
	require.NoError(fl.t, n.server.Shutdown(context.Background()))
	fl.mark(name, wire.Dead)
}

func (fl *fleet) order(n int) wire.Order {
	return wire.Order{
		Service: "silo",
		Shard:   n,
		Left:    10 * time.Second,
		Attempt: 1,
		Payload: []byte("one load"),
	}
}

// ticketed returns an order of shard n with a ticket of the host.
func (fl *fleet) ticketed(host string, n int) wire.Order {
	o := fl.order(n)
	o.Ticket = fl.nodes[host].Mint(1)[0]
	return o
}

func (fl *fleet) run(host string, o wire.Order) wire.OrderReply {
	return fl.note(fl.nodes[host].Run(context.Background(), o))
}

func (fl *fleet) keyed(host string, o wire.Order, repeated bool) wire.OrderReply {
	k := Key{
		Service:  o.Service,
		Name:     "reservation 7",
		Since:    fl.clock.Now().Truncate(time.Hour),
		Repeated: repeated,
	}
	return fl.note(fl.nodes[host].RunKeyed(context.Background(), k, o))
}

func (fl *fleet) note(r wire.OrderReply) wire.OrderReply {
	fl.replies = append(fl.replies, r)
	return r
}

// runs counts the runs of all orders at all targets.
func (fl *fleet) runs() int {
	total := 0
	for _, t := range fl.targets {
		for _, n := range t.Witness().Runs {
			total += n
		}
	}
	return total
}

// keeperOf returns the host that keeps a target.
func (fl *fleet) keeperOf(target int) string {
	m, _ := fl.nodes["b1"].table().Keeper(fl.shards.Targets[target].Name)
	return m.Name
}

// until waits for a state that other goroutines bring about.
func (fl *fleet) until(f func() bool) {
	require.Eventually(fl.t, f, 10*time.Second, time.Millisecond)
}
