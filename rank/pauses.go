package rank

import (
	"sync"
	"time"
)

// Targets of one kind pause regularly with a common period, each at its own phase. After two pauses at an interval that fits the period, the next pauses of a target are predicted.
const (
	// intervalStep is the width of the histogram buckets in which intervals between pauses are counted.
	intervalStep = 25 * time.Millisecond
	// minInterval and maxInterval bound the intervals that are counted.
	minInterval = 500 * time.Millisecond
	maxInterval = 30 * time.Second
	// The period is taken from a bucket and its two neighbours if they hold at least minIntervalCount intervals and at least the fraction acceptFraction of all. If no bucket reaches the fraction dropPeriodFraction, the period is unknown again.
	minIntervalCount   = 4
	acceptFraction     = 0.25
	dropPeriodFraction = 0.1
	// maxIntervalCount is the number of intervals after which all counts are halved, so that a changed period is learned.
	maxIntervalCount = 400
	// samePauseWindow is the time after the first delayed answer in which others belong to the same pause.
	samePauseWindow = 150 * time.Millisecond
	// periodTolerance is the deviation from a multiple of the period up to which a pause confirms it.
	periodTolerance = 45 * time.Millisecond
	// pauseMargin is added before and after a predicted pause.
	pauseMargin = 8 * time.Millisecond
	// forgetAfterPeriods is the number of periods without a pause after which none is predicted.
	forgetAfterPeriods = 12
	// minStallFraction is the fraction of the usual pause length from which a stall counts as a pause; shorter ones may be long work.
	minStallFraction = 0.3
	// maxMisfits is the number of stalls in a row off the period after which a target's pauses no longer count as regular.
	maxMisfits = 3
	// pauseLengthDecay shrinks the known pause length with each pause, so that a single long stall is forgotten over time.
	pauseLengthDecay = 0.99
)

// pausePattern learns the period and the length that the pauses of all targets have in common.
type pausePattern struct {
	mu sync.Mutex
	// counts and sums hold the number and the sum of the intervals in each bucket; total is the number of all.
	counts map[int64]int
	sums   map[int64]time.Duration
	total  int
	period time.Duration
	length time.Duration
}

// pauseHistory holds the state of one target's pauses.
type pauseHistory struct {
	// lastEnd is when the first answer after the last pause came, other than the pauses counted in misfits.
	lastEnd time.Time
	// regular is set once two pauses fit the common period; misfits counts the later pauses in a row that don't.
	regular bool
	misfits int
}

// addInterval counts an interval between two pauses of one target.
func (p *pausePattern) addInterval(d time.Duration) {
	if d < minInterval || d > maxInterval {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts, p.sums = map[int64]int{}, map[int64]time.Duration{}
	}
	if matchesPeriod(d, p.period) {
		// The interval may span several periods, since pauses without a request in flight aren't seen.
		d /= max((d+p.period/2)/p.period, 1)
	}
	bucket := int64(d / intervalStep)
	p.counts[bucket]++
	p.sums[bucket] += d
	if p.total++; p.total >= maxIntervalCount {
		p.halveCounts()
	}
	p.updatePeriod()
}

// halveCounts halves the number of intervals in each bucket; the lock must be held.
func (p *pausePattern) halveCounts() {
	p.total = 0
	for c, n := range p.counts {
		if n < 2 {
			delete(p.counts, c)
			delete(p.sums, c)
			continue
		}
		p.sums[c] = p.sums[c] / time.Duration(n) * time.Duration(n/2)
		p.counts[c] = n / 2
		p.total += n / 2
	}
}

// updatePeriod sets the period to the mean interval of the three adjacent buckets with most intervals if these are enough, and to zero if they are fewer than dropPeriodFraction of all; in between the period stays. The lock must be held.
func (p *pausePattern) updatePeriod() {
	best, bestCount := int64(-1), 0
	for c := range p.counts {
		if n := p.countAround(c); n > bestCount || (n == bestCount && c < best) {
			best, bestCount = c, n
		}
	}
	fraction := float64(bestCount) / float64(p.total)
	switch {
	case bestCount >= minIntervalCount && fraction >= acceptFraction:
		p.period = (p.sums[best-1] + p.sums[best] + p.sums[best+1]) / time.Duration(bestCount)
	case fraction < dropPeriodFraction:
		p.period = 0
	}
}

// countAround returns the number of intervals in a bucket and its two neighbours; the lock must be held.
func (p *pausePattern) countAround(bucket int64) int {
	return p.counts[bucket-1] + p.counts[bucket] + p.counts[bucket+1]
}

// addStall records how long a request was delayed by a pause; first is set for the first request of a pause.
func (p *pausePattern) addStall(d time.Duration, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first {
		p.length = time.Duration(pauseLengthDecay * float64(p.length))
	}
	p.length = max(p.length, d)
}

// periodAndLength returns the common period, zero where unknown, and the pause length, at most a quarter of the period.
func (p *pausePattern) periodAndLength() (period, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.period, min(p.length, p.period/4)
}

// matchesPeriod reports whether an interval is close to a multiple of the period.
func matchesPeriod(d, period time.Duration) bool {
	if period <= 0 {
		return false
	}
	remainder := (d + period/2) % period
	deviation := remainder - period/2
	return deviation <= periodTolerance && deviation >= -periodTolerance
}

// recordPause records a pause of the target from an answer that came late, at now and after took instead of the usual mean, unless the delay is too short for a pause; the estimator's lock must be held.
func (r *Estimator) recordPause(now time.Time, took, mean time.Duration) {
	delay := took - mean
	period, length := r.pattern.periodAndLength()
	if delay < time.Duration(minStallFraction*float64(length)) {
		return
	}
	interval := now.Sub(r.pauses.lastEnd)
	if !r.pauses.lastEnd.IsZero() && interval <= samePauseWindow {
		r.pattern.addStall(delay, false)
		return
	}
	r.pattern.addStall(delay, true)
	if r.pauses.lastEnd.IsZero() {
		r.pauses.lastEnd = now
		return
	}
	r.pattern.addInterval(interval)
	switch {
	case matchesPeriod(interval, period):
		r.pauses = pauseHistory{lastEnd: now, regular: true}
	case r.pauses.regular && r.pauses.misfits < maxMisfits:
		// A few stalls off the period don't end the prediction.
		r.pauses.misfits++
	default:
		r.pauses = pauseHistory{lastEnd: now}
	}
}

// predictedDelay returns the time until the end of the predicted pause if a request that is sent now and takes mean would run into it, or else zero; the estimator's lock must be held.
func (r *Estimator) predictedDelay(now time.Time, mean time.Duration) time.Duration {
	if !r.pauses.regular {
		return 0
	}
	period, length := r.pattern.periodAndLength()
	interval := now.Sub(r.pauses.lastEnd)
	if period <= 0 || interval > forgetAfterPeriods*period {
		return 0
	}
	untilPauseEnd := period - interval%period
	if interval%period < pauseMargin {
		// The pause that was predicted to have just ended may last a little longer.
		untilPauseEnd = pauseMargin
	}
	if untilPauseEnd-length-pauseMargin > mean {
		return 0
	}
	return untilPauseEnd + pauseMargin
}
