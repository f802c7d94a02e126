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
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcross/build"
	"kingcupcross/conf"
	"kingcupcross/coord"
	"kingcupcross/fault"
	"kingcupcross/follow"
	"kingcupcross/logs"
	"kingcupcross/meter"
	"kingcupcross/platform"
	"kingcupcross/poison"
	"kingcupcross/pool"
	"kingcupcross/relay"
	"kingcupcross/roster"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const (
	// leaveNotice is the time from the signal to stop until connections are closed. The balancer checks readiness once a second and sends no new connections after two checks. The notice takes at most maxNoticeFraction of the grace, so that requests in flight have the rest.
	leaveNotice       = 3 * time.Second
	maxNoticeFraction = 0.5
	// stopMargin is the part of the grace that is left unused, so that the process ends before it is killed.
	stopMargin = 300 * time.Millisecond
	// headerTimeout limits how long a request's head may take to arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without requests is closed; it is above any idle timeout that the platform's operator states.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes limits the size of a request's head, in bytes.
	maxHeaderBytes = 64 << 10
	// bodyMemoryDivisor is the divisor of the host's memory that gives the memory for the bodies of targets' answers while they are read. It allows for the garbage collector, which lets the heap grow to twice what is in use, and for joining a body, which takes its size once more.
	bodyMemoryDivisor = 16
	// sweepPeriod is the time between two clean-ups of connections and state that are no longer needed.
	sweepPeriod = 5 * time.Second
)

// Front is one host, with the servers and loops that it runs.
type Front struct {
	conf         *conf.Front
	readSettings func() (*conf.Front, error)
	clock        *timer.Clock
	logs         *logs.Logs
	log          *zap.Logger
	meter        *meter.Meter
	follow       *follow.Follower
	engine       *relay.Engine
	coord        *coord.Coord
	rateShares   *coord.RateShares
	store        *platform.Store
	dialer       *wire.Dialer
	pool         *pool.Pool
	// poison holds what is known of requests that end their targets. Requests wait for poisonKnown after the start.
	poison      *poison.Registry
	poisonKnown *gate
	// storeRestored receives a value after the store was restored from an older copy. It holds at most one value.
	storeRestored chan struct{}
	// finisher ends the requests of a host that stops in time.
	finisher *finisher
	// leaving is set from the signal to stop on.
	leaving atomic.Bool
	// stopSignalled is closed at the signal to stop.
	stopSignalled chan struct{}
	// cutOff is set while the host is cut off from other hosts and can't serve.
	cutOff atomic.Bool
}

