package relay

import (
	"slices"
	"time"

	"kingcupcross/roster"
)

// reserveNewTarget reserves a sub-request at the target that is expected to answer first and was not yet asked for the part. It returns nil if there is none, the part has used up its attempts, or the limits at all such targets are reached.
func (q *query) reserveNewTarget(p *part, now time.Time) *reservation {
	if p.reached >= q.attempts() || len(p.askedTargets) >= q.attempts()+maxDialFailures {
		return nil
	}
	return q.reserveFastest(p, now, func(t *roster.Entry) bool { return !slices.Contains(p.askedTargets, t.ID) })
}

// attempts returns the number of targets that the request may be sent to here, per part.
func (q *query) attempts() int {
	return max(q.route.Attempts, 1) - q.request.AttemptsUsed
}

// attemptsUsed returns the greatest number of targets that a part of the request may have reached, here or by another host.
func (q *query) attemptsUsed() int {
	used := 0
	for _, p := range q.parts {
		used = max(used, p.reached)
		if p.delegated {
			// Another host may have used all.
			used = max(used, q.attempts())
		}
	}
	return q.request.AttemptsUsed + used
}

// canRepeat reports whether a target that was already asked for the part may be asked again; it reserves nothing.
func (q *query) canRepeat(p *part, now time.Time) bool {
	return len(p.subRequests) < q.attempts()+maxRepeats && q.fastestTarget(p, now, p.wasAsked) != nil
}

// reserveAskedTarget reserves another sub-request at the fastest target that was already asked for the part. It returns nil if there is none or the part has used up its repeats.
func (q *query) reserveAskedTarget(p *part, now time.Time) *reservation {
	if len(p.subRequests) >= q.attempts()+maxRepeats {
		return nil
	}
	return q.reserveFastest(p, now, p.wasAsked)
}

// wasAsked reports whether a sub-request for the part was already sent to a target.
func (p *part) wasAsked(t *roster.Entry) bool {
	return slices.Contains(p.askedTargets, t.ID)
}

// fastestTarget returns the eligible target of a part that is expected to answer first, or nil. Of a target with a rate limit, the last sub-request allowed is left for parts that no other target is expected to answer by the objective.
func (q *query) fastestTarget(p *part, now time.Time, eligible func(*roster.Entry) bool) *roster.Entry {
	e := q.engine
	service := q.config.Services[p.service]
	var best, bestLast *roster.Entry
	var shortest, shortestLast time.Duration
	// The current roster is used, so that targets removed since the request began are not chosen.
	for _, t := range e.usableTargets(p.service, now) {
		if e.resumingAndBusy(t, now) || !q.route.Allows(t.Region) || e.state.DatacentreOut(t.Datacentre) || !e.cold.allows(t, service, now) || !eligible(t) {
			continue
		}
		estimate := e.estimatorOf(t).Estimate(now, t.Slots)
		switch e.rateStateOf(t, now) {
		case rateOpen:
			if best == nil || estimate < shortest {
				best, shortest = t, estimate
			}
		case rateLast:
			if bestLast == nil || estimate < shortestLast {
				bestLast, shortestLast = t, estimate
			}
		}
	}
	if bestLast != nil && (best == nil || (shortestLast < shortest && now.Add(shortest).After(q.objective))) {
		return bestLast
	}
	return best
}

// mayStillSend reports whether a target that was chosen earlier may still receive work.
func (e *Engine) mayStillSend(t *roster.Entry) bool {
	known := e.state.View().Entries[t.ID]
	return known != nil && !known.Draining && !e.state.DatacentreOut(t.Datacentre) && !e.excludedByNotice(t, e.clock.Now())
}
