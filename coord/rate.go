package coord

import (
	"sync"
	"time"
)

const (
	// fewRate is the number of requests a second below which a host begins to send them on: with fewer it learns too little of each target.
	fewRate = 3.0
	// manyRate is the number from which it answers them itself again; the distance keeps it from changing with each burst.
	manyRate = 8.0
	// rareRate is the number below which several seconds may pass between two.
	rareRate = 1.0
	// rateWindow is the time over which requests are counted.
	rateWindow = 2 * time.Second
)

// rate counts a host's own requests.
type rate struct {
	mu      sync.Mutex
	began   time.Time
	current int
	many    bool
	// rare says that there were less than rareRate in the last whole window.
	rare bool
}

// note counts one request and reports whether there are few, and whether there have been so few that the next one may be long in coming.
func (r *rate) note(now time.Time) (few, rare bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now.Sub(r.began); age >= rateWindow {
		r.rare = !r.began.IsZero() && float64(r.current)/age.Seconds() < rareRate
		if float64(r.current)/age.Seconds() < fewRate {
			r.many = false
		}
		r.began, r.current = now, 0
	}
	r.current++
	if float64(r.current) >= manyRate*rateWindow.Seconds() {
		r.many = true
	}
	return !r.many, r.rare
}