// New returns a host with the given settings; readSettings reads the settings file again.
func New(c *conf.Front, readSettings func() (*conf.Front, error)) (*Front, error) {
	l, err := logs.New(c.Name, nil)
	if err != nil {
		return nil, err
	}
	clock := timer.New()
	m := meter.New()
	store := platform.NewStore(clock, c.Store, c.Datacentres, l.For("follow"))
	f := &Front{
		conf:         c,
		readSettings: readSettings,
		clock:        clock,
		logs:         l,
		log:          l.For("front"),
		meter:        m,
		pool:         pool.New(clock, int64(c.Memory)/bodyMemoryDivisor, m.Scope.SubScope("pool")),
		store:        store,
		dialer:       wire.NewDialer(),
		poison:       poison.NewRegistry(clock, l.For("poison"), m.Scope.SubScope("poison")),
		poisonKnown:  newGate(),

		storeRestored: make(chan struct{}, 1),
		stopSignalled: make(chan struct{}),
	}
	f.follow = follow.New(clock, follow.Store{
		Operator:      store.Operator,
		AwaitOperator: store.AwaitOperator,
		Targets:       store.Targets,
		AwaitTargets:  store.AwaitTargets,
	}, c.ChangeDeadline(), c.OutageUntilExpiry(), l.For("follow"), m.Scope.SubScope("follow"))
	f.finisher = newFinisher(clock, f.follow.Config)
	f.follow.UseEpochs(store.Epochs)
	store.Epochs.Subscribe(f.signalRestore)
	store.OnUnreadableEntry = f.follow.NoteUnreadable
	store.OnCall = func(call string) {
		m.Scope.SubScope("store").Tagged(map[string]string{"call": call}).Counter("calls").Inc(1)
	}
	f.follow.SetHostGroup(f.hostGroup(), c.First)
	f.coord = coord.New(clock, coord.Dependencies{
		Self: coord.Member{
			Name:       c.Name,
			Datacentre: c.Datacentre,
			Region:     c.Region,
			Requests:   c.Requests,
			Views:      c.Views,
			Cores:      c.Cores,
		},
		AnswerLocally: func(ctx context.Context, r *relay.Request) *relay.Answer { return f.engine.Handle(ctx, r) },
		Send:          f.learnLeavers(platform.Forward(f.pool)),
		Ping:          f.ping,
		Config:        f.follow.Config,
		View:          f.follow.View,
	}, l.For("coord"), m.Scope.SubScope("coord"))
	f.rateShares = coord.NewRateShares(clock, f.coord, f.askRateShares, func(all []roster.RateLimit) { f.engine.LearnRateLimits(all) }, l.For("coord"), m.Scope.SubScope("coord"))
	f.engine = relay.New(clock, relay.Location{
		Datacentre: c.Datacentre,
		Region:     c.Region,
	}, relay.ClusterState{
		Config:        f.follow.Config,
		View:          f.follow.View,
		DatacentreOut: f.follow.DatacentreOut,
		LimitsShare:   f.coord.LimitShare,
		SlotsShare:    f.coord.SlotShare,
		RateShare:     f.rateShares.Share,
	}, relay.Limits{
		ExtraShare:     c.Extra,
		ExtraSlack:     c.Slack,
		ColdRateFactor: c.Heat,
		ColdRateMargin: c.Margin,
		LeavingTimeout: c.Leave.D(),
	}, platform.Egress(f.pool), l.For("relay"), m.Scope.SubScope("relay"))
	f.engine.SetDelegates(relay.Delegates{
		Available: f.coord.HasShardProxy,
		Forward:   f.coord.AskShardProxy,
	})
	f.engine.SetPoisonControl(relay.PoisonControl{
		Registry: f.poison,
		Ended:    f.endedTargets,
		Reached:  f.reachedTargets,
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
	callers := f.newIngress(f.handle, false)
	hosts := f.newIngress(f.coord.Answer, true)
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
	if err := f.addViewsServer(&group); err != nil {
		return err
	}
	f.addLoop(&group, f.follow.RunOperator)
	f.addLoop(&group, f.follow.RunTargets)
	f.addLoop(&group, f.sweep)
	f.addLoop(&group, f.warmConnections)
	f.addLoop(&group, f.renewRateShares)
	f.addLoop(&group, f.keepRegistered)
	f.addLoop(&group, f.greetHosts)
	f.addLoop(&group, f.watchCutOff)
	f.addLoop(&group, f.spreadPoison)
	f.addLoop(&group, f.watchPath)
	f.addLoop(&group, func(ctx context.Context) error { return f.follow.RunFeed(ctx, f.newFeed()) })
	f.addLoop(&group, func(ctx context.Context) error { return f.follow.RunFallbacks(ctx, f.newFeed()) })
	f.addGracefulStop(&group, callers, hosts)
	f.log.Info("host started", zap.String("version", build.Version), zap.String("build", build.ID()), zap.Any("settings", f.conf))
	err := group.Run()
	f.log.Info("host stopped", zap.Error(err))
	return err
}

// sendFunc forwards a request to another host, with a deadline for the answer.
type sendFunc func(ctx context.Context, to coord.Member, r *relay.Request, deadline time.Time) (*relay.Answer, error)

// learnLeavers returns a sendFunc that also records the targets that the other host's answer reports as leaving.
func (f *Front) learnLeavers(inner sendFunc) sendFunc {
	return func(ctx context.Context, to coord.Member, r *relay.Request, deadline time.Time) (*relay.Answer, error) {
		a, err := inner(ctx, to, r, deadline)
		if err == nil {
			f.engine.LearnLeaving(a.LeavingTargets)
		}
		return a, err
	}
}

// handle answers a caller. Right after a start it waits for configuration and targets, which takes less time than a retry by the caller.
func (f *Front) handle(ctx context.Context, r *relay.Request) *relay.Answer {
	began := f.clock.Now()
	f.follow.AwaitReady(ctx)
	f.poisonKnown.wait(ctx)
	if r.TimeLeft > 0 {
		r.TimeLeft = max(r.TimeLeft-f.clock.Since(began), time.Millisecond)
	}
	return f.coord.Handle(ctx, r)
}

// newIngress returns a server for requests of callers, or for those that other hosts forward if forwarded is set.
func (f *Front) newIngress(handle handleFunc, forwarded bool) *http.Server {
	wrap := f.finisher.wrap
	if forwarded {
		wrap = f.finisher.wrapForwarded
	}
	return &http.Server{
		BaseContext: func(net.Listener) context.Context { return f.finisher.requests },
		Handler: &platform.Ingress{
			Handle:           wrap(handle),
			Clock:            f.clock,
			MaxBody:          f.maxBody,
			CloseConnections: f.divertsCallers,
			AcceptForwarded:  forwarded,
			OnRejected:       func(r platform.Rejection) { f.reportRejection(r, forwarded) },
		},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// reportRejection counts a request that ends with a status from 300 to 499 by what decided it, and logs it unless the status promises callers that a repeat may succeed, which the engine logs.
func (f *Front) reportRejection(r platform.Rejection, forwarded bool) {
	from := "caller"
	if forwarded {
		from = "host"
	}
	f.meter.Scope.SubScope("front").Tagged(map[string]string{"kind": r.Kind(), "status": strconv.Itoa(r.Status), "from": from}).Counter("rejected").Inc(1)
	if fault.PromisesNotRun(r.Status) {
		return
	}
	cause := ""
	if r.Fault != nil {
		cause = r.Fault.Text
	}
	f.log.Info("request rejected", zap.String("request", r.RequestID), zap.Int("status", r.Status), zap.String("kind", r.Kind()), zap.String("from", from), zap.String("cause", cause))
}

// maxBody returns the limit for the bodies of requests, zero before the first configuration.
func (f *Front) maxBody() int64 {
	if c := f.follow.Config(); c != nil {
		return c.Limits.Body
	}
	return 0
}

// ready answers the balancer's health check.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.divertsCallers() || !f.follow.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, eris.Wrapf(err, "listen at %s", a)
}

// addServer listens at an address and adds the server to the group.
func (f *Front) addServer(group *run.Group, a netip.AddrPort, s *http.Server) error {
	l, err := listen(a)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve at %s", a)
		}
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		s.Close()
	})
	return nil
}

