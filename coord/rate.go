package coord

import (
	"sync"
	"time"
)

const (
	// lowRate is the rate in requests a second below which a host begins to forward its requests: with fewer it learns too little of each target.
	lowRate = 3.0
	// highRate is the rate from which a host answers its requests itself again. The gap to lowRate keeps a changing rate from switching it back and forth.
	highRate = 8.0
	// sparseRate is the rate below which several seconds may pass between two requests.
	sparseRate = 1.0
	// rateWindow is the time over which requests are counted.
	rateWindow = 2 * time.Second
)

// requestRate measures the rate of a host's own requests.
type requestRate struct {
	mu          sync.Mutex
	windowStart time.Time
	count       int
	// high is set when the rate reaches highRate and cleared after a whole window below lowRate.
	high bool
	// sparse is set if the rate in the last whole window was below sparseRate.
	sparse bool
}

// record counts one request. It reports whether the rate is low, and whether it is so low that the next request may be seconds away.
func (r *requestRate) record(now time.Time) (low, sparse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now.Sub(r.windowStart); age >= rateWindow {
		r.sparse = !r.windowStart.IsZero() && float64(r.count)/age.Seconds() < sparseRate
		if float64(r.count)/age.Seconds() < lowRate {
			r.high = false
		}
		r.windowStart, r.count = now, 0
	}
	r.count++
	if float64(r.count) >= highRate*rateWindow.Seconds() {
		r.high = true
	}
	return !r.high, r.sparse
}
