package relay

import (
	"slices"
	"time"

	"kingcupcross/roster"
)

// choose claims the target that is expected to answer first, or returns nil where none may be asked any more.
func (q *run) choose(p *part, now time.Time) *claim {
	if p.reached >= max(q.route.Attempts, 1) || len(p.asked) >= max(q.route.Attempts, 1)+dialTries {
		return nil
	}
	return q.claimFastest(p, now, func(t *roster.Entry) bool { return !slices.Contains(p.asked, t.ID) })
}

// mayRepeat reports whether a target that was asked for a part before may be asked again.
func (q *run) mayRepeat(p *part, now time.Time) bool {
	return len(p.flights) < max(q.route.Attempts, 1)+repeats && q.fastest(p, now, p.wasAsked) != nil
}

// repeated claims the target that a part is asked of again, or returns nil.
func (q *run) repeated(p *part, now time.Time) *claim {
	if len(p.flights) >= max(q.route.Attempts, 1)+repeats {
		return nil
	}
	return q.claimFastest(p, now, p.wasAsked)
}

// wasAsked reports whether a target was chosen for the part before.
func (p *part) wasAsked(t *roster.Entry) bool {
	return slices.Contains(p.asked, t.ID)
}

// fastest returns the target of a part that is expected to answer first of those that may be asked, or nil.
func (q *run) fastest(p *part, now time.Time, may func(*roster.Entry) bool) *roster.Entry {
	e := q.engine
	service := q.config.Services[p.service]
	var best *roster.Entry
	var least time.Duration
	// A target that has left since the request began is no longer there.
	for _, t := range e.serving(p.service, now) {
		if e.returning(t, now) || !q.route.Allows(t.Region) || e.beliefs.Out(t.Datacentre) || !e.cold.open(t, service, now) || !may(t) {
			continue
		}
		if estimate := e.rank(t).Estimate(now, t.Slots); best == nil || estimate < least {
			best, least = t, estimate
		}
	}
	return best
}

// serves reports whether a target that was chosen may still get work.
func (e *Engine) serves(t *roster.Entry) bool {
	known := e.beliefs.View().Entries[t.ID]
	return known != nil && !known.Draining && !e.beliefs.Out(t.Datacentre) && !e.bars(t, e.clock.Now())
}
