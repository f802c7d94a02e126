package roster

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateLimit is the request rate that a target states for all hosts together, as one host passes it on to another.
type RateLimit struct {
	ID string
	// Born is when the target's process started, zero where unknown.
	Born time.Time
	// Limited is set if the target states a limit, and cleared once it no longer does.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Age is the time since the target's response.
	Age time.Duration
}

// Validate reports the first invalid field.
func (l *RateLimit) Validate() error {
	switch {
	case l.ID == "":
		return fmt.Errorf("rate limit of %g/s has no target", l.PerSecond)
	case math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) || l.PerSecond < 0:
		return fmt.Errorf("rate limit of target %q is %g/s", l.ID, l.PerSecond)
	case l.Age < 0:
		return fmt.Errorf("rate limit of target %q has the age %s", l.ID, l.Age)
	}
	return nil
}

// RateLimitsHash returns a hash of the limits in force that depends neither on their order nor on their age.
func RateLimitsHash(all []RateLimit) uint64 {
	var sum uint64
	for _, l := range all {
		if l.Limited {
			sum += xxhash.Sum64String(fmt.Sprintf("%s/%d/%g", l.ID, l.Born.UnixNano(), l.PerSecond))
		}
	}
	return sum
}
