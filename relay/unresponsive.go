package relay

import (
	"maps"
	"strings"
	"sync"
	"time"

	"kingcupcross/roster"
)

const (
	// probePeriod is the interval at which one request per load group is sent although too few of its targets respond, to detect when they respond again.
	probePeriod = 250 * time.Millisecond
	// unresponsiveRetryAfter is the retry delay told to callers whose requests are refused between two probes: they retry after the next probe, or at another host.
	unresponsiveRetryAfter = 200 * time.Millisecond
	// unresponsiveCheckInterval is the interval at which, after the latency objective, a query checks for parts whose targets have become unresponsive.
	unresponsiveCheckInterval = 50 * time.Millisecond
)

// probeLimiter records, per load group, when a request was last sent although too few targets respond.
type probeLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allow reports whether a request of the group may be sent as a probe now, and if so records it.
func (p *probeLimiter) allow(group string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[group]) < probePeriod {
		return false
	}
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	p.last[group] = now
	return true
}

// retain deletes the entries of groups whose service known rejects.
func (p *probeLimiter) retain(known func(string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.last, func(g string, _ time.Time) bool { return !known(strings.TrimPrefix(g, fanoutGroupPrefix)) })
}

// UnresponsiveRefusals returns a channel that receives a value after a request was refused because too few of its targets respond. It holds at most one value.
func (e *Engine) UnresponsiveRefusals() <-chan struct{} {
	return e.unresponsiveRefusals
}

// signalUnresponsiveRefusal sends on the channel of Blocked unless a signal is already pending.
func (e *Engine) signalUnresponsiveRefusal() {
	e.reach.suspect()
	select {
	case e.unresponsiveRefusals <- struct{}{}:
	default:
	}
}

// responsiveParts returns the number of parts with a target that is expected to respond; reserved holds the reservations made for the parts.
func (q *query) responsiveParts(reserved []*reservation, now time.Time) int {
	n := 0
	for i, p := range q.parts {
		switch {
		case reserved[i] != nil && !reserved[i].estimator.Unresponsive(now):
			n++
		case q.fastestTarget(p, now, func(t *roster.Entry) bool { return !q.engine.estimatorOf(t).Unresponsive(now) }) != nil:
			n++
		}
	}
	return n
}

// allUnresponsive reports whether the part has open sub-requests and none of their targets is expected to respond.
func (p *part) allUnresponsive(now time.Time) bool {
	open := 0
	for _, f := range p.subRequests {
		if f.ended {
			continue
		}
		open++
		if !f.estimator.Unresponsive(now) {
			return false
		}
	}
	return open > 0
}
