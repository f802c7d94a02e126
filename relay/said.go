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
	// longestQuiet bounds the time for which a target is left alone at its own word.
	longestQuiet = time.Minute
	// returnSpread is the part of that time, up to returnMost, by which each host comes back later, at random, so that hosts don't come back together.
	returnSpread = 0.25
	returnMost   = 500 * time.Millisecond
	// returnRamp is the time after it in which this host has one sub-request at once under way at the target.
	returnRamp = time.Second
	// lastResort is the part of the bound on leaving targets within which one that says so itself still gets what no other target can answer.
	lastResort = 0.8
	// leavingKept is how long it is remembered that a target which the roster no longer shows was leaving: its entry may come back.
	leavingKept = 10 * time.Minute
	// toldAge bounds the age of what is told to other hosts, mostTold its number.
	toldAge  = time.Minute
	mostTold = 256
)

// Word is what a target says of itself in an answer, besides the answer.
type Word struct {
	// Leaving says that the target is about to end.
	Leaving bool
	// Quiet is how long the target wants nothing from this host; zero means that it didn't say so.
	Quiet time.Duration
	// Other is the target that has answered in place of the one that was asked, empty where that one did.
	Other string
	// Ignored names what was said in a way that has no meaning.
	Ignored string
}

// Origins of what is known of a leaving target.
const (
	byTarget = "target"
	byHost   = "host"
)

// leaving is a target that said that it leaves.
type leaving struct {
	born time.Time
	// since is when this host, or the one that told it, heard it first.
	since  time.Time
	origin string
}

// quiet is a target that wants nothing until a time.
type quiet struct {
	born  time.Time
	until time.Time
}

// words is what targets have said; it isn't changed once it is published.
type words struct {
	leaving map[string]leaving
	quiet   map[string]quiet
}

// said holds what targets say of themselves, which the store doesn't know yet.
//
// It holds for one start of a target: another one under the same id, which has another time of birth, has said nothing. A target that has said that it leaves stays so whatever the store shows, since a later entry of the same start may have been written before.
type said struct {
	// mu orders changes.
	mu    sync.Mutex
	words atomic.Pointer[words]
}

func (s *said) load() *words {
	if w := s.words.Load(); w != nil {
		return w
	}
	return &words{}
}

// change publishes a copy with a change.
func (s *said) change(change func(*words)) {
	old := s.load()
	next := &words{leaving: maps.Clone(old.leaving), quiet: maps.Clone(old.quiet)}
	if next.leaving == nil {
		next.leaving = map[string]leaving{}
	}
	if next.quiet == nil {
		next.quiet = map[string]quiet{}
	}
	change(next)
	s.words.Store(next)
}

// leave notes that a target leaves and reports whether that is news.
func (s *said) leave(id string, l leaving) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.load().leaving[id]; known && (old.born.Equal(l.born) || l.born.Before(old.born)) {
		return false
	}
	s.change(func(w *words) { w.leaving[id] = l })
	return true
}

// hush notes that a target wants nothing until a time, unless it said a later one, and reports whether that is news.
func (s *said) hush(id string, q quiet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.load().quiet[id]; known && old.born.Equal(q.born) && !old.until.Before(q.until) {
		return false
	}
	s.change(func(w *words) { w.quiet[id] = q })
	return true
}

// forget drops what can no longer matter.
func (s *said) forget(view *roster.View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.load(); len(w.leaving)+len(w.quiet) == 0 {
		return
	}
	s.change(func(w *words) {
		maps.DeleteFunc(w.leaving, func(id string, l leaving) bool {
			e := view.Entries[id]
			if e == nil {
				return now.Sub(l.since) > leavingKept
			}
			return l.born.Before(e.Born)
		})
		maps.DeleteFunc(w.quiet, func(_ string, q quiet) bool { return !now.Before(q.until.Add(returnRamp)) })
	})
}

// of returns what a target has said of its leaving.
func (w *words) of(t *roster.Entry) (leaving, bool) {
	l, known := w.leaving[t.ID]
	return l, known && l.born.Equal(t.Born)
}

// quietUntil returns the time until which a target wants nothing, zero where it hasn't said so.
func (w *words) quietUntil(t *roster.Entry) time.Time {
	if q, known := w.quiet[t.ID]; known && q.born.Equal(t.Born) {
		return q.until
	}
	return time.Time{}
}

// hear takes what a target has said in the head of an answer.
func (e *Engine) hear(to *roster.Entry, w Word) {
	now := e.clock.Now()
	if w.Ignored != "" {
		e.scope.Counter("words_ignored").Inc(1)
		e.log.Info("what a target says of itself is ignored", zap.String("target", to.ID), zap.String("cause", w.Ignored))
	}
	if w.Other != "" {
		// The target that was asked is no longer there, so only the other one can be meant.
		other := e.beliefs.View().Entries[w.Other]
		if other == nil {
			return
		}
		to = other
	}
	if w.Leaving {
		e.noteLeft(to.ID, leaving{
			born:   to.Born,
			since:  now,
			origin: byTarget,
		})
	}
	if w.Quiet <= 0 {
		return
	}
	d := min(w.Quiet, longestQuiet)
	spread := min(time.Duration(returnSpread*float64(d)), returnMost)
	until := now.Add(d + time.Duration(rand.Float64()*float64(spread)))
	if e.said.hush(to.ID, quiet{born: to.Born, until: until}) {
		e.scope.Counter("quiet_targets").Inc(1)
		e.log.Info("target wants nothing for a while", zap.String("target", to.ID), zap.String("service", to.Service), zap.Duration("quiet", d))
	}
}

