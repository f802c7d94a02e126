package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcross/conf"
	"kingcupcross/coord"
	"kingcupcross/follow"
	"kingcupcross/logs"
	"kingcupcross/meter"
	"kingcupcross/platform"
	"kingcupcross/pool"
	"kingcupcross/relay"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const (
	// leaveNotice is the time from the signal to stop until connections are closed: the balancer sends no new ones after two questions, one a second. It takes at most noticeShare of the grace, so that requests in flight have the rest.
	leaveNotice = 3 * time.Second
	noticeShare = 0.5
	// stopMargin is left of the grace when the process ends by itself.
	stopMargin = 300 * time.Millisecond
	// headerTimeout bounds the time in which a request's head has to come.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections that callers don't use; it is above any that the operator states.
	idleTimeout = 3 * time.Minute
	// maxHeader bounds a request's head, in bytes.
	maxHeader = 64 << 10
	// heldShare is the part of the host's memory that the bodies of targets' answers may hold while they are read, as a divisor: the collector lets the heap grow to twice what is held, and joining a body takes its size once more.
	heldShare = 16
	// sweepPeriod is the time between two clean-ups of what is no longer needed.
	sweepPeriod = 5 * time.Second
)

// Front is one host.
type Front struct {
	conf    *conf.Front
	read    func() (*conf.Front, error)
	clock   *timer.Service
	logs    *logs.Logs
	log     *zap.Logger
	meter   *meter.Meter
	follow  *follow.Follower
	engine  *relay.Engine
	coord   *coord.Coord
	store   *platform.Store
	dialer  *wire.Dialer
	pool    *pool.Pool
	leaving atomic.Bool
	// apart says that the host is cut off and can't serve.
	apart atomic.Bool
}

// New builds a host from its settings; read reads their file again.
func New(c *conf.Front, read func() (*conf.Front, error)) (*Front, error) {
	l, err := logs.New(c.Name, nil)
	if err != nil {
		return nil, err
	}
	clock := timer.New()
	m := meter.New()
	store := platform.NewStore(clock, c.Store, c.Datacentres, l.For("follow"))
	f := &Front{
		conf:   c,
		read:   read,
		clock:  clock,
		logs:   l,
		log:    l.For("front"),
		meter:  m,
		pool:   pool.New(clock, int64(c.Memory)/heldShare, m.Scope.SubScope("pool")),
		store:  store,
		dialer: wire.NewDialer(),
	}
	f.follow = follow.New(clock, follow.Store{
		Operator:      store.Operator,
		AwaitOperator: store.AwaitOperator,
		Targets:       store.Targets,
		AwaitTargets:  store.AwaitTargets,
	}, c.News(), c.Lapse(), l.For("follow"), m.Scope.SubScope("follow"))
	store.Unreadable = f.follow.Unreadable
	store.Called = func(call string) {
		m.Scope.SubScope("store").Tagged(map[string]string{"call": call}).Counter("calls").Inc(1)
	}
	f.follow.SetCrowd(f.crowd(), c.First)
	f.coord = coord.New(clock, coord.Parts{
		Self: coord.Member{
			Name:       c.Name,
			Datacentre: c.Datacentre,
			Region:     c.Region,
			Requests:   c.Requests,
			Views:      c.Views,
			Cores:      c.Cores,
		},
		Local:  func(ctx context.Context, r *relay.Request) *relay.Answer { return f.engine.Handle(ctx, r) },
		Send:   f.learning(platform.Forward(f.pool)),
		Ping:   f.ping,
		Config: f.follow.Config,
		View:   f.follow.View,
	}, l.For("coord"), m.Scope.SubScope("coord"))
	f.engine = relay.New(clock, relay.Place{
		Datacentre: c.Datacentre,
		Region:     c.Region,
	}, relay.Beliefs{
		Config: f.follow.Config,
		View:   f.follow.View,
		Out:    f.follow.Out,
		Share:  f.coord.Share,
		Room:   f.coord.Room,
	}, relay.Limits{
		Extra:  c.Extra,
		Slack:  c.Slack,
		Heat:   c.Heat,
		Margin: c.Margin,
		Leave:  c.Leave.D(),
	}, platform.Egress(f.pool), l.For("relay"), m.Scope.SubScope("relay"))
	f.engine.SetHelpers(relay.Helpers{
		Has: f.coord.HasHelper,
		Ask: f.coord.AskHelper,
	})
	return f, nil
}

// Run serves until a signal or a failure ends it; after a signal it returns nil once all requests in flight are finished.
func (f *Front) Run() error {
	defer f.logs.Close()
	defer f.meter.Close()
	defer f.pool.Close()
	defer f.dialer.Close()
	var group run.Group
	callers := f.ingress(f.handle, false)
	hosts := f.ingress(f.coord.Answer, true)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, f.ready)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", f.meter.Handler())
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{address: f.conf.Callers, server: callers},
		{address: f.conf.Requests, server: hosts},
		{address: f.conf.Ready, server: &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{address: netip.AddrPortFrom(f.conf.Callers.Addr(), uint16(f.conf.Metrics)), server: &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}},
	}
	for _, s := range servers {
		if err := f.addServer(&group, s.address, s.server); err != nil {
			return err
		}
	}
	if err := f.addViews(&group); err != nil {
		return err
	}
	f.addLoop(&group, f.follow.RunOperator)
	f.addLoop(&group, f.follow.RunTargets)
	f.addLoop(&group, f.sweep)
	f.addLoop(&group, f.warm)
	f.addLoop(&group, f.register)
	f.addLoop(&group, f.greet)
	f.addLoop(&group, f.watchCut)
	f.addLoop(&group, func(ctx context.Context) error { return f.follow.RunFeed(ctx, f.feed()) })
	f.addLoop(&group, func(ctx context.Context) error { return f.follow.RunSpares(ctx, f.feed()) })
	f.addStop(&group, callers, hosts)
	f.log.Info("host started", zap.Any("settings", f.conf))
	err := group.Run()
	f.log.Info("host stopped", zap.Error(err))
	return err
}

