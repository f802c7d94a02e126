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

// Engine runs queries and keeps latency statistics and budgets per service.
type Engine struct {
	clock     *timer.Clock
	board     *board.State
	log       *zap.Logger
	scope     tally.Scope
	lastAskID atomic.Uint64
	// stats holds the *serviceStats of each service by name.
	stats  sync.Map
	checks resultChecks
	policy Policy

	// Calls to keepers, by way of keeper.Client; tests replace them.
	ask       func(context.Context, wire.Member, wire.Ask) (wire.AskReply, error)
	askRest   func(context.Context, wire.Member, wire.Rest) (wire.AskReply, error)
	dropParts func(context.Context, wire.Member, wire.Drop) error
	// keeperTable returns a function that looks up the keeper of a target in the current table; tests replace it.
	keeperTable func() func(target string) (wire.Member, bool)
	// newAskID returns the id of a new Ask. Tests replace it to show that ids must be unique.
	newAskID func(Request) string
	// idMatches reports whether a reply's id belongs to the Ask. Tests replace it to show what the check prevents.
	idMatches func(asked, got string) bool
	// planLimit is the maximum number of plans per query, the first included.
	planLimit int
}

// Policy switches off parts of the engine, to measure baselines for comparison.
type Policy struct {
	// NoHedges disables hedging.
	NoHedges bool
	// IgnoreLatency asks the first replica of each shard regardless of its latency.
	IgnoreLatency bool
}

// New returns an engine that plans with the shard maps and settings on the board and calls keepers through links.
func New(clock *timer.Clock, b *board.State, links *keeper.Client, log *zap.Logger, scope tally.Scope) *Engine {
	e := &Engine{
		clock:       clock,
		board:       b,
		log:         log,
		scope:       scope,
		checks:      newResultChecks(),
		ask:         links.Ask,
		askRest:     links.Rest,
		dropParts:   links.Drop,
		keeperTable: func() func(string) (wire.Member, bool) { return links.Table().Keeper },
		planLimit:   maxPlans,
		idMatches:   func(asked, got string) bool { return asked == got },
	}
	e.newAskID = e.nextAskID
	return e
}

// SetPolicy replaces the policy. It must be called before the first query.
func (e *Engine) SetPolicy(p Policy) {
	e.policy = p
}

// nextAskID returns an id made of this host's incarnation and a counter, so that no two Asks of any hosts share an id.
func (e *Engine) nextAskID(Request) string {
	return fmt.Sprintf("%s/q%d", e.board.Self.HostID, e.lastAskID.Add(1))
}

// statsOf returns the statistics of a service and creates them on first use.
func (e *Engine) statsOf(name string) *serviceStats {
	if s, known := e.stats.Load(name); known {
		return s.(*serviceStats)
	}
	s, _ := e.stats.LoadOrStore(name, newServiceStats(e.clock.Now()))
	return s.(*serviceStats)
}

// Run runs a query within its deadline. Any error is a *fault.Error.
func (e *Engine) Run(ctx context.Context, r Request) (*Answer, error) {
	settings := e.board.Tree.Load().ForService(e.board.Self.Region, r.Service)
	m := e.board.ShardMap(r.Service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %s", r.Service)
	}
	timeout := settings.Deadline.D()
	if r.Deadline > 0 {
		timeout = min(r.Deadline, settings.Longest.D())
	}
	minCoverage := r.Coverage
	if minCoverage < 0 {
		minCoverage = settings.Coverage
	}
	ctx, cancel := e.clock.WithTimeout(ctx, timeout)
	defer cancel()
	x := newExecution(e, r, settings, timeout, minCoverage)
	a := x.execute(ctx, m)
	e.recordMetrics(a)
	if a.Coverage() < minCoverage {
		return nil, fault.New(fault.Coverage, "%d of %d shards answered, %.3f wanted", len(a.Parts), a.ShardCount, minCoverage)
	}
	return a, nil
}

// recordMetrics adds an answer to the engine's counters.
func (e *Engine) recordMetrics(a *Answer) {
	e.scope.Counter("queries").Inc(1)
	e.scope.Counter("first").Inc(int64(a.SubRequests.First))
	e.scope.Counter("hedges").Inc(int64(a.SubRequests.Hedges))
	e.scope.Counter("retries").Inc(int64(a.SubRequests.Retries))
	e.scope.Counter("replans").Inc(int64(a.SubRequests.Replans))
	e.scope.Counter("missing").Inc(int64(len(a.Missing)))
}

// tailTimeout returns the time after which an answer with enough coverage is returned without the remaining shards: the
// tail setting for services that prefer latency, the deadline for all others.
func tailTimeout(v *tree.Values, timeout time.Duration) time.Duration {
	if v.Prefer == tree.PreferLatency {
		return min(v.Tail.D(), timeout)
	}
	return timeout
}
