package rank

import (
	"sync"
	"time"
)

// Targets of one kind pause regularly, each at its own time: after two pauses at a distance that fits the common period, the next ones are foreseen.
const (
	// gapStep is the width of the classes in which distances between pauses are counted.
	gapStep = 25 * time.Millisecond
	// shortestGap and longestGap bound the distances that are looked at.
	shortestGap = 500 * time.Millisecond
	longestGap  = 30 * time.Second
	// leastGaps is the number of distances in a class, and gapShare its part of all, from which it is taken for the period; below dropShare it no longer is.
	leastGaps = 4
	gapShare  = 0.25
	dropShare = 0.1
	// mostGaps is the number of distances after which all counts are halved, so that a changed period is learned.
	mostGaps = 400
	// samePause is the time after the first answer in which others belong to the same pause.
	samePause = 150 * time.Millisecond
	// tolerance is the deviation from the period up to which a pause confirms it.
	tolerance = 45 * time.Millisecond
	// guard is added before and after a foreseen pause.
	guard = 8 * time.Millisecond
	// forgetPeriods is the number of periods without a pause after which none is foreseen.
	forgetPeriods = 12
	// leastHold is the part of the usual length from which a stall counts as a pause; shorter ones may be long work.
	leastHold = 0.3
	// mostMisses is the number of stalls in a row that don't fit after which a target isn't taken as regular any more.
	mostMisses = 3
	// lengthDecay lets the length of pauses shrink with each one, so that one long stall isn't remembered for good.
	lengthDecay = 0.99
)

// rhythm is what the targets' pauses have in common.
type rhythm struct {
	mu     sync.Mutex
	counts map[int64]int
	sums   map[int64]time.Duration
	total  int
	period time.Duration
	length time.Duration
}

// pauses is what is known of one target's pauses.
type pauses struct {
	// last is the first answer after the last pause.
	last time.Time
	// regular says that two fit the common period; misses counts the later ones that don't.
	regular bool
	misses  int
}

// gap counts a distance between two pauses of one target.
func (t *rhythm) gap(d time.Duration) {
	if d < shortestGap || d > longestGap {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts, t.sums = map[int64]int{}, map[int64]time.Duration{}
	}
	if fits(d, t.period) {
		// Pauses between these two were not met.
		d /= max((d+t.period/2)/t.period, 1)
	}
	class := int64(d / gapStep)
	t.counts[class]++
	t.sums[class] += d
	if t.total++; t.total >= mostGaps {
		t.halve()
	}
	t.choose()
}

func (t *rhythm) halve() {
	t.total = 0
	for c, n := range t.counts {
		if n < 2 {
			delete(t.counts, c)
			delete(t.sums, c)
			continue
		}
		t.sums[c] = t.sums[c] / time.Duration(n) * time.Duration(n/2)
		t.counts[c] = n / 2
		t.total += n / 2
	}
}

// choose takes the class with most distances, with its neighbours, for the period; the lock is held.
func (t *rhythm) choose() {
	best, most := int64(-1), 0
	for c := range t.counts {
		if n := t.around(c); n > most || (n == most && c < best) {
			best, most = c, n
		}
	}
	share := float64(most) / float64(t.total)
	switch {
	case most >= leastGaps && share >= gapShare:
		t.period = (t.sums[best-1] + t.sums[best] + t.sums[best+1]) / time.Duration(most)
	case share < dropShare:
		t.period = 0
	}
}

func (t *rhythm) around(class int64) int {
	return t.counts[class-1] + t.counts[class] + t.counts[class+1]
}

// stalled notes how long a request was held up, by a new pause or one that is known.
func (t *rhythm) stalled(d time.Duration, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fresh {
		t.length = time.Duration(lengthDecay * float64(t.length))
	}
	t.length = max(t.length, d)
}

func (t *rhythm) read() (period, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.period, min(t.length, t.period/4)
}

// fits reports whether a distance is a multiple of the period.
func fits(d, period time.Duration) bool {
	if period <= 0 {
		return false
	}
	rest := (d + period/2) % period
	off := rest - period/2
	return off <= tolerance && off >= -tolerance
}

// pause notes an answer that was held up until now; the rank's lock is held.
func (r *Rank) pause(now time.Time, took, mean time.Duration) {
	hold := took - mean
	period, length := r.rhythm.read()
	if hold < time.Duration(leastHold*float64(length)) {
		return
	}
	since := now.Sub(r.pauses.last)
	if !r.pauses.last.IsZero() && since <= samePause {
		r.rhythm.stalled(hold, false)
		return
	}
	r.rhythm.stalled(hold, true)
	if r.pauses.last.IsZero() {
		r.pauses.last = now
		return
	}
	r.rhythm.gap(since)
	switch {
	case fits(since, period):
		r.pauses = pauses{last: now, regular: true}
	case r.pauses.regular && r.pauses.misses < mostMisses:
		// A single stall at another time leaves the rhythm as it was.
		r.pauses.misses++
	default:
		r.pauses = pauses{last: now}
	}
}

// foreseen returns how long a request that is sent now and takes mean would be held up by a pause that is foreseen; the rank's lock is held.
func (r *Rank) foreseen(now time.Time, mean time.Duration) time.Duration {
	if !r.pauses.regular {
		return 0
	}
	period, length := r.rhythm.read()
	since := now.Sub(r.pauses.last)
	if period <= 0 || since > forgetPeriods*period {
		return 0
	}
	left := period - since%period
	if since%period < guard {
		left = guard
	}
	if left-length-guard > mean {
		return 0
	}
	return left + guard
}
