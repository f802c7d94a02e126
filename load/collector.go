package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupcross/units"
)

// Range and precision of the latency histograms; values outside the range are recorded as the nearest bound.
const (
	minLatency        = time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency/time.Microsecond), int64(maxLatency/time.Microsecond), significantDigits)
}

// recordLatency adds a latency to a histogram, clamped to its range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, minLatency), maxLatency)
	if err := h.RecordValue(int64(d / time.Microsecond)); err != nil {
		// The value was clamped, so this is reached only if the histogram's range doesn't match the bounds.
		panic(err)
	}
}

// collector accumulates the outcomes of one run.
type collector struct {
	mu             sync.Mutex
	arrivals       int
	sent           int
	finished       int
	lost           int
	wrong          int
	refusals       map[string]int
	answerLatency  *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	// coverageSum is the sum of the coverage of all answers, from which the report takes the mean.
	coverageSum    float64
	lowestCoverage float64
	wholeAnswers   int
	// loadShards, firstSubRequests and extraSubRequests sum the shards, the planned and the additional sub-requests of those answers that report their sub-requests.
	loadShards       int
	firstSubRequests int
	extraSubRequests int
}

// newCollector returns a collector for a run with the given number of arrivals.
func newCollector(arrivals int) *collector {
	return &collector{
		arrivals:       arrivals,
		refusals:       map[string]int{},
		answerLatency:  newHistogram(),
		refusalLatency: newHistogram(),
		lowestCoverage: 1,
	}
}

// recordSent counts a query that is about to be sent.
func (c *collector) recordSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

// recordOutcome counts a finished query. Latencies of answers and of refusals are recorded separately; lost queries have none.
func (c *collector) recordOutcome(o Outcome, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
	switch {
	case o.Lost:
		c.lost++
	case o.Refused != "":
		c.refusals[o.Refused]++
		recordLatency(c.refusalLatency, latency)
	default:
		recordLatency(c.answerLatency, latency)
		c.recordAnswer(o)
	}
}

// recordAnswer adds the coverage and the sub-requests of an answer. The lock is held.
func (c *collector) recordAnswer(o Outcome) {
	if o.Wrong {
		c.wrong++
	}
	if o.Shards == 0 {
		return
	}
	coverage := float64(o.Answered) / float64(o.Shards)
	c.coverageSum += coverage
	c.lowestCoverage = min(c.lowestCoverage, coverage)
	if o.Answered == o.Shards {
		c.wholeAnswers++
	}
	if o.First > 0 {
		c.firstSubRequests += o.First
		c.extraSubRequests += o.Extra
		c.loadShards += o.Shards
	}
}

// snapshot returns the progress of the run so far.
func (c *collector) snapshot(elapsed time.Duration) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Progress{
		Elapsed:  units.Duration(elapsed),
		Arrivals: c.arrivals,
		Sent:     c.sent,
		Open:     c.sent - c.finished,
		Answered: int(c.answerLatency.TotalCount()),
		Refused:  int(c.refusalLatency.TotalCount()),
		Lost:     c.lost,
		P99:      quantile(c.answerLatency, 99),
	}
}

// report returns the report of the run, without its elapsed time.
func (c *collector) report(p Plan) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{
		Plan:     p,
		Arrivals: c.arrivals,
		Unsent:   c.arrivals - c.sent,
		Answered: int(c.answerLatency.TotalCount()),
		Refused:  int(c.refusalLatency.TotalCount()),
		Refusals: c.refusals,
		Lost:     c.lost,
		Wrong:    c.wrong,
		Answers:  quantilesOf(c.answerLatency),
		Refusal:  quantilesOf(c.refusalLatency),
	}
	if n := float64(r.Answered); n > 0 {
		r.Coverage = Coverage{Mean: c.coverageSum / n, Lowest: c.lowestCoverage, Whole: float64(c.wholeAnswers) / n}
	}
	if c.firstSubRequests > 0 {
		r.Load = Load{
			Extra: float64(c.extraSubRequests) / float64(c.firstSubRequests),
			Shard: float64(c.firstSubRequests+c.extraSubRequests) / float64(c.loadShards),
		}
	}
	return r
}

// quantile returns the latency below which the given percentage of the recorded latencies lies.
func quantile(h *hdrhistogram.Histogram, percent float64) units.Duration {
	return units.Duration(time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond)
}

// quantilesOf returns the quantiles of a histogram that reports show.
func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50:  quantile(h, 50),
		P99:  quantile(h, 99),
		P999: quantile(h, 99.9),
		Max:  quantile(h, 100),
	}
}
