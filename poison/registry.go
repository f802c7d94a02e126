package poison

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/roster"
	"kingcupcross/timer"
)

const (
	// minCrashes is the number of targets that must have ended under a request before it is quarantined, one of them in a proven trial. Fewer may be a coincidence.
	minCrashes = 3
	// firstQuarantine is the length of a request's first quarantine. Each further one is quarantineFactor times as long, up to maxQuarantine: every end of one costs a target if the request is still deadly. No answer can end a quarantine while all copies are refused, so that the longest one is what a wrong verdict costs.
	firstQuarantine  = 2 * time.Second
	quarantineFactor = 3
	maxQuarantine    = 20 * time.Second
	// quarantineJitter is the fraction of a quarantine by which each host extends it at random, so that one host tries the request first and the others learn the result.
	quarantineJitter = 0.5
	// firstPause is the least time between the latest crash of a suspect and its next trial, so that the trial isn't part of the event in which the earlier targets ended. It doubles with each such trial in which a target has ended, up to maxPause, or once if the request was answered lately. Each host extends it at random by up to the same time.
	firstPause = 450 * time.Millisecond
	maxPause   = 15 * time.Second
	// lastTargetPause is the time since the latest crash from which a suspect may be tried at the last target of a service. Until then the other targets may be back.
	lastTargetPause = 10 * time.Second
	// claimPeriod is how long the trial of one host keeps the others from trying the same request: a run, the check whether the target has ended, and the message about it.
	claimPeriod = 400 * time.Millisecond
	// suspectRetention is how long a suspect is remembered after the last crash, and a quarantined request after its quarantine.
	suspectRetention = 10 * time.Minute
	// clearedRetention is how long it is remembered that a request was cleared, so that reports of earlier crashes that arrive late don't count.
	clearedRetention = time.Minute
)

// State says how copies of a request are to be treated.
type State uint8

// States of a request.
const (
	// Harmless requests are handled without restrictions.
	Harmless State = iota
	// Suspect requests are tried at one target at a time.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// crash is the end of a target under a request. tried is set if the request was a suspect that was being tried, proven if no other target ended beside it then.
type crash struct {
	target        roster.Process
	tried, proven bool
	at            time.Time
}

// entry is what is known about one request.
type entry struct {
	crashes     []crash
	quarantines int
	// quarantinedAt and quarantineEnd are the begin and the end of the latest quarantine; localEnd is the end with this host's jitter.
	quarantinedAt, quarantineEnd, localEnd time.Time
	clearedAt                              time.Time
	// refuted holds the targets whose ends an answer has shown to have another cause. A target ends once, so none of them counts again, whatever the age in a late message.
	refuted []roster.Process
	// trialRunning is set while this host tries the request.
	trialRunning bool
	// claim is the random number of the latest claim to try the request, by this host or another; zero means none. claimLost is set if it is another's although this host tries the request.
	claim     uint32
	claimedAt time.Time
	claimLost bool
	// pauseSpread is this host's random extension of the pauses before trials, as a fraction.
	pauseSpread float64
	// changed is set if other hosts haven't been told of the latest change yet.
	changed bool
}

// state returns the request's state at a time.
func (e *entry) state(now time.Time) State {
	switch {
	case now.Before(e.localEnd):
		return Quarantined
	case len(e.crashes) > 0:
		return Suspect
	default:
		return Harmless
	}
}

// expires returns the time after which the entry may be deleted.
func (e *entry) expires() time.Time {
	at := e.localEnd.Add(suspectRetention)
	if !e.clearedAt.IsZero() {
		at = later(at, e.clearedAt.Add(clearedRetention))
	}
	for _, c := range e.crashes {
		at = later(at, c.at.Add(suspectRetention))
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answeredLately reports whether a target has answered the request lately, before the crashes that are recorded now.
func (e *entry) answeredLately(now time.Time) bool {
	return !e.clearedAt.IsZero() && now.Sub(e.clearedAt) < clearedRetention
}

// claimed reports whether the trial of the request is claimed.
func (e *entry) claimed(now time.Time) bool {
	return e.claim != 0 && now.Sub(e.claimedAt) < claimPeriod
}

// nextTrial returns the earliest time of the next trial of a suspect, if no copy is being tried then. No pause is kept for fewer crashes than the given number.
func (e *entry) nextTrial(pausedFrom int, now time.Time) time.Time {
	if len(e.crashes) < pausedFrom {
		return time.Time{}
	}
	crashes := e.byTime()
	pause, longest := firstPause, maxPause
	if e.answeredLately(now) {
		longest = 2 * firstPause
	}
	for range countTrials(crashes[min(minCrashes-1, len(crashes)):]) {
		pause = min(2*pause, longest)
	}
	pause += time.Duration(e.pauseSpread * float64(pause))
	return crashes[len(crashes)-1].at.Add(pause)
}

// hasCrash reports whether the end of a target is recorded.
func (e *entry) hasCrash(p roster.Process) bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return c.target.Equal(p) })
}