func (e *Engine) noteLeft(id string, l leaving) {
	if !e.said.leave(id, l) {
		return
	}
	e.scope.Tagged(map[string]string{"origin": l.origin}).Counter("leaving_targets").Inc(1)
	e.log.Info("target says that it leaves", zap.String("target", id), zap.String("origin", l.origin), zap.Int64("age_ms", e.clock.Since(l.since).Milliseconds()))
}

// Leaving reports whether a target has said that it leaves.
func (e *Engine) Leaving(t *roster.Entry) bool {
	_, known := e.said.load().of(t)
	return known
}

// Leavers returns the targets that have said lately that they leave, for other hosts; the newest come first.
func (e *Engine) Leavers() []roster.Leaver {
	now := e.clock.Now()
	var all []roster.Leaver
	for id, l := range e.said.load().leaving {
		if age := now.Sub(l.since); age <= toldAge {
			all = append(all, roster.Leaver{ID: id, Born: l.born, Age: age})
		}
	}
	slices.SortFunc(all, func(a, b roster.Leaver) int { return int(a.Age - b.Age) })
	return all[:min(len(all), mostTold)]
}

// Learn takes targets that have told another host that they leave.
func (e *Engine) Learn(all []roster.Leaver) {
	now := e.clock.Now()
	for _, l := range all {
		e.noteLeft(l.ID, leaving{
			born:   l.Born,
			since:  now.Add(-l.Age),
			origin: byHost,
		})
	}
}

// serving returns the targets of a service that may get work by what they say of themselves. Ones that leave are among them only where there are no others, and only for a while.
func (e *Engine) serving(service string, now time.Time) []*roster.Entry {
	all := e.beliefs.View().Services[service]
	w := e.said.load()
	if len(w.leaving)+len(w.quiet) == 0 {
		return all
	}
	var kept, last []*roster.Entry
	for _, t := range all {
		l, leaves := w.of(t)
		switch {
		case now.Before(w.quietUntil(t)):
		case !leaves:
			kept = append(kept, t)
		case e.mayServeLast(l, now):
			last = append(last, t)
		}
	}
	if len(kept) > 0 {
		return kept
	}
	return last
}

// mayServeLast reports whether a target that leaves may still get what no other can answer.
func (e *Engine) mayServeLast(l leaving, now time.Time) bool {
	return now.Sub(l.since) < time.Duration(lastResort*float64(e.limits.Leave))
}

// bars reports whether a target wants no work by what it says of itself.
func (e *Engine) bars(t *roster.Entry, now time.Time) bool {
	w := e.said.load()
	if now.Before(w.quietUntil(t)) {
		return true
	}
	l, leaves := w.of(t)
	return leaves && !e.mayServeLast(l, now)
}

// ramped reports whether a target was left alone until a moment ago, so that it gets one sub-request at a time from here.
func (e *Engine) ramped(t *roster.Entry, now time.Time) bool {
	until := e.said.load().quietUntil(t)
	return !until.IsZero() && now.Before(until.Add(returnRamp))
}

// returning reports whether a target was left alone until a moment ago and already has work from here.
func (e *Engine) returning(t *roster.Entry, now time.Time) bool {
	return e.ramped(t, now) && e.rank(t).Outstanding() > 0
}

// quietEnd returns the earliest time at which a part all of whose targets are left alone may be asked for again, zero where there is none.
func (q *run) quietEnd(now time.Time) time.Time {
	var first time.Time
	w := q.engine.said.load()
	if len(w.quiet) == 0 {
		return first
	}
	view := q.engine.beliefs.View()
	for _, p := range q.parts {
		if len(q.engine.serving(p.service, now)) > 0 {
			continue
		}
		for _, t := range view.Services[p.service] {
			if until := w.quietUntil(t); !until.IsZero() && (first.IsZero() || until.Before(first)) {
				first = until
			}
		}
	}
	return first
}

// afterQuiet has a caller come back once a target may be asked that is left alone now, where that is the reason to refuse it.
func (q *run) afterQuiet(f *fault.Error, now time.Time) *fault.Error {
	if end := q.quietEnd(now); end.After(now) {
		return f.WithRetry(end.Sub(now))
	}
	return f
}

// gaugeSaid shows how many targets are taken for leaving or quiet at their own word.
func (e *Engine) gaugeSaid() {
	w, now := e.said.load(), e.clock.Now()
	silent := 0
	for _, q := range w.quiet {
		if now.Before(q.until) {
			silent++
		}
	}
	e.scope.Gauge("targets_leaving_by_word").Update(float64(len(w.leaving)))
	e.scope.Gauge("targets_quiet").Update(float64(silent))
}
