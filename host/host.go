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
	"kingcupcross/build"
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

// Host is one host of the query tier, with its components.
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
	entry  *entry.API
	admin  *admin.Admin
	// serverShutdowns shut down the servers gracefully: each waits until its requests in flight are finished.
	serverShutdowns []func(context.Context) error
	// handOverTargets hands the targets that this host keeps over to their next keepers.
	handOverTargets func(context.Context) error
	// noticePeriod and lingerPeriod have the defaults of these names; tests shorten them.
	noticePeriod time.Duration
	lingerPeriod time.Duration
	// drain waits until the work in flight is finished; tests replace it.
	drain func(context.Context)
	// shutdownServer shuts down one server gracefully; tests replace it.
	shutdownServer func(ctx context.Context, server func(context.Context) error) error
	// stopRequested is closed by Stop.
	stopRequested chan struct{}
	// done is closed when the host's actors have to end.
	done     chan struct{}
	stopOnce sync.Once
}

// New builds a host from its start-up configuration, without starting it.
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
		conf:            c,
		clock:           clock,
		logs:            l,
		log:             l.For("host"),
		meter:           m,
		board:           b,
		dialer:          dialer,
		keeper:          k,
		book:            book,
		peers:           peers.New(clock, b, dialer.Call, platform.Hosts, c.Seeds, l.For("peers"), m.Scope.SubScope("peers")),
		spread:          spread.New(clock, b, platform, dialer.Call, l.For("spread"), m.Scope.SubScope("spread")),
		entry:           entry.New(clock, b, engine, book, l.For("entry"), m.Scope.SubScope("entry")),
		admin:           admin.New(b, k, m, l, engine.Explain),
		handOverTargets: k.Drain,
		noticePeriod:    defaultNoticePeriod,
		lingerPeriod:    defaultLingerPeriod,
		stopRequested:   make(chan struct{}),
		done:            make(chan struct{}),
	}
	h.drain, h.shutdownServer = h.drainRequests, h.shutdownWithin
	dialer.OnDisconnect = h.peers.HandleDisconnect
	h.peers.OnContact = h.spread.OnPeerHeads
	h.peers.Heads = h.spread.Heads
	return h, nil
}

// Run serves until the host is stopped or one of its actors fails. After a graceful stop, by a signal or by Stop, it
// returns nil once all requests in flight are finished.
func (h *Host) Run() error {
	defer h.logs.Close()
	defer h.meter.Close()
	defer h.dialer.Close()
	var group run.Group
	if err := h.addServers(&group); err != nil {
		return err
	}
	h.addLoop(&group, h.runPulse)
	h.addLoop(&group, h.peers.Run)
	h.addLoop(&group, h.spread.Run)
	h.addLoop(&group, h.book.DeleteExpiredClaims)
	h.addLoop(&group, h.keeper.Run)
	h.addStopActor(&group)
	h.log.Info("host started", zap.String("version", build.Version), zap.String("build", build.ID()), zap.String("id", h.board.Self.String()))
	err := group.Run()
	h.log.Info("host stopped", zap.Error(err))
	return err
}

// addLoop adds an actor that runs loop until its context is cancelled.
func (h *Host) addLoop(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// runPulse beats the pulse periodically. From a gap between beats the host notices that it was paused.
func (h *Host) runPulse(ctx context.Context) error {
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

// addServers adds the servers in the order in which they start; they are shut down in reverse order.
func (h *Host) addServers(group *run.Group) error {
	if err := h.addPeerServer(group); err != nil {
		return err
	}
	if err := h.addHTTPServer(group, h.conf.Admin, h.admin.Server()); err != nil {
		return err
	}
	return h.addHTTPServer(group, h.conf.Callers, h.entry.Server())
}

// addPeerServer adds the server for RPCs from other hosts.
func (h *Host) addPeerServer(group *run.Group) error {
	l, err := listen(h.conf.Peers)
	if err != nil {
		return err
	}
	s := wire.NewServer(l)
	services := []struct {
		name    string
		service any
	}{
		{name: keeper.ServiceName, service: keeper.NewService(h.keeper)},
		{name: order.ServiceName, service: order.NewService(h.book)},
		{name: peers.ServiceName, service: peers.NewService(h.peers)},
		{name: spread.ServiceName, service: spread.NewService(h.spread)},
	}
	for _, p := range services {
		if err := s.Register(p.name, p.service); err != nil {
			return err
		}
	}
	h.serverShutdowns = append(h.serverShutdowns, s.Shutdown)
	group.Add(h.serveUntilStopped(s.Serve), func(error) { s.Close() })
	return nil
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, eris.Wrapf(err, "listen at %s", a)
}

// addHTTPServer adds an actor that serves HTTP at an address.
func (h *Host) addHTTPServer(group *run.Group, a netip.AddrPort, s *http.Server) error {
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
	h.serverShutdowns = append(h.serverShutdowns, s.Shutdown)
	group.Add(h.serveUntilStopped(serve), func(error) { s.Close() })
	return nil
}