// Registry holds what this host knows about requests that end targets.
type Registry struct {
	clock *timer.Clock
	log   *zap.Logger
	scope tally.Scope
	// size is the number of entries, for a check without the lock.
	size atomic.Int64
	// complete is set once this host knows what the others know.
	complete atomic.Bool
	// changes receives a value after a change that other hosts don't know. It holds at most one value.
	changes chan struct{}

	answered answeredSet

	mu      sync.Mutex
	entries map[Digest]*entry
}

// NewRegistry returns an empty registry.
func NewRegistry(clock *timer.Clock, log *zap.Logger, scope tally.Scope) *Registry {
	return &Registry{
		clock:   clock,
		log:     log,
		scope:   scope,
		changes: make(chan struct{}, 1),
		entries: map[Digest]*entry{},
	}
}

// Empty reports whether nothing is known about any request.
func (r *Registry) Empty() bool {
	return r.size.Load() == 0
}

// State returns the state of a request.
func (r *Registry) State(d Digest) State {
	if r.Empty() {
		return Harmless
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[d]; e != nil {
		return e.state(r.clock.Now())
	}
	return Harmless
}

// Crashed returns the targets that have ended under a request.
func (r *Registry) Crashed(d Digest) []roster.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []roster.Process
	if e := r.entries[d]; e != nil {
		for _, c := range e.crashes {
			all = append(all, c.target)
		}
	}
	return all
}

// QuarantineRemaining returns the rest of a request's quarantine at this host, zero if there is none.
func (r *Registry) QuarantineRemaining(d Digest) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[d]
	if e == nil {
		return 0
	}
	return max(e.localEnd.Sub(r.clock.Now()), 0)
}

// BeginTrial reports whether a suspect may be tried by this host now, which is so if no other copy is being tried and, if the suspect has pausedFrom crashes or more, enough time has passed since the latest one. EndTrial must follow. If the suspect may not be tried, wait is the time after which it may, zero if that depends on a copy that is being tried.
func (r *Registry) BeginTrial(d Digest, pausedFrom int) (wait time.Duration, begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[d]
	if e == nil {
		return 0, true
	}
	now := r.clock.Now()
	if wait := e.nextTrial(pausedFrom, now).Sub(now); wait > 0 {
		return wait, false
	}
	if e.trialRunning || e.claimed(now) {
		return 0, false
	}
	e.trialRunning, e.claim, e.claimLost = true, 0, false
	return 0, true
}

// ClaimTrial keeps the other hosts from trying a suspect, which this one is about to send to a target.
func (r *Registry) ClaimTrial(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[d]; e != nil && e.trialRunning {
		e.claim, e.claimedAt = 1+rand.Uint32N(math.MaxUint32), r.clock.Now()
		r.noteChange(e)
	}
}

// KeepsClaim reports whether no other host has claimed the trial at the same time with a lower number.
func (r *Registry) KeepsClaim(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[d]
	return e == nil || !e.claimLost
}

// MayTakeLastTarget reports whether a suspect may be tried at the only target that is left of a service: a target has answered it lately, or no other one has come back since the latest crash.
func (r *Registry) MayTakeLastTarget(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[d]
	if e == nil {
		return true
	}
	now := r.clock.Now()
	at, _ := e.latestCrash()
	return e.answeredLately(now) || now.Sub(at) >= lastTargetPause
}

