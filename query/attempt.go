package query

import (
	"context"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// attempt is one plan of a query on one snapshot; one goroutine owns it.
type attempt struct {
	*run
	m       *shard.Map
	merge   *merge
	tried   [][]try
	pending []int
	calls   []*call
	// open is the number of flights without a result.
	open int
	// denied lists the shards that wait for the retry budget.
	denied []int
	// moving lists the shards that wait for a replica's next keeper, until moved.
	moving []int
	moved  time.Time
	// hints are the newer snapshots that targets named where they refused this one.
	hints []shard.Snapshot
	// gone says of each shard whether such a target held it.
	gone []bool
	// stuck says that no replica is left for a shard that is gone from this snapshot.
	stuck   bool
	delay   time.Duration
	replies chan reply
	alarm   chan struct{}
	disarm  func() bool
}

// purpose says why a sub-request is sent.
type purpose uint8

const (
	first purpose = iota
	// hedge follows a late reply, urgentHedge a very late one.
	hedge
	urgentHedge
	// retry follows a failure that cost the target no work, paidRetry one that may have.
	retry
	paidRetry
)

// flight is one sub-request: some shards at one target.
type flight struct {
	call   *call
	target int
	shards []int
	ended  bool
	// suspected says that the flight's lateness was learned from while it was under way.
	suspected bool
}

// call is one Ask at one keeper.
type call struct {
	id      string
	keeper  wire.Member
	sent    time.Time
	flights map[string]*flight
	// late says that the soft time has passed.
	late bool
}

// reply is what came back for a call; the error says that the keeper gave no answer.
type reply struct {
	call    *call
	message wire.AskReply
	err     error
}

func newAttempt(r *run, m *shard.Map) *attempt {
	return &attempt{
		run:     r,
		m:       m,
		merge:   newMerge(m, r.engine.guards),
		tried:   make([][]try, len(m.Shards)),
		pending: make([]int, len(m.Shards)),
		gone:    make([]bool, len(m.Shards)),
		replies: make(chan reply),
		alarm:   make(chan struct{}, 1),
		disarm:  func() bool { return false },
	}
}

// perform returns as soon as all shards have answered, nothing more can come, the snapshot is known to be gone or the time is over.
func (a *attempt) perform(ctx context.Context) *Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := a.engine.clock.Now()
	a.delay = a.service.delay(now, a.values, a.deadline.Sub(now))
	a.send(ctx, a.all(), first)
	a.probe(ctx)
	a.arm(a.delay + a.delay/graceShare)
	defer func() { a.disarm() }()
	reason := a.loop(ctx)
	a.label(reason)
	a.abandon()
	return a.merge.answer("no replica can be reached")
}

// loop returns the reason for the shards that nothing else is known of.
func (a *attempt) loop(ctx context.Context) string {
	tail := make(chan struct{})
	if a.tail.Before(a.deadline) {
		defer a.engine.clock.AfterFunc(a.tail.Sub(a.engine.clock.Now()), func() { close(tail) })()
	}
	passed := false
	for !a.settled() {
		if passed && a.enough() {
			return "no reply before the tail target"
		}
		select {
		case r := <-a.replies:
			a.take(ctx, r)
		case <-a.alarm:
			a.tick(ctx)
		case <-tail:
			passed, tail = true, nil
		case <-ctx.Done():
			return "no reply before the deadline"
		}
	}
	return "given up for a newer snapshot"
}

// label names for each shard that is still under way the target that was waited for.
func (a *attempt) label(reason string) {
	for _, c := range a.calls {
		for name, f := range c.flights {
			if f.ended {
				continue
			}
			for _, s := range f.shards {
				a.merge.reasons[s] = name + ": " + reason
			}
		}
	}
}

func (a *attempt) all() []int {
	shards := make([]int, len(a.m.Shards))
	for s := range shards {
		shards[s] = s
	}
	return shards
}

func (a *attempt) enough() bool {
	return float64(a.merge.count) >= a.wanted*float64(a.merge.total)
}

// settled reports whether waiting brings nothing: all has come, nothing is under way or the query is to be planned anew.
func (a *attempt) settled() bool {
	if a.merge.complete() || (a.open == 0 && len(a.denied) == 0 && len(a.moving) == 0) {
		return true
	}
	return a.stuck && len(a.planned) < a.engine.plans && a.newer(a.m, a.hints) != nil
}

// take handles one reply of a keeper.
func (a *attempt) take(ctx context.Context, r reply) {
	c := r.call
	f := r.message.Fault
	switch {
	case r.err != nil:
		f = fault.New(fault.NoReplica, "keeper %s: %v", c.keeper.Name, r.err)
	case !a.engine.matches(c.id, r.message.ID):
		f = fault.New(fault.Internal, "keeper %s answered %q for %q", c.keeper.Name, r.message.ID, c.id)
		r.message.Results = nil
	}
	now := a.engine.clock.Now()
	a.service.learn(now, r.message.Results, a.delay)
	a.learnHop(now, r)
	var again, paid []int
	for _, result := range r.message.Results {
		fl := c.flights[result.Target]
		if fl == nil || fl.ended {
			continue
		}
		open := a.land(fl, result)
		if free(result.Fault) {
			again = append(again, open...)
		} else {
			paid = append(paid, open...)
		}
	}
	if f == nil && !r.message.Pending {
		f = fault.New(fault.Internal, "keeper %s left the target out of its reply", c.keeper.Name)
	}
	if f != nil {
		again = append(again, a.fail(c, f)...)
	}
	a.send(ctx, again, retry)
	a.send(ctx, paid, paidRetry)
	a.dropLosers()
	if r.message.Pending && !c.late {
		c.late = true
		a.tick(ctx)
	}
}

// learnHop takes the time that a whole reply took besides the slowest of its parts.
func (a *attempt) learnHop(now time.Time, r reply) {
	if r.err != nil || r.message.Pending || r.call.late || len(r.message.Results) == 0 {
		return
	}
	var took time.Duration
	for _, result := range r.message.Results {
		took = max(took, result.Took)
	}
	a.service.hop(now, r.call.keeper.Datacentre, now.Sub(r.call.sent)-took)
}

// land ends a flight and returns the shards that are to be asked again.
func (a *attempt) land(f *flight, r wire.Result) (again []int) {
	f.ended = true
	a.open--
	for _, s := range f.shards {
		a.pending[s]--
	}
	a.noteMoved(f, r)
	if a.first.Less(r.Newest) {
		a.hints = append(a.hints, r.Newest)
		for _, s := range f.shards {
			a.gone[s] = true
		}
	}
	for _, s := range a.merge.add(f.shards, r) {
		if a.pending[s] == 0 {
			again = append(again, s)
		}
	}
	return again
}

// fail ends all flights of a call for one reason.
func (a *attempt) fail(c *call, f *fault.Error) (again []int) {
	now := a.engine.clock.Now()
	for name, fl := range c.flights {
		if !fl.ended {
			a.service.penalize(now, name, a.delay)
			again = append(again, a.land(fl, wire.Result{Target: name, Fault: f})...)
		}
	}
	return again
}
