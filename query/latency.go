package query

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range and precision of the histograms.
	minLatency        = 10 * time.Microsecond
	maxLatency        = time.Minute
	significantDigits = 2
	// rotationPeriod is the time after which the current histogram becomes the previous one.
	rotationPeriod = 10 * time.Second
	// cacheTTL is how long a computed quantile is reused.
	cacheTTL = 100 * time.Millisecond
	// minSamples is the number of samples below which a histogram gives no quantile.
	minSamples = 100
)

// latencyWindow holds the latencies of a service over the last one to two rotation periods.
type latencyWindow struct {
	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt time.Time
	// cached holds the last value of each quantile and when it was computed.
	cached map[float64]cachedQuantile
}

type cachedQuantile struct {
	value  time.Duration
	readAt time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)
}

func newLatencyWindow(now time.Time) *latencyWindow {
	return &latencyWindow{
		current:   newHistogram(),
		previous:  newHistogram(),
		rotatedAt: now,
		cached:    map[float64]cachedQuantile{},
	}
}

func (l *latencyWindow) record(now time.Time, took ...time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	for _, d := range took {
		// RecordValue fails only for values out of range, which are clamped here.
		l.current.RecordValue(int64(min(max(d, minLatency), maxLatency)))
	}
}

// rotate starts a new histogram once the current one is a rotation period old; the lock must be held.
func (l *latencyWindow) rotate(now time.Time) {
	if now.Sub(l.rotatedAt) < rotationPeriod {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	l.rotatedAt = now
}

// quantile returns the quantile q, from 0 to 1, or false if neither histogram has enough samples.
func (l *latencyWindow) quantile(now time.Time, q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if c, known := l.cached[q]; known && now.Sub(c.readAt) < cacheTTL {
		return c.value, true
	}
	histogram := l.previous
	if l.current.TotalCount() >= minSamples {
		histogram = l.current
	}
	if histogram.TotalCount() < minSamples {
		return 0, false
	}
	value := time.Duration(histogram.ValueAtQuantile(q * 100))
	l.cached[q] = cachedQuantile{value: value, readAt: now}
	return value, true
}

const (
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.3
	// halfLife is the time in which an estimate's excess over the typical latency halves, so that a target with a high
	// estimate is tried again.
	halfLife = 5 * time.Second
)

// latencyEstimate is an exponentially weighted moving average of one latency. Between samples it decays towards the
// service's typical latency, unless it is marked slow.
type latencyEstimate struct {
	value     float64
	updatedAt time.Time
	// slow says that the latency is far above the typical one. A sample that isn't, or a call of withoutSlow, clears it.
	slow bool
}

// withSample returns the estimate updated with the sample d.
func (e latencyEstimate) withSample(now time.Time, d, typical time.Duration) latencyEstimate {
	farAboveTypical := typical > 0 && d > slowRatio*typical
	if e.updatedAt.IsZero() || (e.slow && !farAboveTypical) {
		return latencyEstimate{value: float64(d), updatedAt: now, slow: farAboveTypical}
	}
	old := float64(e.valueAt(now, typical))
	value := old + sampleWeight*(float64(d)-old)
	return latencyEstimate{
		value:     value,
		updatedAt: now,
		slow:      e.slow || (farAboveTypical && value > slowRatio*float64(typical)),
	}
}

// withoutSlow returns the estimate with the slow mark cleared, so that it decays from now on.
func (e latencyEstimate) withoutSlow(now time.Time) latencyEstimate {
	return latencyEstimate{value: e.value, updatedAt: now}
}

// valueAt returns the estimate at a given time, with its decay towards the typical latency.
func (e latencyEstimate) valueAt(now time.Time, typical time.Duration) time.Duration {
	excess := e.value - float64(typical)
	if e.updatedAt.IsZero() || e.slow || excess <= 0 {
		return time.Duration(e.value)
	}
	return typical + time.Duration(excess*math.Exp2(-now.Sub(e.updatedAt).Seconds()/halfLife.Seconds()))
}
