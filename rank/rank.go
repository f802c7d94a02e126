package rank

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the moving average, which covers about the last five.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which the excess of a target's average latency over its prior halves, so that a slow target is tried again.
	latencyHalfLife = 4 * time.Second
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate halves without new outcomes.
	failureHalfLife = 2 * time.Second
	// stallPenalty is added to the estimate of a target with an overdue request. It is the rest of a typical pause.
	stallPenalty = 120 * time.Millisecond
	// unreachablePenalty is added to the estimate of a target during its backoff after it couldn't be reached, so that it is chosen last.
	unreachablePenalty = 5 * time.Second
	// minBackoff and maxBackoff bound the time for which an unreachable target is avoided.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxPriorDeviation caps the initial latency deviation of a target without samples. Deviation comes from the work at the target; the network distance adds none.
	maxPriorDeviation = 8 * time.Millisecond
	// overdueDeviations is the number of mean deviations above the average latency from which a request is overdue.
	overdueDeviations = 3
	// maxPause bounds the length of a pause. If requests stay slow for longer, the target itself is slow.
	maxPause = 250 * time.Millisecond
	// minSamples is the number of latencies that must be known before one far above the average counts as a pause.
	minSamples = 3
	// A target counts as unresponsive after minSilence without any answer, or after silenceLatencies times its usual latency if that is longer. This covers pauses, and work that takes several times as long as usual.
	minSilence       = 400 * time.Millisecond
	silenceLatencies = 8
	// minUnanswered is the number of unanswered requests from which a target can count as unresponsive.
	minUnanswered = 2
	// overdueJitter is added to the age from which a request is overdue, for the jitter of the processor and the network.
	overdueJitter = 6 * time.Millisecond
)

// PendingRequest is a request in flight at a target.
type PendingRequest struct {
	start time.Time
}

// Estimator estimates the latency of one target from its answers and failures.
type Estimator struct {
	// startedAt is when the target's process started, zero where unknown; prior is the latency assumed before any sample.
	startedAt time.Time
	prior     time.Duration

	mu sync.Mutex
	// mean and dev are the moving averages of the latency and of its absolute deviation.
	mean, dev float64
	updatedAt time.Time
	samples   int
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate   float64
	failureRateAt time.Time
	// unreachableUntil is the end of the backoff during which the target is avoided; afterwards requests are sent to it again.
	unreachableUntil time.Time
	backoff          time.Duration
	inFlight         map[*PendingRequest]struct{}
	// reserved counts the requests that are permitted and not sent yet.
	reserved int
	// unansweredSince is the time since which requests have been without an answer: the last answer if others were in flight then, otherwise the start of the first request after it; zero where all are answered. unansweredCount counts the requests since then that ended without an answer.
	unansweredSince time.Time
	unansweredCount int
	// usualLatency is the moving average of the latency of complete answers only.
	usualLatency float64
	// stalledSince is the start of the first late request since the last one on time, zero where there was none.
	stalledSince time.Time
	pattern      *pausePattern
	pauses       pauseHistory
}

// Table holds the estimators by target id, and the pause pattern that the targets share.
type Table struct {
	estimators sync.Map
	pattern    pausePattern
}

// Estimator returns the estimator of a target whose process started at startedAt, zero where unknown; prior is the latency assumed before any sample.
func (t *Table) Estimator(id string, startedAt time.Time, prior time.Duration) *Estimator {
	known, found := t.estimators.Load(id)
	if found && known.(*Estimator).startedAt.Equal(startedAt) {
		return known.(*Estimator)
	}
	fresh := &Estimator{
		startedAt:    startedAt,
		prior:        prior,
		mean:         float64(prior),
		usualLatency: float64(prior),
		dev:          float64(min(prior/2, maxPriorDeviation)),
		inFlight:     map[*PendingRequest]struct{}{},
		pattern:      &t.pattern,
	}
	if found {
		// The samples of an earlier process don't apply to this one.
		if t.estimators.CompareAndSwap(id, known, fresh) {
			return fresh
		}
		return t.Estimator(id, startedAt, prior)
	}
	r, _ := t.estimators.LoadOrStore(id, fresh)
	return r.(*Estimator)
}