// EndTrial ends a trial.
func (r *Registry) EndTrial(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[d]; e != nil {
		e.trialRunning = false
		if !e.claimLost {
			e.claim = 0
		}
	}
}

// NoteAnswered records that a target has answered a request, which ends its quarantine and all suspicion on all hosts, whether or not the request was a suspect when it began. Its content is then no suspect if targets end under another request while they run it.
func (r *Registry) NoteAnswered(d Digest) {
	r.answered.add(d, r.clock.Now())
	if !r.Empty() {
		r.Clear(d)
	}
}

// clearedByAnswer reports whether an answer speaks for a request under which targets ended at a time: one from after that, or, unless a trial has proven the request, one from shortly before. The latter counts once.
func (r *Registry) clearedByAnswer(d Digest, endedAt time.Time, proven bool, now time.Time) bool {
	answeredAt := r.answered.last(d, now)
	if answeredAt.After(endedAt) {
		return true
	}
	if proven || answeredAt.IsZero() {
		return false
	}
	r.answered.remove(d)
	return true
}

// RecordCrashes records targets that ended under a request which no target has answered; tried is set if it was being tried as a suspect. That alone makes the request a suspect and no more: the targets may have ended for another reason. It returns the state of the request afterwards.
func (r *Registry) RecordCrashes(d Digest, targets []roster.Process, tried bool) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	answeredAt := r.answered.last(d, now)
	answerAge := now.Sub(answeredAt)
	if r.clearedByAnswer(d, now, false, now) {
		e := r.entryOf(d, now)
		e.clearedAt = later(e.clearedAt, answeredAt)
		e.refute(targets...)
		r.noteChange(e)
		r.log.Info("targets have ended under a request that others have answered", zap.Stringer("content", d), zap.Int("targets", len(targets)), zap.Duration("answer_age", answerAge))
		return Harmless
	}
	e := r.entryOf(d, now)
	// The new ones decide about the next quarantine.
	replace := e.state(now) != Quarantined
	added := false
	for _, p := range targets {
		added = r.addCrash(d, e, crash{target: p, tried: tried, at: now}, replace) || added
	}
	if added {
		r.noteChange(e)
	}
	r.log.Info("targets have ended under a request", zap.Stringer("content", d), zap.Int("targets", len(targets)), zap.Int("crashes", len(e.crashes)), zap.Bool("tried", tried), zap.Duration("answer_age", answerAge))
	r.updateGauges(now)
	return e.state(now)
}

// Prove records that a target which ended in a trial was the only one to end then, and quarantines the request if enough targets have ended under it. It has no effect if an answer has cleared the request, if others ended under the request shortly before it was tried, or if the target ended under another request as well that no target has answered: either may be the cause. It returns the state of the request afterwards.
func (r *Registry) Prove(d Digest, target roster.Process) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e := r.entries[d]
	if e == nil || !e.hasCrash(target) {
		return Harmless
	}
	for other, shared := range r.entries {
		if other != d && shared.hasCrash(target) {
			r.countTrial("shared")
			r.log.Info("trial proves nothing: the target ended under another request as well", zap.Stringer("content", d), zap.Stringer("other", other), zap.String("target", target.ID))
			return e.state(now)
		}
	}
	if !e.isolated(target) {
		r.countTrial("early")
		return e.state(now)
	}
	r.countTrial("proven")
	e.prove(target)
	r.quarantineIfProven(d, e, now)
	r.noteChange(e)
	r.updateGauges(now)
	return e.state(now)
}

// NoteUnproven counts and logs a trial that proves nothing, because other targets ended beside it or, if otherEnds is zero, no other one was left.
func (r *Registry) NoteUnproven(d Digest, target roster.Process, otherEnds int) {
	r.countTrial("unproven")
	r.log.Info("trial proves nothing: other targets ended as well", zap.Stringer("content", d), zap.String("target", target.ID), zap.Int("beside_it", otherEnds))
}

// countTrial counts a trial in which the target ended.
func (r *Registry) countTrial(result string) {
	r.scope.Tagged(map[string]string{"result": result}).Counter("trials").Inc(1)
}

