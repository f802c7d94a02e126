package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/roster"
)

const (
	// maxBackoff is the longest backoff accepted from a target.
	maxBackoff = time.Minute
	// resumeJitterShare is the fraction of the backoff by which each host delays its return at random, up to maxResumeJitter, so that hosts do not return all at once.
	resumeJitterShare = 0.25
	maxResumeJitter   = 500 * time.Millisecond
	// resumeRamp is the period after a backoff in which this host has at most one sub-request in flight at the target.
	resumeRamp = time.Second
	// lastResortShare is the fraction of Limits.LeavingTimeout during which a target that has announced its shutdown still gets requests that no other target can answer.
	lastResortShare = 0.8
	// leavingRetention is how long a leaving notice is kept for a target that is missing from the roster, because its entry may reappear.
	leavingRetention = 10 * time.Minute
	// maxSharedAge and maxSharedLeaving limit the age and the number of the notices passed on to other hosts.
	maxSharedAge     = time.Minute
	maxSharedLeaving = 256
)

// TargetNotice is what the headers of a response say about the state of a target.
type TargetNotice struct {
	// Leaving announces that the target is about to shut down.
	Leaving bool
	// Backoff is how long the target asks this host to send nothing; zero if it did not ask.
	Backoff time.Duration
	// Rate is what the target says about its rate limit.
	Rate StatedRate
	// AnsweredBy is the id of the target that answered instead of the one that was asked, empty if that one answered.
	AnsweredBy string
	// Malformed describes a header value that could not be parsed.
	Malformed string
}

// Sources of a leaving notice.
const (
	originTarget = "target"
	originHost   = "host"
)

// leavingNotice records that a target has announced its shutdown.
type leavingNotice struct {
	born time.Time
	// since is when the notice was first received, by this host or by the one that passed it on.
	since  time.Time
	origin string
}

// backoffNotice records that a target asked for no requests until a time.
type backoffNotice struct {
	born  time.Time
	until time.Time
}

// noticeSet is an immutable snapshot of the notices, keyed by target id.
type noticeSet struct {
	leaving map[string]leavingNotice
	backoff map[string]backoffNotice
}

// noticeStore holds the notices of targets, which are known here before the cluster store shows them.
//
// A notice applies to one process of a target, identified by its start time; a later process with the same id starts without notices. A leaving notice is not withdrawn when the store shows the target as active, because that entry may have been written before the notice.
type noticeStore struct {
	// mu serializes updates. Readers load the snapshot without it.
	mu       sync.Mutex
	snapshot atomic.Pointer[noticeSet]
}

// current returns the latest snapshot, which may be empty.
func (s *noticeStore) current() *noticeSet {
	if n := s.snapshot.Load(); n != nil {
		return n
	}
	return &noticeSet{}
}

// publish replaces the snapshot by a copy to which change was applied. The caller must hold s.mu.
func (s *noticeStore) publish(change func(*noticeSet)) {
	old := s.current()
	next := &noticeSet{leaving: maps.Clone(old.leaving), backoff: maps.Clone(old.backoff)}
	if next.leaving == nil {
		next.leaving = map[string]leavingNotice{}
	}
	if next.backoff == nil {
		next.backoff = map[string]backoffNotice{}
	}
	change(next)
	s.snapshot.Store(next)
}

// addLeaving records a leaving notice and reports whether it is new for this process of the target.
func (s *noticeStore) addLeaving(id string, l leavingNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.current().leaving[id]; known && (old.born.Equal(l.born) || l.born.Before(old.born)) {
		return false
	}
	s.publish(func(n *noticeSet) { n.leaving[id] = l })
	return true
}

// addBackoff records a backoff notice unless one that ends at the same time or later is known, and reports whether it did.
func (s *noticeStore) addBackoff(id string, b backoffNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.current().backoff[id]; known && old.born.Equal(b.born) && !old.until.Before(b.until) {
		return false
	}
	s.publish(func(n *noticeSet) { n.backoff[id] = b })
	return true
}

