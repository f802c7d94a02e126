package relay

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/rank"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// Place is where a host stands.
type Place struct {
	Datacentre string
	Region     string
}

// Beliefs are what a request is decided by; each function returns a state that isn't changed any more.
type Beliefs struct {
	// Config is the configuration in force, nil before the first.
	Config func() *route.Config
	// View is the roster of targets.
	View func() *roster.View
	// Out reports whether a data centre is out of service.
	Out func(datacentre string) bool
	// Share is the part of the limits over all hosts that this host may use, above 0 and at most 1.
	Share func() float64
	// Room is the part of the targets' slots that this host may fill, above 0 and at most 1.
	Room func() float64
}

// Limits are bounds over all hosts.
type Limits struct {
	// Extra is the share of hedges and retries, Slack the number beyond it in a window.
	Extra float64
	Slack float64
	// Heat and Margin bound the rate to a cold target: its stated rate times Heat plus Margin.
	Heat   float64
	Margin float64
	// Leave is the time within which a target that leaves gets no more work.
	Leave time.Duration
}

// Engine carries requests.
type Engine struct {
	clock   *timer.Service
	place   Place
	beliefs Beliefs
	limits  Limits
	send    Send
	helpers Helpers
	ranks   rank.Table
	budgets *budgets
	turns   turns
	labels  labels
	load    load
	cold    *coldGate
	probes  probes
	said    said
	blocked chan struct{}
	log     *zap.Logger
	scope   tally.Scope
}

// New returns an engine at a place that decides by beliefs and sends sub-requests with send.
func New(clock *timer.Service, place Place, beliefs Beliefs, limits Limits, send Send, log *zap.Logger, scope tally.Scope) *Engine {
	e := &Engine{
		clock:   clock,
		place:   place,
		beliefs: beliefs,
		limits:  limits,
		send:    send,
		helpers: Helpers{Has: func(string) bool { return false }},
		log:     log,
		scope:   scope,
		blocked: make(chan struct{}, 1),
	}
	e.budgets = newBudgets(clock, limits.Extra, func() float64 {
		return limits.Slack * beliefs.Share()
	})
	e.cold = newColdGate(limits, beliefs.Share)
	return e
}

// SetHelpers lets other hosts answer for their data centres; it is to be called before the first request.
func (e *Engine) SetHelpers(h Helpers) {
	e.helpers = h
}

// Handle answers one request.
func (e *Engine) Handle(ctx context.Context, r *Request) *Answer {
	start := e.clock.Now()
	config := e.beliefs.Config()
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
	q := e.newRun(ctx, r, config, matched, start)
	defer q.finish()
	a := q.answer()
	a.Version = config.Version
	a.Offered = q.offered
	if r.Origin != "" {
		a.Leavers = e.Leavers()
	}
	a.Took = e.clock.Since(start)
	e.report(q, a)
	return a
}

// checkShards refuses a part of a request whose shards are from another configuration.
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

// Forget drops what is known of targets and services that no longer exist.
func (e *Engine) Forget() {
	view := e.beliefs.View()
	e.ranks.Retain(func(id string) bool { return view.Entries[id] != nil })
	e.cold.keep(func(id string) bool { return view.Entries[id] != nil })
	e.said.forget(view, e.clock.Now())
	e.gaugeSaid()
	if c := e.beliefs.Config(); c != nil {
		known := func(s string) bool {
			_, found := c.Services[s]
			return found
		}
		e.budgets.keep(known)
		e.load.keep(known)
		e.probes.keep(known)
	}
}

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

// turns deals the requests of a route with several services by their weights.
type turns struct {
	mu     sync.Mutex
	credit map[string]map[string]float64
}

// next returns the service whose turn it is: the one whose share lags most behind its weight.
func (t *turns) next(r *route.Route) string {
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

// priors of a latency by distance, for targets that nothing is known of: the round trip with some work.
const (
	priorNear   = 10 * time.Millisecond
	priorRegion = 12 * time.Millisecond
	priorFar    = 35 * time.Millisecond
)

func (e *Engine) prior(t *roster.Entry) time.Duration {
	switch {
	case t.Datacentre == e.place.Datacentre:
		return priorNear
	case t.Region == e.place.Region:
		return priorRegion
	default:
		return priorFar
	}
}

func (e *Engine) rank(t *roster.Entry) *rank.Estimator {
	return e.ranks.Of(t.ID, t.Born, e.prior(t))
}

// idleShare is the part of a target's connections that all hosts together may keep idle.
const idleShare = 0.75

// keep returns the number of idle connections that this host keeps to each target of a service.
func (e *Engine) keep(s route.Service) int {
	return max(1, int(idleShare*float64(s.Conns)*e.beliefs.Share()))
}
