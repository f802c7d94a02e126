package coord

import (
	"math"
	"sync"
	"time"
)

const (
	// initialTransit is the round trip to a coordinator that is assumed before one was measured: a new connection between data centres of a region.
	initialTransit = 8 * time.Millisecond
	// transitWeight is the weight of a new sample in the moving averages; transitDeviations is the number of mean deviations that are reserved above the mean.
	transitWeight     = 0.1
	transitDeviations = 2
)

// transitEstimator estimates the time that requests spend on the network between this host and others.
type transitEstimator struct {
	mu        sync.Mutex
	measured  bool
	mean, dev float64
}

// record adds a measured transit time to the moving averages.
func (e *transitEstimator) record(took time.Duration) {
	sample := float64(max(took, 0))
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.measured {
		e.measured, e.mean, e.dev = true, float64(initialTransit), float64(initialTransit)/4
	}
	e.dev += transitWeight * (math.Abs(sample-e.mean) - e.dev)
	e.mean += transitWeight * (sample - e.mean)
}

// reserve returns the part of the latency objective to set aside for the network.
func (e *transitEstimator) reserve() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.measured {
		return initialTransit
	}
	return time.Duration(e.mean + transitDeviations*e.dev)
}
