package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupcross/fault"
	"kingcupcross/route"
)

const (
	// lowPriorityShare is the fraction of the concurrency limit that requests of lower-priority routes may use, so that some capacity remains for requests of higher priority.
	lowPriorityShare = 0.9
	// minLimitPerPart is the minimum concurrency limit per part of a request. It applies however small the host's share of the slots is.
	minLimitPerPart = 2
	// overloadRetryAfter is the retry delay told to callers whose requests are refused for overload. It is about the time of a few answers, after which there is capacity again unless the load persists.
	overloadRetryAfter = 150 * time.Millisecond
)

// loadTracker counts the sub-requests in flight per load group. Overdue sub-requests are not counted, since they wait for a stalled target and do not use capacity.
type loadTracker struct {
	mu sync.Mutex
	// inFlight is the number of counted sub-requests per load group.
	inFlight map[string]int
	// factors holds, per load group, the fraction of the concurrency limit that is admitted at present; 1 where there is no entry.
	factors map[string]float64
}

const (
	// minAdmissionFactor is the lower bound on an admission factor, however many answers are late.
	minAdmissionFactor = 0.2
	// An admission factor is multiplied by lateDecrease after a late answer and raised by timelyIncrease after one in time (AIMD).
	lateDecrease   = 0.9
	timelyIncrease = 0.005
)

// adjustFactor updates a group's admission factor after an answer. It lowers the factor when answers are late, because more concurrent requests would only make more of them late.
func (l *loadTracker) adjustFactor(group string, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.factors == nil {
		l.factors = map[string]float64{}
	}
	factor, known := l.factors[group]
	if !known {
		factor = 1
	}
	if late {
		l.factors[group] = max(factor*lateDecrease, minAdmissionFactor)
	} else {
		l.factors[group] = min(factor+timelyIncrease, 1)
	}
}

// congestedLatencyShare is the fraction of the latency objective above which the median reply indicates congestion: about half of that time is then spent in queues.
const congestedLatencyShare = 0.4

// congested reports whether the request's targets were overloaded: some refused a sub-request, or the median reply was slow. Targets that do not answer while the others answer as usual do not count, because admitting less would not bring them back.
func (q *query) congested() bool {
	if q.targetRefusals > 0 {
		return true
	}
	if len(q.latencies) == 0 {
		return false
	}
	slices.Sort(q.latencies)
	return q.latencies[len(q.latencies)/2] > time.Duration(congestedLatencyShare*float64(q.route.Aim))
}

// admissionFactor returns the fraction of the concurrency limit that is admitted for a group.
func (l *loadTracker) admissionFactor(group string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if factor, known := l.factors[group]; known {
		return factor
	}
	return 1
}

// retain deletes the admission factors of groups whose service known rejects.
func (l *loadTracker) retain(known func(string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.factors, func(g string, _ float64) bool { return !known(strings.TrimPrefix(g, fanoutGroupPrefix)) })
}

// fanoutGroupPrefix starts the load group of a fan-out route and distinguishes it from the group of a route to the first shard alone.
const fanoutGroupPrefix = "shards of "

// loadGroup returns the key under which load is counted and limited: one group for all shards of an index, or one for a single service.
func loadGroup(r *route.Route, p *part) string {
	if r.Fanout() {
		return fanoutGroupPrefix + r.Shards[0]
	}
	return p.service
}

// inFlightCount returns the number of counted sub-requests of a group.
func (l *loadTracker) inFlightCount(group string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[group]
}

// add changes the number of counted sub-requests of a group by n, which may be negative.
func (l *loadTracker) add(group string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == nil {
		l.inFlight = map[string]int{}
	}
	if l.inFlight[group] += n; l.inFlight[group] == 0 {
		delete(l.inFlight, group)
	}
}

// tryAdd counts n more sub-requests of a group unless that would exceed limit. A group with none in flight admits any number. It returns the number in flight before the call.
func (l *loadTracker) tryAdd(group string, n int, limit float64) (before int, added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.inFlight[group]
	if before > 0 && float64(before+n) > limit {
		return before, false
	}
	if l.inFlight == nil {
		l.inFlight = map[string]int{}
	}
	l.inFlight[group] = before + n
	return before, true
}

// countInFlight counts one sub-request as load, unless it is one of those counted at the request's admission.
func (q *query) countInFlight(p *part) {
	if q.unusedCapacity > 0 {
		q.unusedCapacity--
		return
	}
	q.engine.load.add(loadGroup(q.route, p), 1)
}

// releaseUnusedCapacity removes from the load the sub-requests that were counted at admission but not sent.
func (q *query) releaseUnusedCapacity() {
	if q.unusedCapacity > 0 {
		q.engine.load.add(loadGroup(q.route, q.parts[0]), -q.unusedCapacity)
		q.unusedCapacity = 0
	}
}

// maxInFlightPerSlot is the number of sub-requests per target slot that all hosts together may have in flight while the admission factor is 1: one running, one in transit, and those that the target queues.
const maxInFlightPerSlot = 10

// concurrencyLimit returns the number of sub-requests that this host may have in flight at the request's services: its share of what their targets can serve in time.
func (q *query) concurrencyLimit() float64 {
	total := 0.0
	now := q.engine.clock.Now()
	for _, p := range q.parts {
		for _, t := range q.engine.usableTargets(p.service, now) {
			inFlight := float64(maxInFlightPerSlot * t.Slots)
			if perSecond, limited := q.engine.statedRate(t); limited {
				// More in flight can't all be answered by the objective.
				inFlight = min(inFlight, perSecond*q.route.Aim.Seconds())
			}
			total += inFlight
		}
	}
	return total * q.engine.state.SlotsShare()
}

// unlimitedConns is the connection limit assumed for a service that does not state how many connections its targets accept.
const unlimitedConns = 1 << 20

// maxConcurrentPerTarget returns the number of sub-requests that this host may have in flight at one target of a service.
func (e *Engine) maxConcurrentPerTarget(s route.Service) int {
	if s.Conns <= 0 {
		return unlimitedConns
	}
	return max(1, int(float64(s.Conns)*e.state.LimitsShare()))
}

// hasTopPriority reports whether no other route that uses the same load group has a higher priority (a smaller number).
func (q *query) hasTopPriority() bool {
	group := loadGroup(q.route, q.parts[0])
	for i := range q.config.Routes {
		if r := &q.config.Routes[i]; r.Priority < q.route.Priority && usesGroup(r, group) {
			return false
		}
	}
	return true
}

// usesGroup reports whether requests of a route count towards a load group.
func usesGroup(r *route.Route, group string) bool {
	if r.Fanout() {
		return loadGroup(r, nil) == group
	}
	return slices.ContainsFunc(r.Shares, func(s route.WeightedService) bool { return s.Service == group })
}

// admit counts one sub-request per part as load, or refuses the request at once with a retry delay if that would exceed the limit. It does not queue the request, because waiting would only use up the caller's remaining time.
func (q *query) admit() *fault.Error {
	e := q.engine
	group := loadGroup(q.route, q.parts[0])
	q.admissionLimit = max(q.concurrencyLimit()*e.load.admissionFactor(group), float64(minLimitPerPart*len(q.parts)))
	limit := q.admissionLimit
	if !q.hasTopPriority() {
		limit *= lowPriorityShare
	}
	before, added := e.load.tryAdd(group, len(q.parts), limit)
	if !added {
		e.scope.Counter("without_room").Inc(1)
		return fault.New(fault.Overload, "%d sub-requests are under way, there is room for %.0f", before, limit).WithRetry(overloadRetryAfter)
	}
	q.unusedCapacity = len(q.parts)
	return nil
}