// ForgetSilence lets all targets be asked again that couldn't be reached or haven't answered.
func (t *Table) ForgetSilence() {
	t.estimators.Range(func(_, r any) bool {
		r.(*Estimator).forgetSilence()
		return true
	})
}

// Retain deletes the estimators of the targets for which known returns false.
func (t *Table) Retain(known func(id string) bool) {
	t.estimators.Range(func(id, _ any) bool {
		if !known(id.(string)) {
			t.estimators.Delete(id)
		}
		return true
	})
}

// Reserve permits one more request unless limit requests are in flight or reserved already. The reservation ends with BeginReserved or Release.
func (r *Estimator) Reserve(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight)+r.reserved >= limit {
		return false
	}
	r.reserved++
	return true
}

// Release returns a reservation for which nothing was sent.
func (r *Estimator) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved--
}

// BeginReserved records a request that is sent under a reservation.
func (r *Estimator) BeginReserved(now time.Time) *PendingRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved--
	return r.beginLocked(now)
}

// Begin records a request that is sent without a reservation.
func (r *Estimator) Begin(now time.Time) *PendingRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beginLocked(now)
}

// beginLocked records a request that is sent at now; the lock must be held.
func (r *Estimator) beginLocked(now time.Time) *PendingRequest {
	f := &PendingRequest{start: now}
	r.inFlight[f] = struct{}{}
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	return f
}

// Outcome is the way in which a request ended at a target.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered is a request that got a complete answer.
	Answered Outcome = iota
	// Failed is a request that got an answer other than success, or whose connection was closed.
	Failed
	// Unanswered is a request that timed out without any response.
	Unanswered
	// Unreachable is a request to a target that can't be reached or whose address now belongs to another target.
	Unreachable
	// Abandoned is a request whose result is no longer needed.
	Abandoned
)

// End records how a request ended and updates the estimates.
func (r *Estimator) End(f *PendingRequest, now time.Time, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, f)
	took := now.Sub(f.start)
	switch o {
	case Answered, Failed:
		r.unansweredSince, r.unansweredCount = time.Time{}, 0
		if len(r.inFlight) > 0 {
			r.unansweredSince = now
		}
	default:
		r.unansweredCount++
	}
	switch o {
	case Answered:
		if took > r.overdueLocked(now) && r.samples >= minSamples {
			r.recordPause(now, took, time.Duration(r.mean))
		}
		sample, counts := r.classifyLatency(f.start, now, took)
		if counts {
			r.usualLatency += latencyWeight * (float64(sample) - r.usualLatency)
		}
		// The time that a regular pause adds says nothing about the latency between pauses.
		if counts && (!r.pauses.regular || now.Sub(r.pauses.lastEnd) > samePauseWindow) {
			r.recordLatency(now, sample)
		}
		r.recordOutcome(now, 0)
		r.unreachableUntil, r.backoff = time.Time{}, 0
	case Failed, Unanswered:
		r.recordOutcome(now, 1)
	case Unreachable:
		r.recordOutcome(now, 1)
		r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
		r.unreachableUntil = now.Add(r.backoff)
	case Abandoned:
		if sample, counts := r.classifyLatency(f.start, now, took); counts && float64(took) > r.mean {
			r.recordLatency(now, sample)
		}
	}
}

// classifyLatency returns the sample that a measured latency yields for the target's usual latency, and whether it counts at all; the lock must be held.
//
// A pause delays all requests at the target. Counting each would make the target look slow and its hedges late for seconds, so only the first counts, and only as an overdue answer.
func (r *Estimator) classifyLatency(start, now time.Time, took time.Duration) (sample time.Duration, counts bool) {
	overdue := r.overdueLocked(now)
	first := r.stalledSince.IsZero()
	switch {
	case took <= overdue:
		r.stalledSince = time.Time{}
		return took, true
	case first:
		r.stalledSince = start
		return overdue, r.samples > 0
	case start.Sub(r.stalledSince) <= maxPause:
		return 0, false
	default:
		return took, true
	}
}

