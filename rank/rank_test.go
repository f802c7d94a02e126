package rank

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const prior = 10 * time.Millisecond

// sendRequests records n requests in sequence, each of which takes took and ends with o. It returns the time after the last.
func sendRequests(r *Estimator, now time.Time, n int, took time.Duration, o Outcome) time.Time {
	for range n {
		f := r.Begin(now)
		now = now.Add(took)
		r.End(f, now, o)
	}
	return now
}

func TestSlowTargetEstimateDecays(t *testing.T) {
	var table Table
	fast, slow := table.Estimator("fast", time.Time{}, prior), table.Estimator("slow", time.Time{}, prior)
	now := sendRequests(fast, start, 10, prior, Answered)
	now = sendRequests(slow, now, 10, 100*time.Millisecond, Answered)
	require.Less(t, fast.Estimate(now, 2), slow.Estimate(now, 2))
	later := now.Add(10 * latencyHalfLife)
	require.Less(t, slow.Estimate(later, 2), 12*time.Millisecond)
}

func TestOverdueRequestMarksATargetAsStalled(t *testing.T) {
	var table Table
	r := table.Estimator("a", time.Time{}, prior)
	now := sendRequests(r, start, 20, prior, Answered)
	before := r.Estimate(now, 2)
	f := r.Begin(now)
	now = now.Add(r.OverdueAfter(now) + time.Millisecond)
	require.Greater(t, r.Estimate(now, 2), before+stallPenalty)
	r.End(f, now, Answered)
	require.Less(t, r.Estimate(now, 2), before+stallPenalty/2)
}

func TestFailuresRaiseTheEstimate(t *testing.T) {
	var table Table
	r := table.Estimator("a", time.Time{}, prior)
	now := sendRequests(r, start, 5, time.Millisecond, Failed)
	require.Greater(t, r.Estimate(now, 2), 8*prior)
	now = sendRequests(r, now, 1, time.Millisecond, Unreachable)
	require.Greater(t, r.Estimate(now, 2), unreachablePenalty)
	require.Less(t, r.Estimate(now.Add(minBackoff), 2), unreachablePenalty)
	now = sendRequests(r, now.Add(minBackoff), 1, time.Millisecond, Unreachable)
	require.Greater(t, r.Estimate(now.Add(minBackoff), 2), unreachablePenalty)
}

func TestRetainDropsOtherTargets(t *testing.T) {
	var table Table
	r := table.Estimator("a", time.Time{}, prior)
	table.Retain(func(id string) bool { return id == "a" })
	require.Same(t, r, table.Estimator("a", time.Time{}, prior))
	table.Retain(func(string) bool { return false })
	require.NotSame(t, r, table.Estimator("a", time.Time{}, prior))
}

// TestRestartedTargetGetsNewEstimator checks that failures and pauses of a target are forgotten when it restarts under the same id.
func TestRestartedTargetGetsNewEstimator(t *testing.T) {
	var table Table
	before := table.Estimator("a", start, prior)
	now := sendRequests(before, start, 5, time.Millisecond, Unreachable)
	require.Greater(t, before.Estimate(now, 2), unreachablePenalty)
	after := table.Estimator("a", start.Add(time.Second), prior)
	require.Less(t, after.Estimate(now, 2), unreachablePenalty)
	require.Same(t, after, table.Estimator("a", start.Add(time.Second), prior))
}

// TestUnresponsiveNeedsSeveralOverdueRequests checks that a target is unresponsive if it hasn't answered for a while, not if it pauses or its work takes long.
func TestUnresponsiveNeedsSeveralOverdueRequests(t *testing.T) {
	var table Table
	r := table.Estimator("a", time.Time{}, prior)
	now := sendRequests(r, start, 10, prior, Answered)
	r.Begin(now)
	second := r.Begin(now)
	require.False(t, r.Unresponsive(now.Add(minSilence)))
	require.True(t, r.Unresponsive(now.Add(minSilence+time.Millisecond)))
	r.End(second, now.Add(minSilence), Failed)
	require.False(t, r.Unresponsive(now.Add(minSilence+time.Millisecond)), "a failure is a response")
	long := table.Estimator("long", time.Time{}, prior)
	now = sendRequests(long, start, 20, 200*time.Millisecond, Answered)
	long.Begin(now)
	long.Begin(now)
	require.False(t, long.Unresponsive(now.Add(time.Second)))
	require.True(t, long.Unresponsive(now.Add(2*time.Second)))
	idle := table.Estimator("idle", time.Time{}, prior)
	idle.Begin(start)
	require.False(t, idle.Unresponsive(start.Add(time.Hour)), "a single request is not enough")
	require.True(t, func() bool { idle.Begin(start); return idle.Unresponsive(start.Add(time.Hour)) }())
}

// TestPauseDoesNotDelayHedges guards against hedges that are sent too late to help for seconds after a target's first pause, because the pause raised its estimated latency.
func TestPauseDoesNotDelayHedges(t *testing.T) {
	const pause, maxOverdue = 200 * time.Millisecond, 60 * time.Millisecond
	for _, tc := range []struct {
		name  string
		after int
		end   Outcome
	}{
		{name: "many samples", after: 20, end: Answered},
		{name: "one sample", after: 1, end: Answered},
		{name: "no samples", after: 0, end: Answered},
		{name: "abandoned requests", after: 20, end: Abandoned},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table Table
			r := table.Estimator("a", time.Time{}, prior)
			now := sendRequests(r, start, tc.after, prior, Answered)
			delayed := []*PendingRequest{r.Begin(now)}
			for range 3 {
				now = now.Add(pause / 4)
				delayed = append(delayed, r.Begin(now))
			}
			now = now.Add(pause / 4)
			for _, f := range delayed {
				r.End(f, now, tc.end)
			}
			require.Less(t, r.OverdueAfter(now), maxOverdue)
		})
	}
}

// TestOverdueTimeFollowsSlowTarget checks that a target that becomes slow is known as slow after a few answers, so that not every request to it is hedged.
func TestOverdueTimeFollowsSlowTarget(t *testing.T) {
	var table Table
	r := table.Estimator("a", time.Time{}, prior)
	now := sendRequests(r, start, 20, prior, Answered)
	now = sendRequests(r, now, 12, 6*prior, Answered)
	require.Greater(t, r.OverdueAfter(now), 6*prior)
}
