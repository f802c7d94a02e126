package keeper

import (
	"slices"
	"time"

	"kingcupcross/target"
	"kingcupcross/wire"
)

const (
	// unstatedRun is the number of successes after which the limit of a target that states none grows by one.
	unstatedRun = 8
	// meanWeight is the weight of the older mean when a new time comes in.
	meanWeight = 8
	// pastProcesses is the number of ended processes that are remembered, so that late news of them has no effect.
	pastProcesses = 4
)

// ramp holds what has been learned of a target and the limit that follows from it.
type ramp struct {
	process uint64
	past    []uint64
	phase   target.Phase
	limit   int
	// trusted is the limit before a doubt arose whether the target is still the same process; zero means no doubt.
	trusted int
	// fell is when the limit last fell; only requests that were sent later can raise it.
	fell time.Time
	wins int
	mean time.Duration
	// leaving is the process that gave a sign of leaving, or zero; unnamed stands for one whose incarnation is not known.
	leaving uint64
	why     string
}

// unnamed is the sign of leaving of a process whose incarnation is not known.
const unnamed = ^uint64(0)

// restart makes the target cold, as it is when nothing is known of it.
func (r *ramp) restart(now time.Time, cold int, why string) {
	r.limit, r.trusted, r.wins, r.fell, r.why = cold, 0, 0, now, why
}

// doubt lowers the limit to that of a cold target until a reply tells that the process is still the same; it reports whether it did.
func (r *ramp) doubt(now time.Time, cold int, why string) bool {
	if r.limit <= cold {
		return false
	}
	r.trusted = max(r.trusted, r.limit)
	r.limit, r.wins, r.fell, r.why = cold, 0, now, why
	return true
}

// meet notes the process that a state names and reports whether it is a new one; known says whether the state counts at all.
func (r *ramp) meet(now time.Time, s target.State, cold int) (fresh, known bool) {
	if s.Process == 0 || slices.Contains(r.past, s.Process) {
		return false, false
	}
	if s.Process == r.process {
		return false, true
	}
	fresh = r.process != 0
	if fresh {
		r.past = append(r.past, r.process)
		r.past = r.past[max(len(r.past)-pastProcesses, 0):]
		r.restart(now, cold, "the target's process is a new one")
	}
	r.process = s.Process
	switch r.leaving {
	case s.Process:
	case unnamed:
		r.leaving = s.Process
	default:
		r.leaving = 0
	}
	return fresh, true
}

// sign notes a sign of leaving and reports whether it is the first.
func (r *ramp) sign(process uint64) bool {
	if slices.Contains(r.past, process) || r.leaving == process {
		return false
	}
	r.leaving = process
	r.why = "the target is leaving"
	return true
}

// lower applies a limit that the target states; it never raises.
func (r *ramp) lower(now time.Time, s target.State, cold int) {
	if s.Phase == target.Cold && r.limit > cold {
		r.restart(now, cold, "the target says that it is cold")
	}
	if s.Limit > 0 && r.limit > s.Limit {
		r.limit, r.fell, r.why = s.Limit, now, "the target states a lower limit"
	}
}

// win raises the limit after a success of a request that was sent at a time: to the trusted limit where the process is the same, by one where the target says it is warm, seldom where it says nothing.
func (r *ramp) win(s target.State, cold, slots int, sent time.Time, took time.Duration) {
	if r.mean == 0 {
		r.mean = took
	} else {
		r.mean += (took - r.mean) / meanWeight
	}
	r.phase = s.Phase
	if sent.Before(r.fell) {
		return
	}
	switch s.Phase {
	case target.Warm:
		r.limit = max(r.limit, r.trusted) + 1
		r.why = "warm"
	case target.Cold:
		r.limit = cold
	case target.Leaving:
	default:
		r.wins++
		if r.wins >= unstatedRun {
			r.limit, r.wins = r.limit+1, 0
		}
	}
	r.trusted = 0
	r.limit = min(r.limit, slots)
	if s.Limit > 0 {
		r.limit = min(r.limit, s.Limit)
	}
}

// shed lowers the limit at once when the target refuses because it is full.
func (r *ramp) shed(now time.Time, s target.State) {
	r.limit, r.trusted, r.wins, r.fell = max(r.limit/2, 1), 0, 0, now
	if s.Limit > 0 {
		r.limit = min(r.limit, s.Limit)
	}
	r.why = "the target shed load"
}

// learned returns what the next keeper is to know.
func (r *ramp) learned() wire.TargetHistory {
	return wire.TargetHistory{
		Process: r.process,
		Limit:   r.limit,
		Mean:    r.mean,
		Leaving: r.leaving,
	}
}

// inherit takes over what another keeper has learned; its limit counts only where it was the keeper until now.
func (r *ramp) inherit(l wire.TargetHistory, handed bool) {
	if l.Process == 0 || slices.Contains(r.past, l.Process) {
		return
	}
	if r.process == 0 || handed {
		r.process, r.mean = l.Process, l.Mean
	}
	if l.Leaving != 0 {
		r.sign(l.Leaving)
	}
	if handed && l.Limit > 0 {
		r.limit, r.why = l.Limit, "as the last keeper left it"
	}
}