// prune deletes notices that no longer have an effect.
func (s *noticeStore) prune(view *roster.View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.current(); len(n.leaving)+len(n.backoff) == 0 {
		return
	}
	s.publish(func(n *noticeSet) {
		maps.DeleteFunc(n.leaving, func(id string, l leavingNotice) bool {
			e := view.Entries[id]
			if e == nil {
				return now.Sub(l.since) > leavingRetention
			}
			return l.born.Before(e.Born)
		})
		maps.DeleteFunc(n.backoff, func(_ string, b backoffNotice) bool { return !now.Before(b.until.Add(resumeRamp)) })
	})
}

// leavingOf returns the leaving notice of a target's current process, if any.
func (n *noticeSet) leavingOf(t *roster.Entry) (leavingNotice, bool) {
	l, known := n.leaving[t.ID]
	return l, known && l.born.Equal(t.Born)
}

// backoffUntil returns the end of a target's backoff, zero if it has announced none.
func (n *noticeSet) backoffUntil(t *roster.Entry) time.Time {
	if b, known := n.backoff[t.ID]; known && b.born.Equal(t.Born) {
		return b.until
	}
	return time.Time{}
}

// handleNotice processes the notice in the headers of the response to a sub-request that was sent at sentAt.
func (e *Engine) handleNotice(t *roster.Entry, n TargetNotice, sentAt time.Time) {
	now := e.clock.Now()
	if n.Malformed != "" {
		e.scope.Counter("words_ignored").Inc(1)
		e.log.Info("malformed target header ignored", zap.String("target", t.ID), zap.String("cause", n.Malformed))
	}
	if n.AnsweredBy != "" {
		// The target that was asked no longer listens at the address, so the notice is about the one that answered.
		other := e.state.View().Entries[n.AnsweredBy]
		if other == nil {
			return
		}
		t = other
	}
	e.recordStatedRate(t, n.Rate, sentAt, now)
	if n.Leaving {
		e.recordLeaving(t.ID, leavingNotice{
			born:   t.Born,
			since:  now,
			origin: originTarget,
		})
	}
	if n.Backoff <= 0 {
		return
	}
	backoff := min(n.Backoff, maxBackoff)
	jitter := min(time.Duration(resumeJitterShare*float64(backoff)), maxResumeJitter)
	until := now.Add(backoff + time.Duration(rand.Float64()*float64(jitter)))
	if e.notices.addBackoff(t.ID, backoffNotice{born: t.Born, until: until}) {
		e.scope.Counter("quiet_targets").Inc(1)
		e.log.Info("target asked for backoff", zap.String("target", t.ID), zap.String("service", t.Service), zap.Duration("quiet", backoff))
	}
}

// recordLeaving stores a leaving notice, and counts and logs it if it is new.
func (e *Engine) recordLeaving(id string, l leavingNotice) {
	if !e.notices.addLeaving(id, l) {
		return
	}
	e.scope.Tagged(map[string]string{"origin": l.origin}).Counter("leaving_targets").Inc(1)
	e.log.Info("target announced its shutdown", zap.String("target", id), zap.String("origin", l.origin), zap.Int64("age_ms", e.clock.Since(l.since).Milliseconds()))
}

// IsLeaving reports whether a target has announced its shutdown.
func (e *Engine) IsLeaving(t *roster.Entry) bool {
	_, known := e.notices.current().leavingOf(t)
	return known
}

// LeavingTargets returns the targets that announced their shutdown within maxSharedAge, most recent first, to be passed on to other hosts.
func (e *Engine) LeavingTargets() []roster.Leaver {
	now := e.clock.Now()
	var all []roster.Leaver
	for id, l := range e.notices.current().leaving {
		if age := now.Sub(l.since); age <= maxSharedAge {
			all = append(all, roster.Leaver{ID: id, Born: l.born, Age: age})
		}
	}
	slices.SortFunc(all, func(a, b roster.Leaver) int { return int(a.Age - b.Age) })
	return all[:min(len(all), maxSharedLeaving)]
}

