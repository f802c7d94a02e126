package relay

import (
	"maps"
	"strings"
	"sync"
	"time"

	"kingcupcross/roster"
)

const (
	// probePeriod is the time between two requests that are tried although too few of their targets answer, so that a host learns when these are back.
	probePeriod = 250 * time.Millisecond
	// silentRetry is when a caller is told to come back that isn't tried: after the next probe, or to another host.
	silentRetry = 200 * time.Millisecond
	// silentCheck is the time between two looks, after the latency objective, for shards that have fallen silent.
	silentCheck = 50 * time.Millisecond
)

// probes remembers when a request to a group of services was last tried although too few targets answer.
type probes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// turn reports whether a request of the group is to be tried now.
func (p *probes) turn(group string, now time.Time) bool {
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

// keep forgets the groups that known doesn't name.
func (p *probes) keep(known func(string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.last, func(g string, _ time.Time) bool { return !known(strings.TrimPrefix(g, shardsOf)) })
}

// Blocked tells when a request could not be served since too few of its targets answer.
func (e *Engine) Blocked() <-chan struct{} {
	return e.blocked
}

func (e *Engine) block() {
	select {
	case e.blocked <- struct{}{}:
	default:
	}
}

// lively returns the number of parts that have a target of which an answer can be expected; chosen are those that would be asked.
func (q *run) lively(chosen []*claim, now time.Time) int {
	n := 0
	for i, p := range q.parts {
		switch {
		case chosen[i] != nil && !chosen[i].rank.Unresponsive(now):
			n++
		case q.fastest(p, now, func(t *roster.Entry) bool { return !q.engine.rank(t).Unresponsive(now) }) != nil:
			n++
		}
	}
	return n
}

// silent reports whether none of the targets that the part waits for is expected to answer.
func (p *part) silent(now time.Time) bool {
	open := 0
	for _, f := range p.flights {
		if f.ended {
			continue
		}
		open++
		if !f.rank.Unresponsive(now) {
			return false
		}
	}
	return open > 0
}
