package relay

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/poison"
	"kingcupcross/rank"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// Location is the location of a host.
type Location struct {
	Datacentre string
	Region     string
}

// ClusterState gives access to the current state of the cluster as this host knows it. Each function returns an immutable value.
type ClusterState struct {
	// Config returns the configuration in force, nil before the first one is known.
	Config func() *route.Config
	// View returns the roster of targets.
	View func() *roster.View
	// DatacentreOut reports whether a data centre is out of service.
	DatacentreOut func(datacentre string) bool
	// LimitsShare returns the fraction of the limits over all hosts that this host may use, above 0 and at most 1.
	LimitsShare func() float64
	// SlotsShare returns the fraction of the targets' slots that this host may fill, above 0 and at most 1.
	SlotsShare func() float64
	// RateShare returns the fraction of the rate limit that a target's process states which this host may use; nil means LimitsShare.
	RateShare func(target string, born time.Time) float64
}

// Limits are bounds that hold for all hosts together.
type Limits struct {
	// ExtraShare is the allowed ratio of hedges and retries to requests.
	ExtraShare float64
	// ExtraSlack is the number of hedges and retries allowed per window beyond that ratio.
	ExtraSlack float64
	// ColdRateFactor is the factor on the stated rate of a cold target that bounds the requests sent to it.
	ColdRateFactor float64
	// ColdRateMargin is added to that bound, in requests per second.
	ColdRateMargin float64
	// LeavingTimeout is the time after which a target that has announced its shutdown must receive no more work.
	LeavingTimeout time.Duration
}

// Engine handles requests: it selects targets, sends sub-requests and assembles the answer.
type Engine struct {
	clock                *timer.Clock
	location             Location
	state                ClusterState
	limits               Limits
	send                 SendFunc
	delegates            Delegates
	estimators           rank.Table
	budgets              *extraBudgets
	splitter             trafficSplitter
	labels               routeLabels
	load                 loadTracker
	cold                 *coldLimiter
	probes               probeLimiter
	notices              noticeStore
	rates                rateLimiter
	unresponsiveRefusals chan struct{}
	poison               PoisonControl
	crashes              crashTracker
	reach                *reachTracker
	log                  *zap.Logger
	scope                tally.Scope
}

// New returns an engine for a host at a location. It reads the cluster state from the given functions and sends sub-requests with send.
func New(clock *timer.Clock, location Location, state ClusterState, limits Limits, send SendFunc, log *zap.Logger, scope tally.Scope) *Engine {
	e := &Engine{
		clock:                clock,
		location:             location,
		state:                state,
		limits:               limits,
		send:                 send,
		delegates:            Delegates{Available: func(string) bool { return false }},
		log:                  log,
		scope:                scope,
		unresponsiveRefusals: make(chan struct{}, 1),
		reach:                newReachTracker(),
	}
	e.budgets = newExtraBudgets(clock, limits.ExtraShare, func() float64 {
		return limits.ExtraSlack * state.LimitsShare()
	})
	e.cold = newColdLimiter(limits, state.LimitsShare)
	e.poison = PoisonControl{
		Registry: poison.NewRegistry(clock, log, tally.NoopScope),
		Ended:    func(context.Context, []*roster.Entry) []*roster.Entry { return nil },
		Reached:  func(context.Context, []*roster.Entry) []*roster.Entry { return nil },
	}
	return e
}

// SetDelegates enables delegation to hosts in other data centres. It must be called before the first request.
func (e *Engine) SetDelegates(d Delegates) {
	e.delegates = d
}

// SetPoisonControl enables the detection of requests that end their targets. It must be called before the first request.
func (e *Engine) SetPoisonControl(c PoisonControl) {
	e.poison = c
}

// Handle processes one request and returns its answer.
func (e *Engine) Handle(ctx context.Context, r *Request) *Answer {
	start := e.clock.Now()
	config := e.state.Config()
	if config == nil {
		return e.refuse(r, nil, fault.New(fault.Starting, "no configuration is known yet"))
	}
	matched := config.Match(r.Host, r.Path)
	if matched == nil {
		return e.refuse(r, nil, fault.New(fault.NoService, "no route of host %q begins path %q in version %d", r.Host, r.Path, config.Version))
	}
	if f := checkShards(r, config, matched); f != nil {
		return e.refuse(r, matched, f)
	}
	suspect, f := e.admitContent(r, matched)
	if f != nil {
		return e.refuse(r, matched, f)
	}
	q := e.newQuery(ctx, r, config, matched, start)
	q.cautious = matched.Fanout() && e.crashes.several(start)
	if suspect {
		d := r.Digest()
		q.suspect, q.crashed = true, e.poison.Registry.Crashed(d)
		q.lastTargetAllowed = e.poison.Registry.MayTakeLastTarget(d)
	}
	defer q.finish()
	a := q.execute()
	a.Version = config.Version
	a.ReachedTargets = q.reachedTargets
	if r.Origin != "" {
		a.LeavingTargets = e.LeavingTargets()
	}
	a.Took = e.clock.Since(start)
	e.recordAnswer(q, a)
	return a
}

