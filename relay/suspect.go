package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/poison"
	"kingcupcross/roster"
	"kingcupcross/route"
)

const (
	// trialTimeout is how long a target that runs a request which none has answered is waited for before another one is tried. It is longer than most runs and pauses.
	trialTimeout = 150 * time.Millisecond
	// cautiousTrialTimeout replaces trialTimeout for requests against which nothing speaks but that other targets have just ended.
	cautiousTrialTimeout = 40 * time.Millisecond
	// pausedCrashes is the number of crashes from which a suspect that may be repeated is tried after a pause only, for a single service: one target may end by itself. Other suspects are after the first crash, since the other targets of a request over several shards answer it, and the caller of one that may not be repeated doesn't come back at once.
	pausedCrashes = 2
	// maxTrials is the number of targets beyond the first set at which a request is tried that none has answered although some have ended.
	maxTrials = 4
	// trialRetryAfter is the retry delay told to callers while another copy of a suspect is being tried.
	trialRetryAfter = 100 * time.Millisecond
	// spareRetryAfter is the retry delay told to callers while a suspect can't be tried because its services have too few targets.
	spareRetryAfter = 500 * time.Millisecond
	// unansweredHedgeShare is the fraction of the latency objective before which, up to maxUnansweredHedge, no part of a request over several shards is hedged while no target has answered. A target may need that long to end under a request.
	unansweredHedgeShare = 0.5
	maxUnansweredHedge   = 75 * time.Millisecond
	// settleTime is the time after the end of a target in a trial by which the other targets must not have ended, or the trial proves nothing. No copy runs meanwhile.
	settleTime = 850 * time.Millisecond
	// claimDelay is the time between the claim of a trial and its sending, in which claims of other hosts arrive.
	claimDelay = 25 * time.Millisecond
	// checkTimeout limits the check whether targets have ended.
	checkTimeout = 250 * time.Millisecond
)

// PoisonControl gives the engine access to what is known of requests that end their targets.
type PoisonControl struct {
	Registry *poison.Registry
	// Ended returns those of some targets that have ended, as opposed to targets to which only this host has lost its connections.
	Ended func(ctx context.Context, targets []*roster.Entry) []*roster.Entry
	// Reached returns those of some targets that accept connections.
	Reached func(ctx context.Context, targets []*roster.Entry) []*roster.Entry
}

// admitContent refuses a copy of a quarantined request, and a copy of a suspect while another one is being tried and for a pause after targets have ended. It reports whether the request is a suspect, in which case its trial has begun.
func (e *Engine) admitContent(r *Request, matched *route.Route) (suspect bool, f *fault.Error) {
	if e.poison.Registry.Empty() {
		return false, nil
	}
	d := r.Digest()
	switch e.poison.Registry.State(d) {
	case poison.Quarantined:
		remaining := e.poison.Registry.QuarantineRemaining(d)
		return false, fault.New(fault.Held, "targets have ended under requests of this content (%s)", d).WithRetry(max(remaining, trialRetryAfter))
	case poison.Suspect:
		pausedFrom := 1
		if matched.Idempotent && !matched.Fanout() {
			pausedFrom = pausedCrashes
		}
		switch wait, begun := e.poison.Registry.BeginTrial(d, pausedFrom); {
		case wait > 0:
			return false, fault.New(fault.Held, "targets have just ended under requests of this content (%s)", d).WithRetry(max(wait, trialRetryAfter))
		case !begun:
			return false, fault.New(fault.Overload, "a request of the same content (%s), under which targets have ended, is being tried", d).WithRetry(trialRetryAfter)
		}
		return true, nil
	default:
		return false, nil
	}
}

// unproven reports whether the request may be one that ends its targets: targets or connections to them have ended under it, under earlier copies or under others just now, and no target has answered it.
func (q *query) unproven() bool {
	return !q.answeredByTarget && !q.exempt && (q.suspect || q.cautious || len(q.brokenOff) > 0)
}

// noteAnswered records that a target has run the request and replied. The parts that were held back go on.
func (q *query) noteAnswered() {
	if q.answeredByTarget {
		return
	}
	q.recordReply()
	q.releaseHeld()
}

// recordReply records that a target has run the request and replied, for this query and for all copies.
func (q *query) recordReply() {
	q.answeredByTarget = true
	q.engine.poison.Registry.NoteAnswered(q.request.Digest())
}

// releaseHeld lets the parts go on that were held back.
func (q *query) releaseHeld() {
	now := q.engine.clock.Now()
	for _, p := range q.parts {
		if !p.held {
			continue
		}
		p.held = false
		if len(p.subRequests) > 0 {
			q.retryAfterFailure(p, false)
			continue
		}
		switch res := q.reserveNewTarget(p, now); {
		case res != nil:
			q.sendFirst(p, res, now)
		case p.saturated:
			p.retryAt = now.Add(saturatedRetryInterval)
		default:
			q.markLost(p)
		}
	}
}

