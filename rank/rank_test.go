package rank

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const prior = 10 * time.Millisecond

func feed(r *Rank, now time.Time, n int, took time.Duration, o Outcome) time.Time {
	for range n {
		f := r.Begin(now)
		now = now.Add(took)
		r.End(f, now, o)
	}
	return now
}

func TestSlowTargetsComeLaterAndAreTriedAgain(t *testing.T) {
	var table Table
	fast, slow := table.Of("fast", time.Time{}, prior), table.Of("slow", time.Time{}, prior)
	now := feed(fast, start, 10, prior, Answered)
	now = feed(slow, now, 10, 100*time.Millisecond, Answered)
	require.Less(t, fast.Estimate(now, 2), slow.Estimate(now, 2))
	later := now.Add(10 * halfLife)
	require.Less(t, slow.Estimate(later, 2), 12*time.Millisecond)
}

func TestOverdueRequestMarksATargetAsStalled(t *testing.T) {
	var table Table
	r := table.Of("a", time.Time{}, prior)
	now := feed(r, start, 20, prior, Answered)
	calm := r.Estimate(now, 2)
	f := r.Begin(now)
	now = now.Add(r.Overdue(now) + time.Millisecond)
	require.Greater(t, r.Estimate(now, 2), calm+stallPenalty)
	r.End(f, now, Answered)
	require.Less(t, r.Estimate(now, 2), calm+stallPenalty/2)
}

func TestFailuresAndDeadTargets(t *testing.T) {
	var table Table
	r := table.Of("a", time.Time{}, prior)
	now := feed(r, start, 5, time.Millisecond, Failed)
	require.Greater(t, r.Estimate(now, 2), 8*prior)
	now = feed(r, now, 1, time.Millisecond, Dead)
	require.Greater(t, r.Estimate(now, 2), deadPenalty)
	require.Less(t, r.Estimate(now.Add(deadFirst), 2), deadPenalty)
	now = feed(r, now.Add(deadFirst), 1, time.Millisecond, Dead)
	require.Greater(t, r.Estimate(now.Add(deadFirst), 2), deadPenalty)
}

func TestKeepForgets(t *testing.T) {
	var table Table
	r := table.Of("a", time.Time{}, prior)
	table.Keep(func(id string) bool { return id == "a" })
	require.Same(t, r, table.Of("a", time.Time{}, prior))
	table.Keep(func(string) bool { return false })
	require.NotSame(t, r, table.Of("a", time.Time{}, prior))
}

// TestRestartedTargetIsNotTheOneBefore forgets failures and pauses of a target that started again under its id.
func TestRestartedTargetIsNotTheOneBefore(t *testing.T) {
	var table Table
	before := table.Of("a", start, prior)
	now := feed(before, start, 5, time.Millisecond, Dead)
	require.Greater(t, before.Estimate(now, 2), deadPenalty)
	after := table.Of("a", start.Add(time.Second), prior)
	require.Less(t, after.Estimate(now, 2), deadPenalty)
	require.Same(t, after, table.Of("a", start.Add(time.Second), prior))
}

// TestSilentTarget is one that hasn't answered for a while, not one that pauses or works long.
func TestSilentTarget(t *testing.T) {
	var table Table
	r := table.Of("a", time.Time{}, prior)
	now := feed(r, start, 10, prior, Answered)
	r.Begin(now)
	paused := r.Begin(now)
	require.False(t, r.Silent(now.Add(silentLeast)))
	require.True(t, r.Silent(now.Add(silentLeast+time.Millisecond)))
	r.End(paused, now.Add(silentLeast), Failed)
	require.False(t, r.Silent(now.Add(silentLeast+time.Millisecond)), "a failure is a sign of life")
	long := table.Of("long", time.Time{}, prior)
	now = feed(long, start, 20, 200*time.Millisecond, Answered)
	long.Begin(now)
	long.Begin(now)
	require.False(t, long.Silent(now.Add(time.Second)))
	require.True(t, long.Silent(now.Add(2*time.Second)))
	idle := table.Of("idle", time.Time{}, prior)
	idle.Begin(start)
	require.False(t, idle.Silent(start.Add(time.Hour)), "one request proves nothing")
	require.True(t, func() bool { idle.Begin(start); return idle.Silent(start.Add(time.Hour)) }())
}

// TestPauseDoesNotDelayHedges guards against hedges that are sent too late to help for seconds after a target has paused once, before its pauses are known to be regular.
func TestPauseDoesNotDelayHedges(t *testing.T) {
	const pause, tolerable = 200 * time.Millisecond, 60 * time.Millisecond
	for _, one := range []struct {
		name  string
		after int
		end   Outcome
	}{
		{name: "long known", after: 20, end: Answered},
		{name: "hardly known", after: 1, end: Answered},
		{name: "not known", after: 0, end: Answered},
		{name: "given up", after: 20, end: Dropped},
	} {
		t.Run(one.name, func(t *testing.T) {
			var table Table
			r := table.Of("a", time.Time{}, prior)
			now := feed(r, start, one.after, prior, Answered)
			held := []*Flight{r.Begin(now)}
			for range 3 {
				now = now.Add(pause / 4)
				held = append(held, r.Begin(now))
			}
			now = now.Add(pause / 4)
			for _, f := range held {
				r.End(f, now, one.end)
			}
			require.Less(t, r.Overdue(now), tolerable)
		})
	}
}

// TestTargetThatTurnsSlow is taken for slow after a few answers, so that not every request to it is hedged.
func TestTargetThatTurnsSlow(t *testing.T) {
	var table Table
	r := table.Of("a", time.Time{}, prior)
	now := feed(r, start, 20, prior, Answered)
	now = feed(r, now, 12, 6*prior, Answered)
	require.Greater(t, r.Overdue(now), 6*prior)
}
