package relay

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/roster"
	"kingcupcross/route"
)

const (
	// answerMargin is the time before the latency objective at which an answer leaves: two ways to the caller, its connection and the processor's jitter.
	answerMargin = 10 * time.Millisecond
	// endMargin is the same before the caller's deadline.
	endMargin = 15 * time.Millisecond
	// loserLinger is the time that sub-requests without use get after the answer, which covers most pauses and saves the connection.
	loserLinger = 300 * time.Millisecond
	// goneLinger is the same after the caller has left.
	goneLinger = 200 * time.Millisecond
)

// run is one request on its way; one goroutine owns it.
type run struct {
	engine  *Engine
	ctx     context.Context
	request *Request
	config  *route.Config
	route   *route.Route
	// view is the roster at the start; targets are chosen from the one in force at each choice.
	view  *roster.View
	start time.Time
	// aim is when a merged answer goes out with the parts there are, end when any answer does.
	aim, end time.Time
	needed   int
	parts    []*part
	// done counts the parts with a reply, lost those that can't get one any more.
	done, lost int
	results    chan result
	// groups are the parts that other hosts answer for, once they are done; merged are their answers.
	groups chan *group
	merged []*Answer
	asking int
	// asked are the groups that other hosts were asked for; taken ones hold their answers.
	asked  []*group
	work   context.Context
	cancel context.CancelFunc
	// admitted says that there was room for the request; reserved is the part of it that no sub-request has taken yet.
	admitted bool
	reserved int
	// allowed is the number of sub-requests that there is room for at the request's services.
	allowed float64
	// ran says that something of the request may have run, offered that sub-requests came to targets.
	ran, offered    bool
	hedges, retries int
	// times are those of the replies, sheds the number of refusals by targets.
	times  []time.Duration
	sheds  int
	failed *Reply
	cause  string
}

// part is one service that is to answer.
type part struct {
	service string
	// place is that of the shard in the route's list.
	place int
	// asked lists the targets that were chosen; reached counts the sub-requests that may have come to one.
	asked   []string
	reached int
	flights []*flight
	reply   *Reply
	lost    bool
	// retryAt is when the part is asked again, zero where it isn't to be.
	retryAt time.Time
	// elsewhere says that another host answers for the part.
	elsewhere bool
	// offered says that another host has asked targets for the part, which refused it.
	offered bool
	// unhedged is why the part's overdue target was not hedged.
	unhedged string
	// full says that a target was left out because this host has enough under way there.
	full bool
}

type result struct {
	flight *flight
	reply  *Reply
	err    error
}

func (e *Engine) newRun(ctx context.Context, r *Request, c *route.Config, matched *route.Route, start time.Time) *run {
	left := matched.Timeout
	if r.Left > 0 {
		left = min(left, r.Left)
	}
	q := &run{
		engine:  e,
		ctx:     ctx,
		request: r,
		config:  c,
		route:   matched,
		view:    e.beliefs.View(),
		start:   start,
		aim:     start.Add(max(matched.Aim-answerMargin-r.Reserve, matched.Aim/2)),
		end:     start.Add(left - min(endMargin, left/10)),
		needed:  1,
	}
	switch {
	case !matched.Fanout():
		q.parts = append(q.parts, &part{service: e.turns.next(matched)})
	case r.Shards != nil:
		for _, i := range r.Shards {
			q.parts = append(q.parts, &part{service: matched.Shards[i], place: i})
		}
	default:
		for i, s := range matched.Shards {
			q.parts = append(q.parts, &part{service: s, place: i})
		}
	}
	if matched.Fanout() {
		q.needed = q.least()
	}
	q.results = make(chan result, len(q.parts)*(max(matched.Attempts, 1)+dialTries+repeats+1))
	q.groups = make(chan *group, len(q.parts))
	q.work, q.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return q
}

// least returns the number of parts without which the whole query can't be answered: other hosts ask for the rest of the shards, so that a group may lack as many as the whole.
func (q *run) least() int {
	whole := len(q.route.Shards)
	return max(len(q.parts)-whole+q.route.RequiredShards(whole), 1)
}

// finish ends what is still under way after a while, so that short work keeps its connection.
func (q *run) finish() {
	for _, p := range q.parts {
		for _, f := range p.flights {
			q.unload(f)
		}
	}
	q.freeRoom()
	linger := loserLinger
	if q.ctx.Err() != nil {
		linger = goneLinger
	}
	q.engine.clock.AfterFunc(linger, q.cancel)
}

