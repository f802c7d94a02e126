package relay

import (
	"sync"
	"time"

	"kingcupcross/roster"
)

const (
	// minFailingTargets is the number of targets without an answer from which this host may have lost its way to all of them.
	minFailingTargets = 2
	// minSilenceOfAll is the time without a reply of any target from which that is suspected.
	minSilenceOfAll = 80 * time.Millisecond
)

// reachTracker notices when no target replies to this host any more.
type reachTracker struct {
	suspicions chan struct{}

	mu        sync.Mutex
	lastReply time.Time
	// failing holds the targets whose requests failed or are overdue since the last reply.
	failing map[processKey]bool
	// lost is closed once the way to the targets is known to be lost, and replaced when it is back.
	lost   chan struct{}
	isLost bool
}

func newReachTracker() *reachTracker {
	return &reachTracker{
		suspicions: make(chan struct{}, 1),
		failing:    map[processKey]bool{},
		lost:       make(chan struct{}),
	}
}

// noteReply records a reply of a target.
func (r *reachTracker) noteReply(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply = now
	clear(r.failing)
}

// noteFailure records that a target has not replied, and signals a suspicion if no other one has for a time.
func (r *reachTracker) noteFailure(p roster.Process, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing[keyOf(p)] = true
	if len(r.failing) >= minFailingTargets && now.Sub(r.lastReply) >= minSilenceOfAll {
		r.suspect()
	}
}

// suspect signals a suspicion unless one is pending.
func (r *reachTracker) suspect() {
	select {
	case r.suspicions <- struct{}{}:
	default:
	}
}

// setLost records whether the way to the targets is lost.
func (r *reachTracker) setLost(lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case lost && !r.isLost:
		close(r.lost)
	case !lost && r.isLost:
		r.lost = make(chan struct{})
		clear(r.failing)
	}
	r.isLost = lost
}

// whenLost returns a channel that is closed once the way to the targets is lost, nil if it is lost already.
func (r *reachTracker) whenLost() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLost {
		return nil
	}
	return r.lost
}

// ReachSuspicions returns a channel that receives a value when this host may have lost its way to the targets. It holds at most one value.
func (e *Engine) ReachSuspicions() <-chan struct{} {
	return e.reach.suspicions
}

// RepliedWithin reports whether any target has replied to this host within a time.
func (e *Engine) RepliedWithin(d time.Duration) bool {
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	return e.clock.Since(e.reach.lastReply) <= d
}

// SetPathLost states whether this host has lost its way to the targets. Requests that wait for them and may be repeated then end with PathLost, so that another host can answer them. When the way is back, what was learned of the targets meanwhile is forgotten.
func (e *Engine) SetPathLost(lost bool) {
	e.reach.setLost(lost)
	if !lost {
		e.estimators.ForgetSilence()
	}
}