// firstTrial returns the index of the part with which a suspect, or a request right after several ends, is tried first: a random one of those with a reservation at a service that can spare the target. It returns a fault if there is none or another host tries the suspect, and -1 for a request that is tried everywhere at once.
func (q *query) firstTrial(reserved []*reservation, now time.Time) (int, *fault.Error) {
	if !q.suspect && !q.cautious {
		return -1, nil
	}
	var candidates []int
	for _, i := range rand.Perm(len(reserved)) {
		if reserved[i] != nil && q.canSpareTarget(q.parts[i], now) {
			candidates = append(candidates, i)
		}
	}
	switch {
	case q.suspect:
		return q.firstTrialOfSuspect(candidates, reserved, now)
	case len(candidates) == 0:
		q.cautious = false
		return -1, nil
	default:
		return candidates[0], nil
	}
}

// firstTrialOfSuspect returns the first candidate whose service can spare the target, as connections to the others show: this host may not have noticed yet that they have ended. These others are the controls of the trial.
func (q *query) firstTrialOfSuspect(candidates []int, reserved []*reservation, now time.Time) (int, *fault.Error) {
	e, d := q.engine, q.request.Digest()
	if len(candidates) > 0 {
		ctx, cancel := e.clock.WithTimeout(q.ctx, checkTimeout)
		defer cancel()
		q.controls = e.poison.Reached(ctx, q.targetsBeside(candidates, reserved, now))
		q.uncontrolled = len(q.controls) == 0 && q.hasSeveralTargets()
	}
	for _, i := range candidates {
		target := reserved[i].target
		isOther := func(t *roster.Entry) bool { return t.Service == target.Service }
		if q.maySpareLast() || slices.ContainsFunc(q.controls, isOther) {
			e.poison.Registry.ClaimTrial(d)
			// Before a second end, or after a recent answer, the time of the caller counts for more than a target.
			if !q.maySpareLast() && e.clock.Sleep(q.ctx, claimDelay) != nil {
				return -1, fault.New(fault.TooLate, "the caller has left")
			}
			if !e.poison.Registry.KeepsClaim(d) {
				return -1, fault.New(fault.Overload, "another host tries a request of the same content (%s), under which targets have ended", d).WithRetry(trialRetryAfter)
			}
			return i, nil
		}
	}
	return -1, fault.New(fault.NoReplica, "targets have ended under requests of this content (%s), and no other target can be spared to try it", d).WithRetry(spareRetryAfter)
}

// hasSeveralTargets reports whether a service of the request has more than one target, also if they have ended.
func (q *query) hasSeveralTargets() bool {
	view := q.engine.state.View()
	return slices.ContainsFunc(q.parts, func(p *part) bool { return len(view.Services[p.service]) > 1 })
}

// targetsBeside returns other targets of the services of candidates for a trial, at which the request hasn't run, as many as may be checked at once: one of each service, then further ones.
func (q *query) targetsBeside(candidates []int, reserved []*reservation, now time.Time) []*roster.Entry {
	e := q.engine
	var first, further []*roster.Entry
	for _, i := range candidates {
		found := false
		for _, t := range e.usableTargets(q.parts[i].service, now) {
			if t == reserved[i].target || e.crashes.has(t.Process(), now) || slices.ContainsFunc(q.crashed, t.Process().Equal) {
				continue
			}
			if found {
				further = append(further, t)
			} else {
				first = append(first, t)
			}
			found = true
		}
	}
	all := append(first, further...)
	return all[:min(len(all), poison.MaxChecked)]
}

// maySpareLast reports whether the request may be tried at the last target of a service.
func (q *query) maySpareLast() bool {
	return len(q.crashed)+len(q.brokenOff) < 2 || q.lastTargetAllowed
}

// canSpareTarget reports whether the request may be tried at a target of a part's service. After more than one target has ended under it, the service must have another one left for some time.
func (q *query) canSpareTarget(p *part, now time.Time) bool {
	if q.maySpareLast() {
		return true
	}
	e := q.engine
	left := 0
	for _, t := range e.usableTargets(p.service, now) {
		ended := e.crashes.has(t.Process(), now) || slices.ContainsFunc(q.crashed, t.Process().Equal)
		if !ended && q.route.Allows(t.Region) && !e.state.DatacentreOut(t.Datacentre) && !e.estimatorOf(t).Unresponsive(now) {
			left++
		}
	}
	return left > 1
}