// isolated reports whether no target ended under the request shortly before the given one, other than in trials.
func (e *entry) isolated(p roster.Process) bool {
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.target.Equal(p) })
	endedAt := e.crashes[i].at
	return !slices.ContainsFunc(e.crashes, func(c crash) bool {
		gap := endedAt.Sub(c.at)
		return !c.tried && gap >= 0 && gap < firstPause
	})
}

// prove marks the end of a target as no coincidence and reports whether it wasn't marked before.
func (e *entry) prove(p roster.Process) bool {
	for i := range e.crashes {
		if c := &e.crashes[i]; c.target.Equal(p) && !c.proven {
			c.proven = true
			return true
		}
	}
	return false
}

// addCrash adds a crash to an entry and reports whether it is new; replace says whether it may always take the place of an older one. A crash that a quarantined request explains doesn't count against others. The caller must hold r.mu.
func (r *Registry) addCrash(d Digest, e *entry, c crash, replace bool) bool {
	if !c.at.After(e.clearedAt) || e.hasCrash(c.target) || slices.ContainsFunc(e.refuted, c.target.Equal) {
		return false
	}
	for other, q := range r.entries {
		if other != d && q.quarantines > 0 && q.hasCrash(c.target) {
			return false
		}
	}
	if len(e.crashes) >= maxCrashes && !e.makeRoom(c, replace) {
		return false
	}
	e.crashes = append(e.crashes, c)
	return true
}

// makeRoom drops a crash in favour of a new one and reports whether it has. The oldest one outside trials goes first. Unless replace is set, only a trial takes the place of another crash, and that of another trial only if it is certainly later: hosts that remember different crashes would tell each other for ever.
func (e *entry) makeRoom(c crash, replace bool) bool {
	if !c.tried && !replace {
		return false
	}
	oldest := -1
	for i, other := range e.crashes {
		if oldest < 0 || (e.crashes[oldest].tried && !other.tried) || (e.crashes[oldest].tried == other.tried && other.at.Before(e.crashes[oldest].at)) {
			oldest = i
		}
	}
	if dropped := e.crashes[oldest]; dropped.tried && !replace && c.at.Sub(dropped.at) < firstPause {
		return false
	}
	e.crashes = slices.Delete(e.crashes, oldest, oldest+1)
	return true
}

// quarantineIfProven quarantines a request if enough targets have ended under it, one of them in a proven trial since the latest quarantine began. The caller must hold r.mu.
func (r *Registry) quarantineIfProven(d Digest, e *entry, now time.Time) {
	// Each quarantine needs a trial of its own.
	proven := slices.ContainsFunc(e.crashes, func(c crash) bool { return c.proven && c.at.After(e.quarantinedAt) })
	if len(e.crashes) < minCrashes || !proven || now.Before(e.quarantineEnd) {
		return
	}
	// Two trials in which a target has ended, of which one is proven, are worth the second quarantine. Further ones that prove nothing are not worth more.
	n := max(e.quarantines+1, min(countTrials(e.byTime()), 2))
	r.quarantine(d, e, n, now, now.Add(quarantineLength(n)), "here")
}

// countTrials returns the number of trials among crashes that are ordered by time. Hosts that try a request at the same time make one.
func countTrials(crashes []crash) int {
	n := 0
	var latest time.Time
	for _, c := range crashes {
		if c.tried && c.at.Sub(latest) >= firstPause {
			n++
			latest = c.at
		}
	}
	return n
}

// byTime returns the crashes of a request in their order.
func (e *entry) byTime() []crash {
	return slices.SortedFunc(slices.Values(e.crashes), func(a, b crash) int { return a.at.Compare(b.at) })
}

// describeCrashes lists the targets that have ended under a request with their ages, and what the trials among them have shown.
func (e *entry) describeCrashes(now time.Time) string {
	var b strings.Builder
	for i, c := range e.byTime() {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s@%s", c.target.ID, now.Sub(c.at).Round(time.Millisecond))
		switch {
		case c.proven:
			b.WriteString("+proven")
		case c.tried:
			b.WriteString("+tried")
		}
	}
	return b.String()
}

// quarantineLength returns the length of a request's nth quarantine.
func quarantineLength(n int) time.Duration {
	length := firstQuarantine
	for i := 1; i < n && length < maxQuarantine; i++ {
		length = min(length*quarantineFactor, maxQuarantine)
	}
	return length
}

