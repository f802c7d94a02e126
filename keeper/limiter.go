package keeper

import (
	"slices"
	"time"

	"kingcupcross/target"
	"kingcupcross/wire"
)

const (
	// successesPerStep is the number of successes after which the limit grows by one if the target states no phase.
	successesPerStep = 8
	// meanWeight is the divisor of the moving average of the response time: a new value counts as 1/meanWeight.
	meanWeight = 8
	// maxPastProcesses is the number of ended processes that are remembered, so that late information from them is ignored.
	maxPastProcesses = 4
)

// limiter adapts the number of concurrent requests to a target by the target's replies.
type limiter struct {
	process       uint64
	pastProcesses []uint64
	phase         target.Phase
	limit         int
	// trustedLimit is the limit from before the target was suspected to have restarted. Zero means that there is no suspicion.
	trustedLimit int
	// loweredAt is when the limit was last lowered. Only requests that were sent later can raise it.
	loweredAt time.Time
	// successes counts towards successesPerStep.
	successes int
	// meanResponseTime is the moving average of the response time, or zero before the first success.
	meanResponseTime time.Duration
	// leavingProcess is the process that signalled that it is leaving, unknownProcess if its incarnation isn't known, or zero.
	leavingProcess uint64
	// limitReason says why the limit has its current value. It is shown in logs and to operators.
	limitReason string
}

// unknownProcess stands for a leaving process whose incarnation isn't known.
const unknownProcess = ^uint64(0)

// reset sets the limit of a cold target and discards what was learned about a higher one.
func (r *limiter) reset(now time.Time, cold int, reason string) {
	r.limit, r.trustedLimit, r.successes, r.loweredAt, r.limitReason = cold, 0, 0, now, reason
}

// lowerUntilConfirmed lowers the limit to that of a cold target until a reply confirms that the process is the same. It reports whether the limit was lowered.
func (r *limiter) lowerUntilConfirmed(now time.Time, cold int, reason string) bool {
	if r.limit <= cold {
		return false
	}
	r.trustedLimit = max(r.trustedLimit, r.limit)
	r.limit, r.successes, r.loweredAt, r.limitReason = cold, 0, now, reason
	return true
}

// observeProcess records the process that a state names. isNew is true if it replaced another process, and current is false if the state names no process or an ended one, so that it must be ignored.
func (r *limiter) observeProcess(now time.Time, s target.State, cold int) (isNew, current bool) {
	if s.Process == 0 || slices.Contains(r.pastProcesses, s.Process) {
		return false, false
	}
	if s.Process == r.process {
		return false, true
	}
	isNew = r.process != 0
	if isNew {
		r.pastProcesses = append(r.pastProcesses, r.process)
		r.pastProcesses = r.pastProcesses[max(len(r.pastProcesses)-maxPastProcesses, 0):]
		r.reset(now, cold, "the target's process is a new one")
	}
	r.process = s.Process
	switch r.leavingProcess {
	case s.Process:
	case unknownProcess:
		r.leavingProcess = s.Process
	default:
		r.leavingProcess = 0
	}
	return isNew, true
}

// markLeaving records that a process is leaving and reports whether that was not known yet.
func (r *limiter) markLeaving(process uint64) bool {
	if slices.Contains(r.pastProcesses, process) || r.leavingProcess == process {
		return false
	}
	r.leavingProcess = process
	r.limitReason = "the target is leaving"
	return true
}

// applyStated lowers the limit to what the target states. It never raises it.
func (r *limiter) applyStated(now time.Time, s target.State, cold int) {
	if s.Phase == target.Cold && r.limit > cold {
		r.reset(now, cold, "the target says that it is cold")
	}
	if s.Limit > 0 && r.limit > s.Limit {
		r.limit, r.loweredAt, r.limitReason = s.Limit, now, "the target states a lower limit"
	}
}

// onSuccess updates the mean response time and raises the limit after a success. A warm target's limit returns to the trusted one, if there is any, and grows by one. A target that states no phase gains one after successesPerStep successes. Requests that were sent before the limit was last lowered don't raise it.
func (r *limiter) onSuccess(s target.State, cold, slots int, sentAt time.Time, elapsed time.Duration) {
	if r.meanResponseTime == 0 {
		r.meanResponseTime = elapsed
	} else {
		r.meanResponseTime += (elapsed - r.meanResponseTime) / meanWeight
	}
	r.phase = s.Phase
	if sentAt.Before(r.loweredAt) {
		return
	}
	switch s.Phase {
	case target.Warm:
		r.limit = max(r.limit, r.trustedLimit) + 1
		r.limitReason = "warm"
	case target.Cold:
		r.limit = cold
	case target.Leaving:
	default:
		r.successes++
		if r.successes >= successesPerStep {
			r.limit, r.successes = r.limit+1, 0
		}
	}
	r.trustedLimit = 0
	r.limit = min(r.limit, slots)
	if s.Limit > 0 {
		r.limit = min(r.limit, s.Limit)
	}
}

// onShed halves the limit when the target refuses a request because it is overloaded.
func (r *limiter) onShed(now time.Time, s target.State) {
	r.limit, r.trustedLimit, r.successes, r.loweredAt = max(r.limit/2, 1), 0, 0, now
	if s.Limit > 0 {
		r.limit = min(r.limit, s.Limit)
	}
	r.limitReason = "the target shed load"
}

// history returns what the next keeper needs to know about the target.
func (r *limiter) history() wire.TargetHistory {
	return wire.TargetHistory{
		Process: r.process,
		Limit:   r.limit,
		Mean:    r.meanResponseTime,
		Leaving: r.leavingProcess,
	}
}

// inherit takes over what another host has learned about the target. Its limit counts only if that host was the keeper until now and handed the target over.
func (r *limiter) inherit(l wire.TargetHistory, handed bool) {
	if l.Process == 0 || slices.Contains(r.pastProcesses, l.Process) {
		return
	}
	if r.process == 0 || handed {
		r.process, r.meanResponseTime = l.Process, l.Mean
	}
	if l.Leaving != 0 {
		r.markLeaving(l.Leaving)
	}
	if handed && l.Limit > 0 {
		r.limit, r.limitReason = l.Limit, "as the last keeper left it"
	}
}
