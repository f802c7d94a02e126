package query

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// Engine runs queries.
type Engine struct {
	clock *timer.Service
	board *board.Board
	links *keeper.Links
	log   *zap.Logger
	scope tally.Scope
	asks  atomic.Uint64
}

// New returns an engine that plans by the board and asks through links.
func New(clock *timer.Service, b *board.Board, links *keeper.Links, log *zap.Logger, scope tally.Scope) *Engine {
	return &Engine{
		clock: clock,
		board: b,
		links: links,
		log:   log,
		scope: scope,
	}
}

// outcome is what one target answered, with the shards that it was asked for.
type outcome struct {
	asked  []int
	result wire.Result
}

// Run answers one query within its deadline; the error is a fault.Error.
func (e *Engine) Run(ctx context.Context, r Request) (*Answer, error) {
	values := e.board.Tree.Load().For(e.board.Self.Region, r.Service)
	m := e.board.Map(r.Service)
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
	a := e.fanOut(ctx, r, m, e.clock.Now().Add(left))
	if a.Coverage() < wanted {
		return nil, fault.New(fault.Coverage, "%d of %d shards answered, %.3f wanted", len(a.Parts), a.Total, wanted)
	}
	return a, nil
}

func (e *Engine) fanOut(ctx context.Context, r Request, m *shard.Map, deadline time.Time) *Answer {
	merged := newMerge(m)
	tried := map[int]map[int]bool{}
	shards := make([]int, len(m.Shards))
	for s := range shards {
		shards[s] = s
	}
	outcomes := make(chan outcome, 2*len(m.Targets)*len(m.Targets))
	open := 0
	send := func(shards []int) {
		batches, lost := e.plan(m, shards, tried)
		for _, s := range lost {
			if _, known := merged.reasons[s]; !known {
				merged.reasons[s] = "no replica can be reached"
			}
		}
		for _, b := range batches {
			open += len(b.parts)
			go e.ask(ctx, r, m.Snapshot(), b, deadline, outcomes)
		}
	}
	send(shards)
	for open > 0 && !merged.complete() {
		select {
		case o := <-outcomes:
			open--
			if again := merged.add(o.asked, o.result); len(again) > 0 {
				send(again)
			}
		case <-ctx.Done():
			return merged.answer()
		}
	}
	return merged.answer()
}

// ask calls one keeper and reports an outcome for each of the batch's parts.
func (e *Engine) ask(ctx context.Context, r Request, s shard.Snapshot, b batch, deadline time.Time, out chan<- outcome) {
	asked := make(map[string][]int, len(b.parts))
	for _, p := range b.parts {
		asked[p.Target] = p.Shards
	}
	left := deadline.Sub(e.clock.Now())
	q := wire.Ask{
		ID:       fmt.Sprintf("%s/%d", r.ID, e.asks.Add(1)),
		From:     e.board.Self.HostID,
		Service:  r.Service,
		Snapshot: s,
		Class:    r.Class,
		Left:     left,
		Soft:     left,
		Payload:  r.Payload,
		Parts:    b.parts,
	}
	reply, err := e.links.Ask(ctx, b.keeper, q)
	if err != nil {
		reply.Fault = fault.New(fault.NoReplica, "keeper %s: %v", b.keeper.Name, err)
	}
	for _, result := range reply.Results {
		out <- outcome{asked: asked[result.Target], result: result}
		delete(asked, result.Target)
	}
	for name, shards := range asked {
		f := reply.Fault
		if f == nil {
			f = fault.New(fault.TooLate, "no reply of %s before the deadline", name)
		}
		out <- outcome{asked: shards, result: wire.Result{Target: name, Fault: f}}
	}
}