// quarantine sets the quarantine of a request. The caller must hold r.mu.
func (r *Registry) quarantine(d Digest, e *entry, count int, from, to time.Time, origin string) {
	now := r.clock.Now()
	e.quarantines, e.quarantinedAt, e.quarantineEnd = count, from, to
	e.localEnd = to.Add(time.Duration(rand.Float64() * quarantineJitter * float64(to.Sub(now))))
	r.dropExplained(d, e)
	r.scope.Tagged(map[string]string{"origin": origin}).Counter("quarantines").Inc(1)
	r.log.Warn("request quarantined: targets end under it", zap.Stringer("content", d), zap.String("origin", origin), zap.Int("crashes", len(e.crashes)), zap.Int("quarantines", count), zap.Duration("remaining", e.localEnd.Sub(now)), zap.String("ends", e.describeCrashes(now)))
}

// dropExplained removes the crashes of a quarantined request from all others: these only shared targets with it. The caller must hold r.mu.
func (r *Registry) dropExplained(d Digest, quarantined *entry) {
	for other, e := range r.entries {
		if other == d || e.quarantines > 0 {
			continue
		}
		e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return quarantined.hasCrash(c.target) })
	}
}

// Clear records that a target has answered a request, which ends its quarantine and all suspicion.
func (r *Registry) Clear(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[d]
	if e == nil || (len(e.crashes) == 0 && e.quarantines == 0) {
		return
	}
	now := r.clock.Now()
	r.clear(d, e, now, "here")
	r.noteChange(e)
	r.updateGauges(now)
}

// refute records targets whose ends have another cause.
func (e *entry) refute(targets ...roster.Process) {
	e.refuted = append(e.refuted, targets...)
	e.refuted = e.refuted[max(len(e.refuted)-maxRefuted, 0):]
}

// clear removes what was recorded about a request up to a time. The caller must hold r.mu.
func (r *Registry) clear(d Digest, e *entry, at time.Time, origin string) {
	e.clearedAt = at
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool {
		if c.at.After(at) {
			return false
		}
		e.refute(c.target)
		return true
	})
	if e.quarantinedAt.After(at) {
		return
	}
	e.quarantines, e.quarantinedAt, e.quarantineEnd, e.localEnd = 0, time.Time{}, time.Time{}, time.Time{}
	r.scope.Counter("cleared").Inc(1)
	r.log.Info("request is no suspect any more: a target has answered it", zap.Stringer("content", d), zap.String("origin", origin))
}

// entryOf returns the entry of a request, a new one if there is none. The caller must hold r.mu.
func (r *Registry) entryOf(d Digest, now time.Time) *entry {
	if e := r.entries[d]; e != nil {
		return e
	}
	if len(r.entries) >= maxRecords {
		r.evict(now)
	}
	e := &entry{pauseSpread: rand.Float64()}
	r.entries[d] = e
	r.size.Store(int64(len(r.entries)))
	return e
}

// evict deletes the entry that expires first, those of quarantined requests last. The caller must hold r.mu.
func (r *Registry) evict(now time.Time) {
	var first Digest
	var found *entry
	for d, e := range r.entries {
		quarantined, otherQuarantined := e.state(now) == Quarantined, found != nil && found.state(now) == Quarantined
		if found == nil || (otherQuarantined && !quarantined) || (otherQuarantined == quarantined && e.expires().Before(found.expires())) {
			first, found = d, e
		}
	}
	delete(r.entries, first)
}

// Prune deletes entries that have no effect any more.
func (r *Registry) Prune() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	maps.DeleteFunc(r.entries, func(_ Digest, e *entry) bool { return now.After(e.expires()) })
	r.size.Store(int64(len(r.entries)))
	r.updateGauges(now)
}

// updateGauges updates the numbers of suspects and of quarantined requests. The caller must hold r.mu.
func (r *Registry) updateGauges(now time.Time) {
	counts := map[State]int{}
	for _, e := range r.entries {
		counts[e.state(now)]++
	}
	r.scope.Gauge("suspects").Update(float64(counts[Suspect]))
	r.scope.Gauge("quarantined").Update(float64(counts[Quarantined]))
}
