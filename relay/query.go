package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/roster"
	"kingcupcross/route"
)

const (
	// answerMargin is how long before the latency objective an answer is sent: it covers the transit to the caller, the connection and scheduling jitter.
	answerMargin = 10 * time.Millisecond
	// deadlineMargin is the same margin before the caller's deadline.
	deadlineMargin = 15 * time.Millisecond
	// unusedLinger is how long sub-requests that are no longer needed may continue after the answer. Most pauses end within it, and a finished sub-request keeps its connection usable.
	unusedLinger = 300 * time.Millisecond
	// cancelledLinger is the same period after the caller has disconnected.
	cancelledLinger = 200 * time.Millisecond
)

// query is the state of one request while it is handled. Only the goroutine that handles the request accesses it.
type query struct {
	engine  *Engine
	ctx     context.Context
	request *Request
	config  *route.Config
	route   *route.Route
	// initialView is the roster when the request began. Targets are chosen from the current roster.
	initialView *roster.View
	start       time.Time
	// objective is the time at which a merged answer is sent with the parts received so far; deadline is the time at which the request fails.
	objective, deadline time.Time
	// needed is the number of parts that the answer requires.
	needed int
	parts  []*part
	// answered counts the parts with a reply, from a target or in the merged answer of another host; lost counts those that can no longer get one.
	answered, lost int
	results        chan result
	// delegationResults receives the delegations that other hosts have finished; mergedAnswers are the answers received that way.
	delegationResults chan *delegation
	mergedAnswers     []*Answer
	// openDelegations counts the delegations without a result.
	openDelegations int
	// delegations are the parts delegated to other hosts. An entry is replaced by its result.
	delegations []*delegation
	// subCtx is the context of the sub-requests, cancelled some time after the answer by cancelSubs.
	subCtx     context.Context
	cancelSubs context.CancelFunc
	// admitted is set if the request was admitted; unusedCapacity is the number of sub-requests counted at admission that have not been sent yet.
	admitted       bool
	unusedCapacity int
	// admissionLimit is the concurrency limit at the request's services, before it is lowered for requests of low priority.
	admissionLimit float64
	// answeredByTarget is set once a target has run the request and replied, from here or through another host. brokenOff holds the targets that ended the connection instead.
	answeredByTarget bool
	brokenOff        []*roster.Entry
	// suspect is set if targets have ended under earlier copies of the request, which crashed lists. exempt is set once the targets whose connections ended are known to go on.
	suspect, exempt bool
	// cautious is set if several targets ended just before the request began.
	cautious bool
	crashed  []roster.Process
	// lastTargetAllowed is set if a suspect may be tried at the last target of a service.
	lastTargetAllowed bool
	// controls are targets that accepted connections when a suspect's trial began. proving is set once it is being checked whether they go on after it.
	controls []*roster.Entry
	proving  bool
	// uncontrolled is set if there were none although the services have other targets.
	uncontrolled bool
	// trial is the latest sub-request beyond the first set that was sent before any target had answered; trials counts them.
	trial  *subRequest
	trials int
	// verdictDue is set when no further target may run the request before it is known whether the earlier ones have ended; concluded is set once that is known.
	verdictDue, concluded bool
	// checkResults receives the targets that have ended from the check that the first ended connection causes, nil if there was none.
	checkResults chan []*roster.Entry
	// maybeRan is set if a finished sub-request or delegation may have run, reachedTargets if a sub-request may have reached a target.
	maybeRan, reachedTargets bool
	hedges, retries          int
	// latencies are those of the successful replies; targetRefusals counts the sub-requests that targets refused to run.
	latencies      []time.Duration
	targetRefusals int
	// lastFailure is the latest reply that ran without completing its part, lastCause describes the latest failure.
	lastFailure *Reply
	lastCause   string
}

