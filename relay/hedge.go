package relay

import (
	"time"

	"kingcupcross/roster"
)

const (
	// hedgeRoom is the part of the room from which no hedges are sent: what they add then delays more answers than they save.
	hedgeRoom = 0.25
	// hedgeMargin is the time before the last moment for a hedge at which it is sent, for the jitter of its way and work.
	hedgeMargin = 8 * time.Millisecond
	// recheck is the time after which a hedge that was not possible is thought of again.
	recheck = 10 * time.Millisecond
)

// only returns the flight that the part waits for, or nil where there are several.
func (p *part) only() *flight {
	var open *flight
	for _, f := range p.flights {
		switch {
		case f.ended:
		case open != nil:
			return nil
		default:
			open = f
		}
	}
	return open
}

// hedge asks another target for a part that is overdue.
func (q *run) hedge(p *part, now time.Time) {
	if q.route.Fanout() && q.crowded(p) {
		p.leave(lossLoad)
		return
	}
	c := q.choose(p, now)
	if c == nil {
		p.leave(lossOnly)
		return
	}
	expected := now.Add(c.estimate)
	// A part that comes after the answer helps nobody.
	useless := q.route.Fanout() && now.Before(q.aim) && expected.After(q.aim)
	if useless || expected.After(q.end) {
		p.leave(lossLate)
		q.engine.release(c)
		return
	}
	if !q.pay(p) {
		p.leave(lossBudget)
		q.engine.release(c)
		return
	}
	q.hedges++
	q.launch(p, c, now)
}

// lastHedge returns the latest time at which another target of a part can still be asked to answer by the objective, or a time after it where that is too soon to tell anything.
func (q *run) lastHedge(p *part, first *roster.Entry, now time.Time) time.Time {
	if len(p.flights) > 0 {
		return q.end
	}
	other := q.fastest(p, now, func(t *roster.Entry) bool { return t.ID != first.ID })
	if other == nil {
		return q.end
	}
	last := q.aim.Add(-q.engine.rank(other).Estimate(now, other.Slots) - hedgeMargin)
	if last.Sub(now) < q.engine.rank(first).UsualLatency() {
		return q.end
	}
	return last
}

// crowded reports whether so much is under way that hedges would do harm.
func (q *run) crowded(p *part) bool {
	return float64(q.engine.load.read(groupOf(q.route, p))) > hedgeRoom*q.allowed
}