// answer sends the first sub-requests and waits until there is something to say.
func (q *run) answer() *Answer {
	e := q.engine
	if limit := q.config.Limits.Body; limit > 0 && int64(len(q.request.Body)) > limit {
		return fail(fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", len(q.request.Body), limit))
	}
	if f := q.admit(); f != nil {
		return fail(f)
	}
	q.admitted = true
	now := e.clock.Now()
	chosen := make([]*claim, len(q.parts))
	reachable := 0
	for i, p := range q.parts {
		if chosen[i] = q.choose(p, now); chosen[i] != nil || p.full {
			reachable++
		}
	}
	if reachable < q.needed {
		e.release(chosen...)
		f := fault.New(fault.NoReplica, "%d of %d shards have a target, %d are needed", reachable, len(q.parts), q.needed)
		return fail(q.afterQuiet(f, now))
	}
	if lively := q.lively(chosen, now); lively < q.needed && !e.probes.turn(groupOf(q.route, q.parts[0]), now) {
		e.release(chosen...)
		e.scope.Counter("silent_refusals").Inc(1)
		e.block()
		return fail(fault.New(fault.NoReplica, "%d of %d shards have a target that answers, %d are needed", lively, len(q.parts), q.needed).WithRetry(silentRetry))
	}
	delegated := q.delegate(chosen)
	for i, p := range q.parts {
		switch {
		case chosen[i] == nil && p.full:
			p.retryAt = now.Add(waitStep)
		case chosen[i] == nil:
			q.lose(p)
		case !delegated[p]:
			q.begin(p, chosen[i], now)
		}
	}
	q.freeRoom()
	return q.wait()
}

// wait takes results until the answer is whole, good enough at its time, or can't come.
func (q *run) wait() *Answer {
	clock := q.engine.clock
	alarm := make(chan struct{}, 1)
	stop := func() bool { return false }
	defer func() { stop() }()
	for {
		now := clock.Now()
		if a := q.outcome(now); a != nil {
			return a
		}
		q.tick(now)
		if a := q.outcome(now); a != nil {
			return a
		}
		stop()
		stop = clock.AfterFunc(max(q.next(now).Sub(now), time.Millisecond), func() {
			select {
			case alarm <- struct{}{}:
			default:
			}
		})
		select {
		case r := <-q.results:
			q.take(r)
			q.drain()
		case g := <-q.groups:
			q.takeGroup(g)
		case <-alarm:
		case <-q.ctx.Done():
			return fail(fault.New(fault.TooLate, "the caller has left"))
		}
	}
}

// drain takes the results that have come meanwhile.
func (q *run) drain() {
	for {
		select {
		case r := <-q.results:
			q.take(r)
		default:
			return
		}
	}
}

// outcome returns the answer if nothing is left to wait for.
func (q *run) outcome(now time.Time) *Answer {
	total := len(q.parts)
	switch {
	case q.done == total, q.done >= q.needed && (q.done+q.lost == total || !now.Before(q.aim)):
		return q.success()
	case !now.Before(q.end):
		f := fault.New(fault.TooLate, "%d of %d shards had answered at the deadline, %d are needed", q.done, total, q.needed)
		f.Ran = q.mayHaveRun()
		return fail(f)
	case total-q.lost < q.needed:
		return q.failure()
	}
	return nil
}

// next returns when something is to be decided.
func (q *run) next(now time.Time) time.Time {
	at := q.end
	if q.route.Fanout() && now.Before(q.aim) && q.aim.Before(at) {
		at = q.aim
	}
	if look := now.Add(silentCheck); q.route.Fanout() && !now.Before(q.aim) && look.Before(at) {
		at = look
	}
	for _, p := range q.parts {
		if p.reply != nil || p.lost {
			continue
		}
		if !p.retryAt.IsZero() && p.retryAt.Before(at) {
			at = p.retryAt
		}
		for _, f := range p.flights {
			if !f.ended && f.check.After(now) && f.check.Before(at) {
				at = f.check
			}
		}
	}
	return at
}

func (q *run) lose(p *part) {
	p.lost = true
	q.lost++
}

// take handles the end of one sub-request.
func (q *run) take(r result) {
	f := r.flight
	p := f.part
	f.ended = true
	q.unload(f)
	notRun := false
	var lost *pool.Error
	switch {
	case errors.As(r.err, &lost):
		notRun = !lost.Sent
		if notRun {
			p.reached--
		}
		q.cause = f.to.ID + ": " + lost.Error()
		if errors.Is(r.err, pool.ErrResponseTooLong) {
			q.noteTooLong(f, lost)
		}
	case r.err != nil:
		q.cause = f.to.ID + ": " + r.err.Error()
	default:
		notRun = r.reply.NotRun || r.reply.Misplaced
	}
	q.ran = q.ran || !notRun
	q.offered = q.offered || lost == nil || lost.Sent
	if notRun && r.reply != nil {
		q.sheds++
	}
	if p.reply != nil || p.lost {
		return
	}
	if r.reply != nil && q.final(r.reply) {
		p.reply = r.reply
		q.done++
		q.times = append(q.times, q.engine.clock.Since(f.sent))
		return
	}
	if r.reply != nil && !notRun {
		q.failed = r.reply
	}
	q.again(p, notRun)
}

// open returns the number of sub-requests under way.
func (p *part) open() int {
	n := 0
	for _, f := range p.flights {
		if !f.ended {
			n++
		}
	}
	return n
}

// tick asks again for the parts that are overdue or whose time to be repeated has come.
func (q *run) tick(now time.Time) {
	for _, p := range q.parts {
		if p.reply != nil || p.lost || p.elsewhere {
			continue
		}
		if !p.retryAt.IsZero() {
			if !now.Before(p.retryAt) {
				q.repeat(p, now)
			}
			continue
		}
		if f := p.only(); f != nil && q.route.Idempotent && !now.Before(f.check) {
			f.check = now.Add(recheck)
			q.unload(f)
			q.hedge(p, now)
		}
		if q.route.Fanout() && !now.Before(q.aim) && p.silent(now) {
			q.lose(p)
		}
	}
}