// part is the portion of a request that one service answers.
type part struct {
	service string
	// index is the position of the shard in the route's list.
	index int
	// askedTargets lists the targets that were chosen; reached counts the sub-requests that may have reached one.
	askedTargets []string
	reached      int
	subRequests  []*subRequest
	reply        *Reply
	lost         bool
	// retryAt is the time of the next retry, zero if none is scheduled.
	retryAt time.Time
	// delegated is set if another host answers for the part.
	delegated bool
	// held is set while no sub-request may be sent for the part, because no target has answered the request and some have ended under it.
	held bool
	// refusedByDelegate is set if another host sent sub-requests for its delegated parts and refused them, so the part may have reached a target already.
	refusedByDelegate bool
	// unhedgedReason is why the part was not hedged when its target was overdue.
	unhedgedReason string
	// saturated is set if the latest choice of a target skipped one because this host has as many sub-requests in flight there as it may.
	saturated bool
}

// result is the outcome of a sub-request.
type result struct {
	sub   *subRequest
	reply *Reply
	err   error
}

// newQuery sets up the state of a request that matched a route.
func (e *Engine) newQuery(ctx context.Context, r *Request, c *route.Config, matched *route.Route, start time.Time) *query {
	timeLeft := matched.Timeout
	if r.TimeLeft > 0 {
		timeLeft = min(timeLeft, r.TimeLeft)
	}
	q := &query{
		engine:      e,
		ctx:         ctx,
		request:     r,
		config:      c,
		route:       matched,
		initialView: e.state.View(),
		start:       start,
		objective:   start.Add(max(matched.Aim-answerMargin-r.TransitTime, matched.Aim/2)),
		deadline:    start.Add(timeLeft - min(deadlineMargin, timeLeft/10)),
		needed:      1,
	}
	switch {
	case !matched.Fanout():
		q.parts = append(q.parts, &part{service: e.splitter.next(matched)})
	case r.Shards != nil:
		for _, i := range r.Shards {
			q.parts = append(q.parts, &part{service: matched.Shards[i], index: i})
		}
	default:
		for i, s := range matched.Shards {
			q.parts = append(q.parts, &part{service: s, index: i})
		}
	}
	if matched.Fanout() {
		q.needed = q.minParts()
	}
	q.results = make(chan result, len(q.parts)*(max(matched.Attempts, 1)+maxDialFailures+maxRepeats+1))
	q.delegationResults = make(chan *delegation, len(q.parts))
	q.subCtx, q.cancelSubs = context.WithCancel(context.WithoutCancel(ctx))
	return q
}

// minParts returns the number of parts required for an answer. A delegated request covers some of the shards, and it may miss as many of them as the whole query may.
func (q *query) minParts() int {
	shards := len(q.route.Shards)
	return max(len(q.parts)-shards+q.route.RequiredShards(shards), 1)
}

// finish releases the request's load and cancels the remaining sub-requests after a delay, so that short ones can finish and keep their connections.
func (q *query) finish() {
	for _, p := range q.parts {
		for _, f := range p.subRequests {
			q.uncountInFlight(f)
		}
	}
	q.releaseUnusedCapacity()
	delay := unusedLinger
	if q.ctx.Err() != nil {
		delay = cancelledLinger
	}
	q.engine.clock.AfterFunc(delay, q.cancelSubs)
	q.concludeLater()
}

