package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcross/admin"
	"kingcupcross/board"
	"kingcupcross/conf"
	"kingcupcross/entry"
	"kingcupcross/keeper"
	"kingcupcross/logs"
	"kingcupcross/meter"
	"kingcupcross/order"
	"kingcupcross/peers"
	"kingcupcross/query"
	"kingcupcross/spread"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// Host is one host with its parts.
type Host struct {
	conf   *conf.Host
	clock  *timer.Clock
	logs   *logs.Logs
	log    *zap.Logger
	meter  *meter.Meter
	board  *board.State
	dialer *wire.Dialer
	keeper *keeper.Keeper
	book   *order.Book
	peers  *peers.Peers
	spread *spread.Distributor
	entry  *entry.Entry
	admin  *admin.Admin
	// shutdowns end the servers without cutting off what they have in flight.
	shutdowns []func(context.Context) error
	// handOver gives the targets that this host keeps to their next keepers.
	handOver func(context.Context) error
	// notice and linger stand for leaveNotice and leaveLinger.
	notice time.Duration
	linger time.Duration
	// drain waits for the work in flight.
	drain func(context.Context)
	// shutdown ends one server once what it has in flight is finished.
	shutdown func(ctx context.Context, server func(context.Context) error) error
	stop     chan struct{}
	// ended is closed once the host's actors are to end.
	ended chan struct{}
	once  sync.Once
}

// New builds a host from its settings.
func New(c *conf.Host) (*Host, error) {
	l, err := logs.New(c.Name, c.Log)
	if err != nil {
		return nil, err
	}
	clock := timer.New()
	m := meter.New()
	b := board.New(clock, wire.Member{
		HostID: wire.HostID{
			Name:        c.Name,
			Incarnation: uint64(clock.Now().UnixNano()),
		},
		Region:     c.Region,
		Datacentre: c.Datacentre,
		Peers:      c.Peers,
		Admin:      c.Admin,
	})
	platform := store.New(clock, c.Platform)
	dialer := wire.NewDialer()
	k := keeper.New(clock, b, l.For("keeper"), m.Scope.SubScope("keeper"))
	links := keeper.NewClient(c.Name, k, dialer)
	book := order.New(clock, b, links, dialer, platform, l.For("order"), m.Scope.SubScope("order"))
	engine := query.New(clock, b, links, l.For("query"), m.Scope.SubScope("query"))
	h := &Host{
		conf:     c,
		clock:    clock,
		logs:     l,
		log:      l.For("host"),
		meter:    m,
		board:    b,
		dialer:   dialer,
		keeper:   k,
		book:     book,
		peers:    peers.New(clock, b, dialer.Call, platform.Hosts, c.Seeds, l.For("peers"), m.Scope.SubScope("peers")),
		spread:   spread.New(clock, b, platform, dialer.Call, l.For("spread"), m.Scope.SubScope("spread")),
		entry:    entry.New(clock, b, engine, book, l.For("entry"), m.Scope.SubScope("entry")),
		admin:    admin.New(b, k, m, l, engine.Explain),
		handOver: k.Drain,
		notice:   leaveNotice,
		linger:   leaveLinger,
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
	h.drain, h.shutdown = h.finish, h.end
	dialer.OnDisconnect = h.peers.HandleDisconnect
	h.peers.OnContact = h.spread.OnPeerHeads
	h.peers.Heads = h.spread.Heads
	return h, nil
}

// Run serves until a signal or a failure ends it; after a signal it returns nil once all requests in flight are finished.
func (h *Host) Run() error {
	defer h.logs.Close()
	defer h.meter.Close()
	defer h.dialer.Close()
	var group run.Group
	if err := h.addServers(&group); err != nil {
		return err
	}
	h.addLoop(&group, h.beat)
	h.addLoop(&group, h.peers.Run)
	h.addLoop(&group, h.spread.Run)
	h.addLoop(&group, h.book.DeleteExpiredClaims)
	h.addLoop(&group, h.keeper.Run)
	h.addStop(&group)
	h.log.Info("host started", zap.String("id", h.board.Self.String()))
	err := group.Run()
	h.log.Info("host stopped", zap.Error(err))
	return err
}

func (h *Host) addLoop(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// beat keeps the pulse by which the host notices that it was paused.
func (h *Host) beat(ctx context.Context) error {
	tick := h.clock.Every(board.HeartbeatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.board.PauseDetector.Heartbeat()
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *Host) addServers(group *run.Group) error {
	if err := h.addPeerServer(group); err != nil {
		return err
	}
	if err := h.addHTTP(group, h.conf.Admin, h.admin.Server()); err != nil {
		return err
	}
	return h.addHTTP(group, h.conf.Callers, h.entry.Server())
}

func (h *Host) addPeerServer(group *run.Group) error {
	l, err := listen(h.conf.Peers)
	if err != nil {
		return err
	}
	s := wire.NewServer(l)
	parts := []struct {
		name string
		part any
	}{
		{name: keeper.ServiceName, part: keeper.NewService(h.keeper)},
		{name: order.ServiceName, part: order.NewService(h.book)},
		{name: peers.ServiceName, part: peers.NewService(h.peers)},
		{name: spread.ServiceName, part: spread.NewService(h.spread)},
	}
	for _, p := range parts {
		if err := s.Register(p.name, p.part); err != nil {
			return err
		}
	}
	h.shutdowns = append(h.shutdowns, s.Shutdown)
	group.Add(h.untilStopped(s.Serve), func(error) { s.Close() })
	return nil
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, eris.Wrapf(err, "listen at %s", a)
}

func (h *Host) addHTTP(group *run.Group, a netip.AddrPort, s *http.Server) error {
	l, err := listen(a)
	if err != nil {
		return err
	}
	serve := func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve at %s", a)
		}
		return nil
	}
	h.shutdowns = append(h.shutdowns, s.Shutdown)
	group.Add(h.untilStopped(serve), func(error) { s.Close() })
	return nil
}
