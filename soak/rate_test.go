package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"kingcupcross/mock"
)

// rateLimitValues are the values of the header with which a random target states a rate limit.
var rateLimitValues = []string{"3", "0.5", "0", "40", "1e300", "-1", "many", ""}

// Bounds on the requests to a target that states a rate limit: from rateGrace on, it gets in no period of rateWindow more than rateTolerance times what the limit allows, plus rateSlack.
const (
	rateGrace     = 4 * time.Second
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
	// ratePhase is how long targets state their limits.
	ratePhase = rateGrace + rateWindow + 2*time.Second
	// rateStep is the distance between the periods in which arrivals are counted.
	rateStep = 50 * time.Millisecond
)

// limitRates has a target of a shard and one of the unsharded service state rate limits while nothing else is disturbed, and returns a description of each period with too many arrivals.
func (w *cluster) limitRates(r *rand.Rand) (violations []string) {
	began := time.Now()
	limits := map[*mock.Target]float64{}
	for _, service := range []string{"one", fmt.Sprintf("shard%d", r.IntN(shards))} {
		for _, t := range w.targetsOf(service) {
			perSecond := []float64{1, 3, 8}[r.IntN(3)]
			if !w.isLeaving(t) {
				limits[t] = perSecond
				t.SetAnswerHeader("Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
				defer t.RemoveAnswerHeader("Server-Limit")
				break
			}
		}
	}
	time.Sleep(ratePhase)
	for t, perSecond := range limits {
		allowed := rateTolerance*perSecond*rateWindow.Seconds() + rateSlack
		for from := began.Add(rateGrace); !from.Add(rateWindow).After(began.Add(ratePhase)); from = from.Add(rateStep) {
			if n := w.requestLog.ArrivalsBetween(t.ID, from, from.Add(rateWindow)); float64(n) > allowed {
				violations = append(violations, fmt.Sprintf("%s stated a rate limit of %g/s and got %d requests in %s, allowed %.0f", t.ID, perSecond, n, rateWindow, allowed))
				break
			}
		}
	}
	return violations
}

// isLeaving reports whether a target drains or has announced that it leaves.
func (w *cluster) isLeaving(t *mock.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drainStart[t.ID].IsZero()
}
