package query

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	shortest   = 10 * time.Microsecond
	longest    = time.Minute
	precision  = 2
	rotation   = 10 * time.Second
	staleAfter = 100 * time.Millisecond
	minSamples = 100
)

// latency holds a service's latencies over the last one to two rotations.
type latency struct {
	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	turned   time.Time
	// cached is the last quantile, read at its time.
	cached map[float64]reading
}

type reading struct {
	value time.Duration
	at    time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(shortest), int64(longest), precision)
}

func newLatency(now time.Time) *latency {
	return &latency{
		current:  newHistogram(),
		previous: newHistogram(),
		turned:   now,
		cached:   map[float64]reading{},
	}
}

func (l *latency) record(now time.Time, took ...time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	for _, d := range took {
		// A value out of bounds is clamped, so that no error can follow.
		l.current.RecordValue(int64(min(max(d, shortest), longest)))
	}
}

func (l *latency) turn(now time.Time) {
	if now.Sub(l.turned) < rotation {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	l.turned = now
}

// quantile returns the quantile q, from 0 to 1, and false while there are too few latencies.
func (l *latency) quantile(now time.Time, q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	if c, known := l.cached[q]; known && now.Sub(c.at) < staleAfter {
		return c.value, true
	}
	both := l.previous
	if l.current.TotalCount() >= minSamples {
		both = l.current
	}
	if both.TotalCount() < minSamples {
		return 0, false
	}
	value := time.Duration(both.ValueAtQuantile(q * 100))
	l.cached[q] = reading{value: value, at: now}
	return value, true
}

const (
	// weight is the share of a new latency in an estimate.
	weight = 0.3
	// halfLife is the time after which half of a high estimate is forgotten, so that a slow target is tried again.
	halfLife = 5 * time.Second
)

// estimate follows one latency: it moves with each sample and, unless it is slow, decays towards the typical one between them.
type estimate struct {
	value float64
	at    time.Time
	// slow says that the latency is far above the typical one; it ends with a sample that isn't, or when the estimate is forgiven.
	slow bool
}

func (e estimate) add(now time.Time, d, typical time.Duration) estimate {
	far := typical > 0 && d > slowRatio*typical
	if e.at.IsZero() || (e.slow && !far) {
		return estimate{value: float64(d), at: now, slow: far}
	}
	old := float64(e.read(now, typical))
	value := old + weight*(float64(d)-old)
	return estimate{
		value: value,
		at:    now,
		slow:  e.slow || (far && value > slowRatio*float64(typical)),
	}
}

// forgive lets a slow estimate decay.
func (e estimate) forgive(now time.Time) estimate {
	return estimate{value: e.value, at: now}
}

func (e estimate) read(now time.Time, typical time.Duration) time.Duration {
	excess := e.value - float64(typical)
	if e.at.IsZero() || e.slow || excess <= 0 {
		return time.Duration(e.value)
	}
	return typical + time.Duration(excess*math.Exp2(-now.Sub(e.at).Seconds()/halfLife.Seconds()))
}
