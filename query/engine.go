package query

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// Engine runs queries.
type Engine struct {
	clock    *timer.Clock
	board    *board.State
	log      *zap.Logger
	scope    tally.Scope
	asks     atomic.Uint64
	services sync.Map
	guards   guards
	policy   Policy

	// The calls to keepers and the table of keepers are seams for tests.
	ask   func(context.Context, wire.Member, wire.Ask) (wire.AskReply, error)
	rest  func(context.Context, wire.Member, wire.Rest) (wire.AskReply, error)
	drop  func(context.Context, wire.Member, wire.Drop) error
	table func() func(target string) (wire.Member, bool)
	// name gives each Ask its id; matches says whether a reply's id fits the Ask's.
	name    func(Request) string
	matches func(asked, got string) bool
	// plans bounds how often one query is planned.
	plans int
}

// Policy switches off parts of the engine, for baselines that the whole is compared with.
type Policy struct {
	// NoHedges sends no hedges.
	NoHedges bool
	// NoChoice keeps to each shard's first replica whatever its latency.
	NoChoice bool
}

// New returns an engine that plans by the board and asks through links.
func New(clock *timer.Clock, b *board.State, links *keeper.Client, log *zap.Logger, scope tally.Scope) *Engine {
	e := &Engine{
		clock:   clock,
		board:   b,
		log:     log,
		scope:   scope,
		guards:  newGuards(),
		ask:     links.Ask,
		rest:    links.Rest,
		drop:    links.Drop,
		table:   func() func(string) (wire.Member, bool) { return links.Table().Keeper },
		plans:   maxPlans,
		matches: func(asked, got string) bool { return asked == got },
	}
	e.name = e.nextID
	return e
}

// SetPolicy replaces the policy; it is to be called before the first query.
func (e *Engine) SetPolicy(p Policy) {
	e.policy = p
}

// nextID names an Ask by this host's incarnation and a number of its own, so that no two Asks of all hosts share an id.
func (e *Engine) nextID(Request) string {
	return fmt.Sprintf("%s/q%d", e.board.Self.HostID, e.asks.Add(1))
}

// service returns what is known of a service here.
func (e *Engine) service(name string) *service {
	if s, known := e.services.Load(name); known {
		return s.(*service)
	}
	s, _ := e.services.LoadOrStore(name, newService(e.clock.Now()))
	return s.(*service)
}

// Run answers one query within its deadline; the error is a fault.Error.
func (e *Engine) Run(ctx context.Context, r Request) (*Answer, error) {
	values := e.board.Tree.Load().ForService(e.board.Self.Region, r.Service)
	m := e.board.ShardMap(r.Service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %s", r.Service)
	}
	left := values.Deadline.D()
	if r.Deadline > 0 {
		left = min(r.Deadline, values.Longest.D())
	}
	wanted := r.Coverage
	if wanted < 0 {
		wanted = values.Coverage
	}
	ctx, cancel := e.clock.WithTimeout(ctx, left)
	defer cancel()
	q := newRun(e, r, values, left, wanted)
	a := q.answer(ctx, m)
	e.count(a)
	if a.Coverage() < wanted {
		return nil, fault.New(fault.Coverage, "%d of %d shards answered, %.3f wanted", len(a.Parts), a.Total, wanted)
	}
	return a, nil
}

func (e *Engine) count(a *Answer) {
	e.scope.Counter("queries").Inc(1)
	e.scope.Counter("first").Inc(int64(a.Load.First))
	e.scope.Counter("hedges").Inc(int64(a.Load.Hedges))
	e.scope.Counter("retries").Inc(int64(a.Load.Retries))
	e.scope.Counter("replans").Inc(int64(a.Load.Replans))
	e.scope.Counter("missing").Inc(int64(len(a.Missing)))
}

// tailOf returns the time at which an answer goes out with what has come, for a service that prefers latency.
func tailOf(v *tree.Values, left time.Duration) time.Duration {
	if v.Prefer == tree.PreferLatency {
		return min(v.Tail.D(), left)
	}
	return left
}