// execute admits the request, sends its first sub-requests and delegations, and waits for the answer.
func (q *query) execute() *Answer {
	e := q.engine
	if limit := q.config.Limits.Body; limit > 0 && int64(len(q.request.Body)) > limit {
		return faultAnswer(fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", len(q.request.Body), limit))
	}
	if f := q.admit(); f != nil {
		return faultAnswer(f)
	}
	q.admitted = true
	now := e.clock.Now()
	reserved := make([]*reservation, len(q.parts))
	reachable := 0
	for i, p := range q.parts {
		if reserved[i] = q.reserveNewTarget(p, now); reserved[i] != nil || p.saturated {
			reachable++
		}
	}
	if reachable < q.needed {
		q.countRateDemand(nil)
		e.release(reserved...)
		f := fault.New(fault.NoReplica, "%d of %d shards have a target, %d are needed", reachable, len(q.parts), q.needed)
		return faultAnswer(q.withTargetRetry(f, now))
	}
	if responsive := q.responsiveParts(reserved, now); responsive < q.needed && !e.probes.allow(loadGroup(q.route, q.parts[0]), now) {
		e.release(reserved...)
		e.scope.Counter("silent_refusals").Inc(1)
		e.signalUnresponsiveRefusal()
		return faultAnswer(fault.New(fault.NoReplica, "%d of %d shards have a target that answers, %d are needed", responsive, len(q.parts), q.needed).WithRetry(unresponsiveRetryAfter))
	}
	first, f := q.firstTrial(reserved, now)
	if f != nil {
		e.release(reserved...)
		return faultAnswer(f)
	}
	// The choice of a suspect's first target takes some time.
	now = e.clock.Now()
	delegated := q.delegate(reserved)
	q.countRateDemand(delegated)
	for i, p := range q.parts {
		switch {
		case (q.suspect || q.cautious) && i != first:
			p.held = true
			e.release(reserved[i])
		case reserved[i] == nil && p.saturated:
			p.retryAt = now.Add(saturatedRetryInterval)
		case reserved[i] == nil:
			q.markLost(p)
		case !delegated[p]:
			q.sendFirst(p, reserved[i], now)
		}
	}
	q.releaseUnusedCapacity()
	a := q.waitForAnswer()
	if f := q.concludeFailure(a); f != nil {
		return faultAnswer(f)
	}
	return a
}

// waitForAnswer processes results and timers until the answer is complete, sufficient at the objective, or impossible.
func (q *query) waitForAnswer() *Answer {
	clock := q.engine.clock
	wakeup := make(chan struct{}, 1)
	stopTimer := func() bool { return false }
	pathLost := q.engine.reach.whenLost()
	defer func() { stopTimer() }()
	for {
		if q.verdictDue {
			if f := q.conclude(); f != nil {
				return faultAnswer(f)
			}
		}
		now := clock.Now()
		if a := q.answerIfReady(now); a != nil {
			return a
		}
		q.handleTimers(now)
		if a := q.answerIfReady(now); a != nil {
			return a
		}
		stopTimer()
		stopTimer = clock.AfterFunc(max(q.nextEvent(now).Sub(now), time.Millisecond), func() {
			select {
			case wakeup <- struct{}{}:
			default:
			}
		})
		select {
		case r := <-q.results:
			q.handleResult(r)
			q.handlePending()
		case g := <-q.delegationResults:
			q.handleDelegation(g)
		case ended := <-q.checkResults:
			q.handleCheck(ended)
		case <-wakeup:
		case <-pathLost:
			if q.route.Idempotent {
				return q.pathLostAnswer()
			}
			pathLost = nil
		case <-q.ctx.Done():
			return faultAnswer(fault.New(fault.TooLate, "the caller has left"))
		}
	}
}

// handlePending processes the results that are already available.
func (q *query) handlePending() {
	for {
		select {
		case r := <-q.results:
			q.handleResult(r)
		default:
			return
		}
	}
}

// answerIfReady returns the answer if it can be given now, and nil if the query must wait.
func (q *query) answerIfReady(now time.Time) *Answer {
	total := len(q.parts)
	switch {
	case q.answered == total, q.answered >= q.needed && (q.answered+q.lost == total || !now.Before(q.objective)):
		return q.successAnswer()
	case !now.Before(q.deadline):
		f := fault.New(fault.TooLate, "%d of %d shards had answered at the deadline, %d are needed", q.answered, total, q.needed)
		f.Ran = q.mayHaveRun()
		return faultAnswer(f)
	case total-q.lost < q.needed:
		return q.failureAnswer()
	}
	return nil
}

// nextEvent returns the next time at which a timer of the query is due.
func (q *query) nextEvent(now time.Time) time.Time {
	at := q.deadline
	if q.route.Fanout() && now.Before(q.objective) && q.objective.Before(at) {
		at = q.objective
	}
	if check := now.Add(unresponsiveCheckInterval); q.route.Fanout() && !now.Before(q.objective) && check.Before(at) {
		at = check
	}
	if q.trial != nil && !q.trial.ended && q.unproven() {
		if due := q.trial.sentAt.Add(trialTimeout); due.After(now) && due.Before(at) {
			at = due
		}
	}
	for _, p := range q.parts {
		if p.reply != nil || p.lost {
			continue
		}
		if !p.retryAt.IsZero() && p.retryAt.Before(at) {
			at = p.retryAt
		}
		for _, f := range p.subRequests {
			if !f.ended && f.hedgeAt.After(now) && f.hedgeAt.Before(at) {
				at = f.hedgeAt
			}
		}
	}
	return at
}

// markLost records that a part can no longer get a reply.
func (q *query) markLost(p *part) {
	p.lost = true
	q.lost++
}

// handleResult processes the result of one sub-request: it completes the part, or retries it or gives it up.
func (q *query) handleResult(r result) {
	notRun, answered := q.recordResult(r)
	if answered {
		// The parts that are held back go on after this one.
		defer q.noteAnswered()
	}
	p := r.sub.part
	if p.reply != nil || p.lost {
		return
	}
	if r.reply != nil && q.isFinal(r.reply) {
		p.reply = r.reply
		q.answered++
		q.latencies = append(q.latencies, q.engine.clock.Since(r.sub.sentAt))
		return
	}
	if answered {
		q.lastFailure = r.reply
	}
	q.checkEarly()
	if !answered && q.holdBack(r.sub) {
		return
	}
	q.retryAfterFailure(p, notRun)
}

// recordResult records the result of a sub-request. It reports whether the request certainly did not run at the target, and whether the target has run it and replied, which only a signature shows.
func (q *query) recordResult(r result) (notRun, answered bool) {
	sub := r.sub
	sub.ended = true
	q.uncountInFlight(sub)
	if now := q.engine.clock.Now(); r.err == nil {
		q.engine.reach.noteReply(now)
	} else if q.subCtx.Err() == nil {
		q.engine.reach.noteFailure(sub.target.Process(), now)
	}
	var poolErr *pool.Error
	switch {
	case errors.As(r.err, &poolErr):
		notRun = !poolErr.Sent
		if notRun {
			sub.part.reached--
		}
		if poolErr.BrokenOff || errors.Is(r.err, syscall.ECONNREFUSED) {
			q.engine.crashes.record(sub.target.Process(), q.engine.clock.Now())
		}
		q.lastCause = sub.target.ID + ": " + poolErr.Error()
		if errors.Is(r.err, pool.ErrResponseTooLong) {
			q.reportTooLong(sub, poolErr)
		}
		if poolErr.BrokenOff {
			q.recordBrokenOff(sub)
		}
	case r.err != nil:
		q.lastCause = sub.target.ID + ": " + r.err.Error()
	default:
		notRun = r.reply.NotRun || r.reply.WrongTarget
		if !r.reply.Success() {
			q.lastCause = sub.target.ID + ": " + r.reply.describeFailure()
		}
	}
	q.maybeRan = q.maybeRan || !notRun
	q.reachedTargets = q.reachedTargets || poolErr == nil || poolErr.Sent
	if notRun && r.reply != nil {
		q.targetRefusals++
	}
	return notRun, r.reply != nil && !notRun && r.reply.Signature != ""
}

// openCount returns the number of the part's open sub-requests.
func (p *part) openCount() int {
	n := 0
	for _, f := range p.subRequests {
		if !f.ended {
			n++
		}
	}
	return n
}

// handleTimers sends the retries and hedges that are due. Overdue sub-requests no longer count as load. After the objective it gives up on parts whose targets are all unresponsive.
func (q *query) handleTimers(now time.Time) {
	for _, p := range q.parts {
		if p.reply != nil || p.lost || p.delegated || p.held {
			continue
		}
		if !p.retryAt.IsZero() {
			if !now.Before(p.retryAt) {
				q.sendDueRetry(p, now)
			}
			continue
		}
		if f := p.onlyOpen(); f != nil && q.route.Idempotent && !now.Before(f.hedgeAt) {
			f.hedgeAt = now.Add(hedgeRecheck)
			q.engine.reach.noteFailure(f.target.Process(), now)
			q.uncountInFlight(f)
			q.hedge(p, now)
		}
		if q.route.Fanout() && !now.Before(q.objective) && p.allUnresponsive(now) {
			q.markLost(p)
		}
	}
	if q.unproven() {
		q.continueTrial(now)
	}
}
