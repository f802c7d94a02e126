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
}

func newReachTracker() *reachTracker {
	return &reachTracker{
		suspicions: make(chan struct{}, 1),
		failing:    map[processKey]bool{},
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

// ReachSuspicions returns a channel that receives a value when this host may have lost its way to the targets. It holds at most one value.
func (e *Engine) ReachSuspicions() <-chan struct{} {
	return e.reach.suspicions
}
