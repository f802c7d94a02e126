package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/units"
)

// Plan says which queries a run sends and when; the same plan gives the same arrivals.
type Plan struct {
	// Name names the run in reports.
	Name string `json:"name"`
	// Rate is the mean number of arrivals a second.
	Rate float64 `json:"rate"`
	// Count bounds the number of arrivals.
	Count int `json:"count"`
	// Time bounds the time in which arrivals fall.
	Time units.Duration `json:"time"`
	// Drain is the time after Time in which open queries may still be answered; the others count as lost.
	Drain units.Duration `json:"drain"`
	// Cap bounds the number of queries in flight; an arrival above it waits, and its wait counts as latency.
	Cap int `json:"cap"`
	// Seed fixes the times of the arrivals.
	Seed uint64 `json:"seed"`
}

// Check reports the first value of the plan that can't be used.
func (p Plan) Check() error {
	switch {
	case p.Rate <= 0:
		return eris.Errorf("rate %v: use a number of arrivals a second above zero", p.Rate)
	case p.Count <= 0:
		return eris.Errorf("count %d: use a number above zero", p.Count)
	case p.Time <= 0 || p.Drain < 0:
		return eris.Errorf("time %s, drain %s: use durations above zero", p.Time, p.Drain)
	case p.Cap <= 0:
		return eris.Errorf("cap %d: use a number above zero", p.Cap)
	}
	return nil
}

// stream keeps the arrivals' random numbers apart from others of the same seed.
const stream = 0x6c6f6164

// arrivals returns the times of all arrivals, counted from the start of the run.
func (p Plan) arrivals() []time.Duration {
	random := rand.New(rand.NewPCG(p.Seed, stream))
	all := make([]time.Duration, 0, p.Count)
	var at time.Duration
	for range p.Count {
		at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		if at > p.Time.D() {
			break
		}
		all = append(all, at)
	}
	return all
}

// Outcome is what became of one query.
type Outcome struct {
	// Refused is the kind of the refusal, or "" where there was none.
	Refused string
	// Lost says that no final answer came.
	Lost bool
	// Wrong says that the answer isn't the one to this query.
	Wrong bool
	// Shards is the number of shards there are, Answered the number of those that answered.
	Shards   int
	Answered int
	// First is the number of planned sub-requests to targets, Extra that of those on top of them; zero First means that it isn't known.
	First int
	Extra int
}

// Query sends one query and returns when its final answer has come or the context ends.
type Query func(ctx context.Context) Outcome