// send carries a request to another host until a deadline.
type send func(ctx context.Context, to coord.Member, r *relay.Request, deadline time.Time) (*relay.Answer, error)

// learning returns a send that takes what the other host has heard from targets.
func (f *Front) learning(inner send) send {
	return func(ctx context.Context, to coord.Member, r *relay.Request, deadline time.Time) (*relay.Answer, error) {
		a, err := inner(ctx, to, r, deadline)
		if err == nil {
			f.engine.Learn(a.Leavers)
		}
		return a, err
	}
}

// handle answers a caller; right after a start it waits for what the answer needs, which is sooner than the caller could come back.
func (f *Front) handle(ctx context.Context, r *relay.Request) *relay.Answer {
	began := f.clock.Now()
	f.follow.AwaitReady(ctx)
	if r.Left > 0 {
		r.Left = max(r.Left-f.clock.Since(began), time.Millisecond)
	}
	return f.coord.Handle(ctx, r)
}

func (f *Front) ingress(handle func(context.Context, *relay.Request) *relay.Answer, hosts bool) *http.Server {
	return &http.Server{
		Handler: &platform.Ingress{
			Handle:  handle,
			Clock:   f.clock,
			MaxBody: f.maxBody,
			Leaving: f.aside,
			Hosts:   hosts,
		},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

func (f *Front) maxBody() int64 {
	if c := f.follow.Config(); c != nil {
		return c.Limits.Body
	}
	return 0
}

// ready answers the balancer.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.aside() || !f.follow.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, eris.Wrapf(err, "listen at %s", a)
}

func (f *Front) addServer(group *run.Group, a netip.AddrPort, s *http.Server) error {
	l, err := listen(a)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	group.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve at %s", a)
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		s.Close()
	})
	return nil
}

func (f *Front) addLoop(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// warm sets up connections for hedges while this host answers requests itself.
func (f *Front) warm(ctx context.Context) error {
	tick := f.clock.Every(relay.WarmPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if f.coord.Busy() {
				f.engine.Warm(ctx, f.pool.Ready, f.pool.Prepare)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep drops what is no longer needed.
func (f *Front) sweep(ctx context.Context) error {
	tick := f.clock.Every(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.engine.Forget()
			f.gauge()
			used := f.usedAddresses()
			f.pool.Sweep(func(a netip.AddrPort) bool { return used[a] })
		case <-ctx.Done():
			return nil
		}
	}
}

// gauge shows what this host believes.
func (f *Front) gauge() {
	scope := f.meter.Scope.SubScope("follow")
	view := f.follow.View()
	var draining float64
	for _, e := range view.Entries {
		if e.Draining {
			draining++
		}
	}
	scope.Gauge("store_reachable").Update(flag(!f.follow.Away()))
	f.meter.Scope.SubScope("front").Gauge("cut_off").Update(flag(f.apart.Load()))
	scope.Gauge("targets").Update(float64(len(view.Entries)))
	scope.Gauge("targets_draining").Update(draining)
	operator, targets := f.follow.Ages()
	scope.Gauge("operator_age_seconds").Update(operator.Seconds())
	scope.Gauge("targets_age_seconds").Update(targets.Seconds())
	scope.Gauge("targets_behind_seconds").Update(f.follow.Lag().Seconds())
	f.meter.Scope.SubScope("relay").Gauge("limits_share").Update(f.coord.Share())
}

// addStop ends the host gracefully at a signal: it tells the balancer first, goes on serving, then closes idle connections and waits for what is in flight.
func (f *Front) addStop(group *run.Group, servers ...*http.Server) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		defer signal.Stop(signals)
		if !f.awaitStop(ctx, signals) {
			return nil
		}
		began := f.clock.Now()
		f.leaving.Store(true)
		notice := min(leaveNotice, time.Duration(noticeShare*float64(f.conf.Grace.D())))
		f.log.Info("host is leaving", zap.Duration("notice", notice))
		if f.clock.Sleep(ctx, notice) != nil {
			return nil
		}
		left := f.conf.Grace.D() - stopMargin - f.clock.Since(began)
		finish, done := f.clock.WithTimeout(ctx, left)
		defer done()
		f.shutdown(finish, servers)
		return nil
	}, func(error) { cancel() })
}

// shutdown ends the servers once what they have in flight is finished.
func (f *Front) shutdown(ctx context.Context, servers []*http.Server) {
	var all sync.WaitGroup
	for _, s := range servers {
		all.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				f.log.Warn("requests are cut off at the end of the grace", zap.Error(err))
			}
		})
	}
	all.Wait()
}

// reread says what a change of the settings file means: a host takes its addresses and limits at its start.
func (f *Front) reread() {
	next, err := f.read()
	switch {
	case err != nil:
		f.log.Error("settings can't be read, those of the start stay in force", zap.Error(err))
	case reflect.DeepEqual(next, f.conf):
		f.log.Info("settings were read anew and are the same")
	default:
		f.log.Warn("settings have changed and take effect at the next start", zap.Any("settings", next))
	}
}

// awaitStop returns true at the signal to stop and false where the context ends first.
func (f *Front) awaitStop(ctx context.Context, signals <-chan os.Signal) bool {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true
			}
			f.reread()
		case <-ctx.Done():
			return false
		}
	}
}

// flag returns a fact as a gauge shows it.
func flag(fact bool) float64 {
	if fact {
		return 1
	}
	return 0
}
