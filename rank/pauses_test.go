package rank

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	period = 3 * time.Second
	length = 120 * time.Millisecond
)

// pausing is a target that pauses regularly.
type pausing struct {
	rank  *Rank
	phase time.Duration
}

// held returns how long a request that begins at a time is held up.
func (p pausing) held(at time.Time) time.Duration {
	in := (at.Sub(start) + p.phase) % period
	return max(length-in, 0)
}

// play sends requests to all targets for a time and returns the number that were held up among those that the ranks did not warn of, and among all.
func play(targets []pausing, from time.Time, d time.Duration) (surprised, warned int) {
	for at := from; at.Before(from.Add(d)); at = at.Add(20 * time.Millisecond) {
		for _, p := range targets {
			foresaw := p.rank.Estimate(at, 2) > 3*prior/2
			if foresaw && p.held(at) > 0 {
				warned++
				continue
			}
			f := p.rank.Begin(at)
			if p.held(at) > 0 {
				surprised++
			}
			p.rank.End(f, at.Add(prior+p.held(at)), Answered)
		}
	}
	return surprised, warned
}

// TestRegularPausesAreForeseen learns period and phases from requests that were held up, and then warns of nearly all pauses.
func TestRegularPausesAreForeseen(t *testing.T) {
	var table Table
	var targets []pausing
	for i := range 8 {
		targets = append(targets, pausing{
			rank:  table.Of(fmt.Sprint(i), time.Time{}, prior),
			phase: time.Duration(i) * 370 * time.Millisecond,
		})
	}
	learning, _ := play(targets, start, 10*time.Second)
	require.Positive(t, learning)
	surprised, warned := play(targets, start.Add(10*time.Second), 20*time.Second)
	require.Less(t, surprised, warned/5)
	got, _ := table.rhythm.read()
	require.InDelta(t, period.Seconds(), got.Seconds(), 0.02)
}

func TestIrregularStallsAreNotForeseen(t *testing.T) {
	var table Table
	r := table.Of("a", time.Time{}, prior)
	now := feed(r, start, 10, prior, Answered)
	for i := range 20 {
		now = now.Add(time.Duration(700+i*i*53) * time.Millisecond)
		now = feed(r, now, 1, 150*time.Millisecond, Answered)
		now = feed(r, now, 5, prior, Answered)
	}
	period, _ := table.rhythm.read()
	require.Zero(t, period)
	require.Zero(t, r.foreseen(now, prior))
}

// TestPausesThatEndAreForgotten stops warning once no pause was seen for many periods.
func TestPausesThatEndAreForgotten(t *testing.T) {
	var table Table
	p := pausing{rank: table.Of("a", time.Time{}, prior)}
	play([]pausing{p}, start, 30*time.Second)
	require.True(t, p.rank.pauses.regular)
	later := p.rank.pauses.last.Add((forgetPeriods + 1) * period)
	require.Zero(t, p.rank.foreseen(later, prior))
}
