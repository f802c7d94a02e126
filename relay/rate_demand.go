package relay

import (
	"math"
	"time"

	"kingcupcross/roster"
)

// RateDemand is a host's demand for a target with a rate limit.
type RateDemand struct {
	Limit roster.RateLimit
	// Region is the region of the target.
	Region string
	// PerSecond is the number of parts per second that the target could have answered.
	PerSecond float64
}

const (
	// demandTime is the time over which a host's demand is averaged.
	demandTime = 2 * time.Second
	// minDemand is the demand, in parts per second, below which a host needs no share.
	minDemand = 0.05
)

// countRateDemand counts the parts that are answered or refused here as demand for their targets with rate limits.
func (q *query) countRateDemand(delegated map[*part]bool) {
	e := q.engine
	if len(e.rates.all()) == 0 {
		return
	}
	view := e.state.View()
	for _, p := range q.parts {
		if delegated[p] {
			continue
		}
		for _, t := range view.Services[p.service] {
			if r := e.rates.of(t); r != nil && q.route.Allows(t.Region) && !e.state.DatacentreOut(t.Datacentre) {
				r.mu.Lock()
				r.wanted++
				r.mu.Unlock()
			}
		}
	}
}

// updateDemand updates the average demand and returns it.
func (r *targetRate) updateDemand(now time.Time) float64 {
	elapsed := now.Sub(r.demandAt).Seconds()
	if r.demandAt.IsZero() || elapsed <= 0 {
		elapsed = demandTime.Seconds()
	}
	weight := 1 - math.Exp(-elapsed/demandTime.Seconds())
	r.demand += weight * (float64(r.wanted)/elapsed - r.demand)
	r.wanted, r.demandAt = 0, now
	return r.demand
}

// RateDemands returns this host's demands for targets with rate limits since the last call. It includes those whose limit ended recently, so that the end is passed on.
func (e *Engine) RateDemands() []RateDemand {
	now, view := e.clock.Now(), e.state.View()
	var demands []RateDemand
	for id, r := range e.rates.all() {
		entry := view.Entries[id]
		if entry == nil {
			continue
		}
		r.mu.Lock()
		if demand := r.updateDemand(now); demand >= minDemand {
			demands = append(demands, RateDemand{
				Limit:     r.export(now),
				Region:    entry.Region,
				PerSecond: demand,
			})
		}
		r.mu.Unlock()
	}
	return demands
}