// noteTrial records a sub-request that was sent beyond the first set before any target has answered, or the first one of a suspect.
func (q *query) noteTrial(sub *subRequest) {
	if !q.answeredByTarget && (q.suspect || q.cautious || sub.reason != reasonFirst) {
		q.trial = sub
		q.trials++
	}
}

// mayTryAnother reports whether an overdue sub-request may be hedged. Until a target has replied, a request over several shards runs at one more target at a time, and one under which targets have ended at none, because every target that runs it may end.
func (q *query) mayTryAnother(now time.Time) bool {
	switch {
	case q.answeredByTarget || q.exempt:
		return true
	case q.unproven():
		// Only continueTrial sends another sub-request.
		return false
	case !q.route.Fanout():
		return true
	case now.Sub(q.start) < min(time.Duration(unansweredHedgeShare*float64(q.route.Aim)), maxUnansweredHedge):
		return false
	default:
		return q.trial == nil || q.trial.ended || now.Sub(q.trial.sentAt) >= trialTimeout
	}
}

// holdBack decides whether the part of a failed sub-request waits, because the request may be what ends its targets. If it returns false, the part is retried or given up as usual.
func (q *query) holdBack(sub *subRequest) bool {
	if !q.unproven() {
		return false
	}
	p := sub.part
	switch {
	case q.route.Fanout():
		p.held = p.held || p.openCount() == 0
		q.continueTrial(q.engine.clock.Now())
		return true
	case !sub.brokenOff:
		return false
	case q.suspect || len(q.brokenOff) > 1:
		p.held = p.held || p.openCount() == 0
		q.verdictDue = true
		return true
	default:
		// One more target is a trial. If it runs the request already, its reply is waited for.
		return p.openCount() > 0
	}
}

// continueTrial tries a request over several shards at one more target once nothing else can show whether targets survive it.
func (q *query) continueTrial(now time.Time) {
	if !q.route.Fanout() {
		return
	}
	if t := q.trial; t != nil {
		if t.brokenOff && (q.suspect || len(q.brokenOff) > 1) {
			q.verdictDue = true
			return
		}
		if !t.ended && now.Sub(t.sentAt) < q.trialTime() {
			return
		}
	}
	for _, p := range q.parts {
		for _, sub := range p.subRequests {
			if !sub.ended && !sub.uncounted && sub != q.trial {
				return
			}
		}
	}
	switch {
	case q.trials < maxTrials && q.sendTrial(now):
	case q.cautious && !q.suspect && len(q.brokenOff) == 0:
		// Its targets are slow or gone, but none has ended under it.
		q.exempt = true
		q.releaseHeld()
	case q.openSubRequests() == 0:
		q.verdictDue = true
	}
}

// trialTime returns how long a trial is waited for before the next one.
func (q *query) trialTime() time.Duration {
	if q.cautious && !q.suspect && len(q.brokenOff) == 0 {
		return cautiousTrialTimeout
	}
	return trialTimeout
}

// sendTrial sends a sub-request for one of the parts that are held back and reports whether that was possible.
func (q *query) sendTrial(now time.Time) bool {
	for _, p := range q.parts {
		if !p.held || !q.canSpareTarget(p, now) {
			continue
		}
		res := q.reserveNewTarget(p, now)
		if res == nil {
			continue
		}
		if !q.spendBudget(p) {
			q.engine.release(res)
			continue
		}
		p.held = false
		q.retries++
		q.send(p, res, now, reasonRetry)
		return true
	}
	return false
}

// openSubRequests returns the number of sub-requests without a result.
func (q *query) openSubRequests() int {
	n := 0
	for _, p := range q.parts {
		n += p.openCount()
	}
	return n
}

// checkEarly starts to check, once, whether targets have ended under a request over several shards. Other hosts learn of the result while this one still waits for the rest of the targets.
func (q *query) checkEarly() {
	if q.checkResults != nil || !q.route.Fanout() || !q.unproven() || len(q.brokenOff) == 0 {
		return
	}
	results := make(chan []*roster.Entry, 1)
	q.checkResults = results
	targets := q.targetsToCheck()
	go func() { results <- q.checkTargets(targets) }()
}

// handleCheck records the targets that have ended, unless one has answered the request meanwhile.
func (q *query) handleCheck(ended []*roster.Entry) {
	if len(ended) > 0 && !q.answeredByTarget {
		q.recordEnded(ended)
	}
}

// conclude finds out whether the targets whose connections ended have ended themselves. If so it records that, and returns the fault with which the request fails. If they go on, or one has answered meanwhile, it lets the request go on and returns nil.
func (q *query) conclude() *fault.Error {
	q.verdictDue = false
	q.concluded = true
	ended := q.checkTargets(q.targetsToCheck())
	q.handlePending()
	switch {
	case q.answeredByTarget:
		return nil
	case len(ended) > 0:
		return q.recordEnded(ended)
	case len(q.brokenOff) == 0:
		return q.failureAnswer().Fault
	}
	q.exempt = true
	q.releaseHeld()
	return nil
}