// checkShards rejects a request for named shards that belong to another configuration or do not exist.
func checkShards(r *Request, c *route.Config, matched *route.Route) *fault.Error {
	if r.Shards == nil {
		return nil
	}
	if r.Version != c.Version {
		return fault.New(fault.Starting, "shards are from version %d, version %d is in force", r.Version, c.Version)
	}
	for _, i := range r.Shards {
		if i < 0 || i >= len(matched.Shards) {
			return fault.New(fault.Invalid, "route %s has no shard %d", matched.Name, i)
		}
	}
	return nil
}

// Prune discards the state kept for targets and services that no longer exist.
func (e *Engine) Prune() {
	view := e.state.View()
	e.estimators.Retain(func(id string) bool { return view.Entries[id] != nil })
	e.cold.retain(func(id string) bool { return view.Entries[id] != nil })
	e.notices.prune(view, e.clock.Now())
	e.rates.prune(view, e.clock.Now())
	e.poison.Registry.Prune()
	e.updateNoticeGauges()
	if c := e.state.Config(); c != nil {
		known := func(s string) bool {
			_, found := c.Services[s]
			return found
		}
		e.budgets.retain(known)
		e.load.retain(known)
		e.probes.retain(known)
	}
}

// refuse counts and logs a request that is rejected before a query starts.
func (e *Engine) refuse(r *Request, matched *route.Route, f *fault.Error) *Answer {
	name := ""
	if matched != nil {
		name = matched.Name
	}
	e.scope.Tagged(map[string]string{"kind": f.Kind.String()}).Counter("refused").Inc(1)
	e.log.Info("request refused",
		zap.String("request", r.ID),
		zap.String("route", name),
		zap.String("kind", f.Kind.String()),
		zap.String("cause", f.Text),
		zap.Duration("retry", f.RetryAfter()))
	return &Answer{Fault: f}
}

// trafficSplitter distributes the requests of a route over its services by weight.
type trafficSplitter struct {
	mu sync.Mutex
	// credit holds, per route and service, how far the service's share lags behind its weight.
	credit map[string]map[string]float64
}

// next returns the service for the next request by smooth weighted round robin: the one whose share lags furthest behind its weight.
func (t *trafficSplitter) next(r *route.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credit == nil {
		t.credit = map[string]map[string]float64{}
	}
	credit := t.credit[r.Name]
	if credit == nil {
		credit = map[string]float64{}
		t.credit[r.Name] = credit
	}
	total, chosen := 0.0, ""
	for _, s := range r.Shares {
		total += s.Weight
		credit[s.Service] += s.Weight
		if chosen == "" || credit[s.Service] > credit[chosen] {
			chosen = s.Service
		}
	}
	credit[chosen] -= total
	return chosen
}

// Expected latencies by distance for targets without measurements: the round trip plus some processing time.
const (
	priorSameDatacentre = 10 * time.Millisecond
	priorSameRegion     = 12 * time.Millisecond
	priorOtherRegion    = 35 * time.Millisecond
)

// priorLatency returns the latency expected of a target before any measurement.
func (e *Engine) priorLatency(t *roster.Entry) time.Duration {
	switch {
	case t.Datacentre == e.location.Datacentre:
		return priorSameDatacentre
	case t.Region == e.location.Region:
		return priorSameRegion
	default:
		return priorOtherRegion
	}
}

// estimatorOf returns the latency estimator of a target.
func (e *Engine) estimatorOf(t *roster.Entry) *rank.Estimator {
	return e.estimators.Estimator(t.ID, t.Born, e.priorLatency(t))
}

// idleConnShare is the fraction of a target's connections that all hosts together may keep idle.
const idleConnShare = 0.75

// maxIdleConns returns the number of idle connections that this host keeps to each target of a service.
func (e *Engine) maxIdleConns(s route.Service) int {
	return max(1, int(idleConnShare*float64(s.Conns)*e.state.LimitsShare()))
}