// recordLatency adds a sample to the moving averages; the lock must be held.
func (r *Estimator) recordLatency(now time.Time, took time.Duration) {
	d := float64(took)
	if r.samples == 0 {
		r.mean = d
	} else {
		mean := r.decayedMean(now)
		r.dev += latencyWeight * (math.Abs(d-mean) - r.dev)
		r.mean = mean + latencyWeight*(d-mean)
	}
	r.samples++
	r.updatedAt = now
}

// decayedMean returns the average latency, whose excess over the prior decays since the last sample; the lock must be held.
func (r *Estimator) decayedMean(now time.Time) float64 {
	excess := r.mean - float64(r.prior)
	if r.updatedAt.IsZero() || excess <= 0 {
		return r.mean
	}
	return float64(r.prior) + excess*math.Exp2(-now.Sub(r.updatedAt).Seconds()/latencyHalfLife.Seconds())
}

// recordOutcome adds an outcome to the failure rate, 1 for a failure and 0 for a success; the lock must be held.
func (r *Estimator) recordOutcome(now time.Time, value float64) {
	f := r.decayedFailureRate(now)
	r.failureRate = f + failureWeight*(value-f)
	r.failureRateAt = now
}

// decayedFailureRate returns the failure rate after its decay since the last outcome; the lock must be held.
func (r *Estimator) decayedFailureRate(now time.Time) float64 {
	return r.failureRate * math.Exp2(-now.Sub(r.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// overdueLocked returns the age from which a request is overdue; the lock must be held.
func (r *Estimator) overdueLocked(now time.Time) time.Duration {
	return time.Duration(r.decayedMean(now)+overdueDeviations*r.dev) + overdueJitter
}

// OverdueAfter returns the age from which a request at the target is overdue.
func (r *Estimator) OverdueAfter(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overdueLocked(now)
}

// Estimate returns the expected latency of a request that is sent now, with penalties for a target that seems stalled, fails or can't be reached; slots is the number of requests that the target processes at once.
func (r *Estimator) Estimate(now time.Time, slots int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := r.decayedMean(now)
	estimate := mean*(1+float64(len(r.inFlight))/float64(max(slots, 1))) + float64(r.predictedDelay(now, time.Duration(mean)))
	estimate += r.decayedFailureRate(now) * max(4*mean, float64(stallPenalty))
	overdue := r.overdueLocked(now)
	for f := range r.inFlight {
		if now.Sub(f.start) > overdue {
			estimate += float64(stallPenalty)
			break
		}
	}
	if now.Before(r.unreachableUntil) {
		estimate += float64(unreachablePenalty)
	}
	return time.Duration(estimate)
}

// Unresponsive reports whether the target can't be reached or hasn't answered for so long that no answer is to be expected.
func (r *Estimator) Unresponsive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.unreachableUntil) {
		return true
	}
	if r.unansweredSince.IsZero() || r.unansweredCount+len(r.inFlight) < minUnanswered {
		return false
	}
	return now.Sub(r.unansweredSince) > max(minSilence, time.Duration(silenceLatencies*r.usualLatency))
}

// forgetSilence forgets failures to reach the target and requests without an answer.
func (r *Estimator) forgetSilence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachableUntil, r.backoff = time.Time{}, 0
	r.unansweredSince, r.unansweredCount = time.Time{}, 0
	r.failureRate = 0
}

// UsualLatency returns the usual latency of the target's complete answers, without the decay and penalties that pauses and failures bring into estimates.
func (r *Estimator) UsualLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.usualLatency)
}

// Outstanding returns the number of requests in flight or reserved at the target.
func (r *Estimator) Outstanding() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inFlight) + r.reserved
}