// addLoop adds a loop that runs until the group ends.
func (f *Front) addLoop(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// warmConnections periodically opens connections for hedged requests while this host answers requests.
func (f *Front) warmConnections(ctx context.Context) error {
	tick := f.clock.Every(relay.PreconnectPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if f.coord.ServesRequests() {
				f.engine.Preconnect(ctx, f.pool.HasIdle, f.pool.Preconnect)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep removes state and connections that are no longer needed and updates the gauges.
func (f *Front) sweep(ctx context.Context) error {
	tick := f.clock.Every(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.engine.Prune()
			f.updateGauges()
			used := f.usedAddresses()
			f.pool.CloseUnusable(func(a netip.AddrPort) bool { return used[a] })
		case <-ctx.Done():
			return nil
		}
	}
}

// updateGauges sets the gauges of the configuration, the targets and the store.
func (f *Front) updateGauges() {
	scope := f.meter.Scope.SubScope("follow")
	view := f.follow.View()
	var draining float64
	for _, e := range view.Entries {
		if e.Draining {
			draining++
		}
	}
	scope.Gauge("store_reachable").Update(gaugeValue(!f.follow.StoreUnreachable()))
	f.meter.Scope.SubScope("front").Gauge("path_lost").Update(gaugeValue(f.coord.FailingOver()))
	f.meter.Scope.SubScope("front").Gauge("cut_off").Update(gaugeValue(f.cutOff.Load()))
	scope.Gauge("targets").Update(float64(len(view.Entries)))
	scope.Gauge("targets_draining").Update(draining)
	operator, targets := f.follow.Ages()
	scope.Gauge("operator_age_seconds").Update(operator.Seconds())
	scope.Gauge("targets_age_seconds").Update(targets.Seconds())
	scope.Gauge("targets_behind_seconds").Update(f.follow.TargetsLag().Seconds())
	f.meter.Scope.SubScope("relay").Gauge("limits_share").Update(f.coord.LimitShare())
}

// addGracefulStop adds the graceful stop at a signal to the group: the host first fails the balancer's health check while it goes on serving, then closes idle connections and waits for the requests in flight. Requests that may take longer than the grace are refused all the while.
func (f *Front) addGracefulStop(group *run.Group, callers, hosts *http.Server) {
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
		close(f.stopSignalled)
		f.finisher.begin(began.Add(f.conf.Grace.D() - stopMargin))
		notice := min(leaveNotice, time.Duration(maxNoticeFraction*float64(f.conf.Grace.D())))
		f.log.Info("host is leaving", zap.Duration("notice", notice))
		if f.clock.Sleep(ctx, notice) != nil {
			return nil
		}
		remaining := f.conf.Grace.D() - stopMargin - f.clock.Since(began)
		finishCtx, cancelFinish := f.clock.WithTimeout(ctx, remaining)
		defer cancelFinish()
		f.shutdown(finishCtx, callers, hosts)
		return nil
	}, func(error) { cancel() })
}

// shutdown stops the servers for callers and hosts once their requests in flight are finished or ctx ends. The server for hosts stops last, after it has declined requests for declineTime.
func (f *Front) shutdown(ctx context.Context, callers, hosts *http.Server) {
	f.finisher.declines.Store(true)
	declined := f.clock.After(declineTime)
	f.shutdownServer(ctx, callers)
	select {
	case <-declined:
	case <-ctx.Done():
	}
	f.shutdownServer(ctx, hosts)
}

// shutdownServer stops a server once its requests in flight are finished or ctx ends.
func (f *Front) shutdownServer(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		f.log.Warn("requests were aborted because the grace has ended", zap.Error(err))
	}
}

// checkSettings reads the settings file again and logs whether it has changed; addresses and limits take effect only at the next start.
func (f *Front) checkSettings() {
	next, err := f.readSettings()
	switch {
	case err != nil:
		f.log.Error("settings can't be read, those from the start stay in force", zap.Error(err))
	case reflect.DeepEqual(next, f.conf):
		f.log.Info("settings were read again and have not changed")
	default:
		f.log.Warn("settings have changed and take effect at the next start", zap.Any("settings", next))
	}
}

// awaitStop returns true at a signal to stop and false if the context ends first; SIGHUP reads the settings again.
func (f *Front) awaitStop(ctx context.Context, signals <-chan os.Signal) bool {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true
			}
			f.checkSettings()
		case <-ctx.Done():
			return false
		}
	}
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