// targetsToCheck returns the targets whose connections ended under the request, as many as may be checked at once.
func (q *query) targetsToCheck() []*roster.Entry {
	var checked []*roster.Entry
	for _, t := range slices.Backward(q.brokenOff) {
		// The latest one is the trial.
		if len(checked) < poison.MaxChecked && !slices.Contains(checked, t) {
			checked = append(checked, t)
		}
	}
	return checked
}

// checkTargets returns those of some targets that have ended.
func (q *query) checkTargets(targets []*roster.Entry) []*roster.Entry {
	if len(targets) == 0 {
		return nil
	}
	ctx, cancel := q.engine.clock.WithTimeout(context.WithoutCancel(q.ctx), checkTimeout)
	defer cancel()
	return q.engine.poison.Ended(ctx, targets)
}

// recordEnded records that targets have ended under the request and returns its fault.
func (q *query) recordEnded(ended []*roster.Entry) *fault.Error {
	var processes []roster.Process
	for _, t := range ended {
		processes = append(processes, t.Process())
	}
	d := q.request.Digest()
	q.engine.log.Info("targets have ended under a request", zap.String("request", q.request.ID), zap.Stringer("content", d), zap.Int("ended", len(ended)), zap.Bool("suspect", q.suspect), zap.Bool("cautious", q.cautious), zap.String("targets", q.targetsSummary(q.engine.clock.Now())))
	q.engine.poison.Registry.RecordCrashes(d, processes, q.suspect)
	// A retry or hedge of a request that was no suspect when it began is no trial: what ended its first target may have ended the other.
	if q.suspect && q.trial != nil && q.trial.brokenOff && slices.Contains(ended, q.trial.target) {
		q.proveTrial(q.trial.target)
	}
	f := fault.New(fault.Failed, "%d targets have ended under the request (%s), and none has answered it", len(ended), d)
	f.Ran = true
	return f
}

// proveTrial finds out whether the target of a trial was the only one that ended. Other targets that ended beside it, at which the suspect didn't run, show that something else ends targets, and if all others had ended before, nothing can show that it doesn't.
func (q *query) proveTrial(target *roster.Entry) {
	if q.proving {
		return
	}
	q.proving = true
	controls := slices.DeleteFunc(slices.Clone(q.controls), q.wasSentTo)
	go func() {
		e, d := q.engine, q.request.Digest()
		if e.clock.Sleep(context.WithoutCancel(q.ctx), settleTime) != nil {
			return
		}
		if ended := q.checkTargets(controls); len(ended) > 0 || q.uncontrolled {
			e.poison.Registry.NoteUnproven(d, target.Process(), len(ended))
			return
		}
		e.poison.Registry.Prove(d, target.Process())
	}()
}

// wasSentTo reports whether a sub-request was sent to a target.
func (q *query) wasSentTo(t *roster.Entry) bool {
	return slices.ContainsFunc(q.parts, func(p *part) bool { return p.wasAsked(t) })
}

// concludeFailure is conclude for a request that fails although its verdict wasn't due. It returns nil if the answer stands.
func (q *query) concludeFailure(a *Answer) *fault.Error {
	if a.Fault == nil || q.concluded || !q.unproven() || len(q.brokenOff) == 0 {
		return nil
	}
	if q.ctx.Err() != nil || !q.engine.clock.Now().Before(q.deadline) {
		// The answer doesn't wait for the check, which concludeLater makes.
		return nil
	}
	return q.conclude()
}

// concludeLater waits for the sub-requests that are still open after the answer and records the targets that have ended under the request, if none has answered it. It returns at once if there is nothing to wait for.
func (q *query) concludeLater() {
	if q.answeredByTarget || q.exempt || q.concluded || (len(q.brokenOff) == 0 && q.openSubRequests() == 0) {
		q.endTrial()
		return
	}
	go func() {
		defer q.endTrial()
		for q.openSubRequests() > 0 {
			if _, answered := q.recordResult(<-q.results); answered && !q.answeredByTarget {
				q.recordReply()
			}
		}
		if q.answeredByTarget || len(q.brokenOff) == 0 {
			return
		}
		if ended := q.checkTargets(q.targetsToCheck()); len(ended) > 0 {
			q.recordEnded(ended)
		}
	}()
}

// endTrial lets other copies of a suspect be tried.
func (q *query) endTrial() {
	if q.suspect {
		q.engine.poison.Registry.EndTrial(q.request.Digest())
	}
}