// LearnLeaving records leaving notices that another host has received.
func (e *Engine) LearnLeaving(all []roster.Leaver) {
	now := e.clock.Now()
	for _, l := range all {
		e.recordLeaving(l.ID, leavingNotice{
			born:   l.Born,
			since:  now.Add(-l.Age),
			origin: originHost,
		})
	}
}

// usableTargets returns the targets of a service that may receive work according to their notices. Leaving targets are returned only if there are no others, and only for a limited time.
func (e *Engine) usableTargets(service string, now time.Time) []*roster.Entry {
	all := e.state.View().Services[service]
	notices := e.notices.current()
	if len(notices.leaving)+len(notices.backoff) == 0 {
		return all
	}
	var usable, lastResort []*roster.Entry
	for _, t := range all {
		notice, isLeaving := notices.leavingOf(t)
		switch {
		case now.Before(notices.backoffUntil(t)):
		case !isLeaving:
			usable = append(usable, t)
		case e.lastResortAllowed(notice, now):
			lastResort = append(lastResort, t)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return lastResort
}

// lastResortAllowed reports whether a leaving target may still get requests that no other target can answer.
func (e *Engine) lastResortAllowed(l leavingNotice, now time.Time) bool {
	return now.Sub(l.since) < time.Duration(lastResortShare*float64(e.limits.LeavingTimeout))
}

// excludedByNotice reports whether a target must not receive work because of its notices.
func (e *Engine) excludedByNotice(t *roster.Entry, now time.Time) bool {
	notices := e.notices.current()
	if now.Before(notices.backoffUntil(t)) {
		return true
	}
	notice, isLeaving := notices.leavingOf(t)
	return isLeaving && !e.lastResortAllowed(notice, now)
}

// resuming reports whether a target is in backoff or its backoff ended less than resumeRamp ago, so that this host limits itself to one sub-request at a time there.
func (e *Engine) resuming(t *roster.Entry, now time.Time) bool {
	until := e.notices.current().backoffUntil(t)
	return !until.IsZero() && now.Before(until.Add(resumeRamp))
}

// resumingAndBusy reports whether a resuming target already has a sub-request from this host.
func (e *Engine) resumingAndBusy(t *roster.Entry, now time.Time) bool {
	return e.resuming(t, now) && e.estimatorOf(t).Outstanding() > 0
}

// backoffEnd returns the earliest end of a backoff among the parts that have no usable target, zero if no backoff is the reason.
func (q *query) backoffEnd(now time.Time) time.Time {
	var first time.Time
	notices := q.engine.notices.current()
	if len(notices.backoff) == 0 {
		return first
	}
	view := q.engine.state.View()
	for _, p := range q.parts {
		if len(q.engine.usableTargets(p.service, now)) > 0 {
			continue
		}
		for _, t := range view.Services[p.service] {
			if until := notices.backoffUntil(t); !until.IsZero() && (first.IsZero() || until.Before(first)) {
				first = until
			}
		}
	}
	return first
}

// withTargetRetry sets the fault's retry delay to the end of the backoffs or to the time at which the rate limits that prevent the request allow it, if that is the reason.
func (q *query) withTargetRetry(f *fault.Error, now time.Time) *fault.Error {
	at := q.backoffEnd(now)
	if rateAt := q.rateRetryAt(now); rateAt.After(at) {
		at = rateAt
	}
	if at.After(now) {
		return f.WithRetry(at.Sub(now))
	}
	return f
}

// updateNoticeGauges updates the gauges for targets that are leaving or in backoff by their own notice.
func (e *Engine) updateNoticeGauges() {
	notices, now := e.notices.current(), e.clock.Now()
	inBackoff := 0
	for _, b := range notices.backoff {
		if now.Before(b.until) {
			inBackoff++
		}
	}
	e.scope.Gauge("targets_leaving_by_word").Update(float64(len(notices.leaving)))
	e.scope.Gauge("targets_quiet").Update(float64(inBackoff))
}
