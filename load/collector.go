package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupcross/units"
)

// Bounds of the histograms; times outside count as the nearest bound.
const (
	shortest = time.Microsecond
	longest  = 10 * time.Minute
	digits   = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(shortest/time.Microsecond), int64(longest/time.Microsecond), digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, shortest), longest)
	if err := h.RecordValue(int64(d / time.Microsecond)); err != nil {
		// The value lies within the histogram's bounds, so only a fault of the bounds leads here.
		panic(err)
	}
}

// collector gathers the outcomes of one run.
type collector struct {
	mu       sync.Mutex
	arrivals int
	sent     int
	done     int
	lost     int
	wrong    int
	refusals map[string]int
	answers  *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
	shares   float64
	lowest   float64
	whole    int
	shards   int
	first    int
	extra    int
}

func newCollector(arrivals int) *collector {
	return &collector{
		arrivals: arrivals,
		refusals: map[string]int{},
		answers:  newHistogram(),
		refused:  newHistogram(),
		lowest:   1,
	}
}

func (c *collector) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

func (c *collector) end(o Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	switch {
	case o.Lost:
		c.lost++
	case o.Refused != "":
		c.refusals[o.Refused]++
		record(c.refused, took)
	default:
		record(c.answers, took)
		c.answer(o)
	}
}

func (c *collector) answer(o Outcome) {
	if o.Wrong {
		c.wrong++
	}
	if o.Shards == 0 {
		return
	}
	share := float64(o.Answered) / float64(o.Shards)
	c.shares += share
	c.lowest = min(c.lowest, share)
	if o.Answered == o.Shards {
		c.whole++
	}
	if o.First > 0 {
		c.first += o.First
		c.extra += o.Extra
		c.shards += o.Shards
	}
}

func (c *collector) progress(elapsed time.Duration) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Progress{
		Elapsed:  units.Duration(elapsed),
		Arrivals: c.arrivals,
		Sent:     c.sent,
		Open:     c.sent - c.done,
		Answered: int(c.answers.TotalCount()),
		Refused:  int(c.refused.TotalCount()),
		Lost:     c.lost,
		P99:      quantile(c.answers, 99),
	}
}

func (c *collector) report(p Plan) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{
		Plan:     p,
		Arrivals: c.arrivals,
		Unsent:   c.arrivals - c.sent,
		Answered: int(c.answers.TotalCount()),
		Refused:  int(c.refused.TotalCount()),
		Refusals: c.refusals,
		Lost:     c.lost,
		Wrong:    c.wrong,
		Answers:  quantilesOf(c.answers),
		Refusal:  quantilesOf(c.refused),
	}
	if n := float64(r.Answered); n > 0 {
		r.Coverage = Coverage{Mean: c.shares / n, Lowest: c.lowest, Whole: float64(c.whole) / n}
	}
	if c.first > 0 {
		r.Load = Load{
			Extra: float64(c.extra) / float64(c.first),
			Shard: float64(c.first+c.extra) / float64(c.shards),
		}
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, percent float64) units.Duration {
	return units.Duration(time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond)
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50:  quantile(h, 50),
		P99:  quantile(h, 99),
		P999: quantile(h, 99.9),
		Max:  quantile(h, 100),
	}
}
