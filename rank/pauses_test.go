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

// pausingTarget is a target that pauses regularly.
type pausingTarget struct {
	estimator *Estimator
	phase     time.Duration
}

// delayAt returns by how long a request that is sent at a given time is delayed by a pause.
func (p pausingTarget) delayAt(at time.Time) time.Duration {
	sincePause := (at.Sub(start) + p.phase) % period
	return max(length-sincePause, 0)
}

// simulate sends requests to all targets for a time. It returns the number of requests that a pause delayed without a prediction, and the number that were not sent because a pause was predicted.
func simulate(targets []pausingTarget, from time.Time, d time.Duration) (delayed, avoided int) {
	for at := from; at.Before(from.Add(d)); at = at.Add(20 * time.Millisecond) {
		for _, p := range targets {
			predicted := p.estimator.Estimate(at, 2) > 3*prior/2
			if predicted && p.delayAt(at) > 0 {
				avoided++
				continue
			}
			f := p.estimator.Begin(at)
			if p.delayAt(at) > 0 {
				delayed++
			}
			p.estimator.End(f, at.Add(prior+p.delayAt(at)), Answered)
		}
	}
	return delayed, avoided
}

// TestRegularPausesArePredicted checks that the period and the phases are learned from delayed requests, after which nearly all pauses are predicted.
func TestRegularPausesArePredicted(t *testing.T) {
	var table Table
	var targets []pausingTarget
	for i := range 8 {
		targets = append(targets, pausingTarget{
			estimator: table.Estimator(fmt.Sprint(i), time.Time{}, prior),
			phase:     time.Duration(i) * 370 * time.Millisecond,
		})
	}
	first, _ := simulate(targets, start, 10*time.Second)
	require.Positive(t, first)
	delayed, avoided := simulate(targets, start.Add(10*time.Second), 20*time.Second)
	require.Less(t, delayed, avoided/5)
	got, _ := table.pattern.periodAndLength()
	require.InDelta(t, period.Seconds(), got.Seconds(), 0.02)
}

func TestIrregularStallsAreNotPredicted(t *testing.T) {
	var table Table
	r := table.Estimator("a", time.Time{}, prior)
	now := sendRequests(r, start, 10, prior, Answered)
	for i := range 20 {
		now = now.Add(time.Duration(700+i*i*53) * time.Millisecond)
		now = sendRequests(r, now, 1, 150*time.Millisecond, Answered)
		now = sendRequests(r, now, 5, prior, Answered)
	}
	period, _ := table.pattern.periodAndLength()
	require.Zero(t, period)
	require.Zero(t, r.predictedDelay(now, prior))
}

// TestPredictionsEndWithoutPauses checks that predictions stop once no pause was seen for many periods.
func TestPredictionsEndWithoutPauses(t *testing.T) {
	var table Table
	p := pausingTarget{estimator: table.Estimator("a", time.Time{}, prior)}
	simulate([]pausingTarget{p}, start, 30*time.Second)
	require.True(t, p.estimator.pauses.regular)
	later := p.estimator.pauses.lastEnd.Add((forgetAfterPeriods + 1) * period)
	require.Zero(t, p.estimator.predictedDelay(later, prior))
}
