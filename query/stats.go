package query

import (
	"sync"
	"time"

	"kingcupcross/fault"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

const (
	// hedgeBudgetShare is the part of the allowed extra load that goes to hedges; the rest goes to retries.
	hedgeBudgetShare = 0.8
	// minRetriesPerSecond is the rate of retries that each service is allowed regardless of its load.
	minRetriesPerSecond = 10
	// shedSampleWeight is the weight of one result in the moving average of the shed rate.
	shedSampleWeight = 0.02
	// maxShedRate is the shed rate from which on no budget for extra load is earned.
	maxShedRate = 0.2
	// unansweredFactor multiplies the time so far of a sub-request that ended without a reply, as an estimate of its latency.
	unansweredFactor = 2
)

// serviceStats holds the latencies, budgets and slow targets that this host has recorded for one service.
type serviceStats struct {
	latencies   *latencyWindow
	hedgeBudget *budget
	retryBudget *budget

	mu sync.RWMutex
	// shedRate is the recent share of results that were refused because of overload.
	shedRate float64
	// targetLatency holds the latency estimate of each target by name.
	targetLatency map[string]latencyEstimate
	// networkTime holds the estimated round-trip time to the keepers of each data centre.
	networkTime map[string]latencyEstimate
	// slowTargets maps each slow target to the time at which it was last probed, or else found slow.
	slowTargets map[string]time.Time
}

func newServiceStats(now time.Time) *serviceStats {
	return &serviceStats{
		latencies:     newLatencyWindow(now),
		hedgeBudget:   newBudget(now, 0),
		retryBudget:   newBudget(now, minRetriesPerSecond),
		targetLatency: map[string]latencyEstimate{},
		networkTime:   map[string]latencyEstimate{},
		slowTargets:   map[string]time.Time{},
	}
}

// earnBudgets adds budget for n planned sub-requests; extra is the allowed share of extra load. The higher the shed rate,
// the less is added.
func (s *serviceStats) earnBudgets(n int, extra float64) {
	s.mu.RLock()
	share := extra * max(0, 1-s.shedRate/maxShedRate)
	s.mu.RUnlock()
	s.hedgeBudget.earn(n, share*hedgeBudgetShare)
	s.retryBudget.earn(n, share*(1-hedgeBudgetShare))
}

// recordResults records the results of one reply. A failed result counts as one that took unansweredFactor times the
// hedge delay, or longer if it did.
func (s *serviceStats) recordResults(now time.Time, results []wire.Result, hedgeDelay time.Duration) {
	took := make([]time.Duration, 0, len(results))
	for _, r := range results {
		if r.Fault == nil {
			took = append(took, r.Took)
		}
	}
	s.latencies.record(now, took...)
	typical, _ := s.latencies.quantile(now, medianQuantile)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range results {
		d, shed := r.Took, 0.0
		if r.Fault != nil {
			d = max(d, unansweredFactor*hedgeDelay)
		}
		if r.Fault != nil && r.Fault.Kind == fault.Overload {
			shed = 1
		}
		s.shedRate += shedSampleWeight * (shed - s.shedRate)
		s.updateTarget(now, r.Target, d, typical)
	}
}

// recordAbandoned records that a sub-request was given up after d. Below the median that says nothing about the target.
func (s *serviceStats) recordAbandoned(now time.Time, target string, d time.Duration) {
	typical, known := s.latencies.quantile(now, medianQuantile)
	if !known || d < typical {
		return
	}
	s.latencies.record(now, d)
	s.penalize(now, target, d)
}

// penalize raises a target's latency estimate because it has not replied within d.
func (s *serviceStats) penalize(now time.Time, target string, d time.Duration) {
	typical, _ := s.latencies.quantile(now, medianQuantile)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateTarget(now, target, unansweredFactor*d, typical)
}

// updateTarget adds a latency sample of a target and updates slowTargets. The lock must be held.
func (s *serviceStats) updateTarget(now time.Time, target string, d, typical time.Duration) {
	e := s.targetLatency[target].withSample(now, d, typical)
	s.targetLatency[target] = e
	if !e.slow {
		delete(s.slowTargets, target)
	} else if _, known := s.slowTargets[target]; !known {
		s.slowTargets[target] = now
	}
}

// takeDueProbes returns the slow targets that were not probed for a period and marks them as probed now.
func (s *serviceStats) takeDueProbes(now time.Time, period time.Duration) (names []string) {
	s.mu.RLock()
	none := len(s.slowTargets) == 0
	s.mu.RUnlock()
	if none {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, asked := range s.slowTargets {
		if now.Sub(asked) >= period {
			s.slowTargets[name] = now
			names = append(names, name)
		}
	}
	return names
}

// clearSlow removes the slow mark of a target. Its latency estimate then decays, so that it is used again without a probe.
func (s *serviceStats) clearSlow(now time.Time, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slowTargets, target)
	s.targetLatency[target] = s.targetLatency[target].withoutSlow(now)
}

const medianQuantile = 0.5

// recordNetworkTime records the time that a call to a keeper in a data centre spent outside the keeper.
func (s *serviceStats) recordNetworkTime(now time.Time, datacentre string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.networkTime[datacentre] = s.networkTime[datacentre].withSample(now, max(d, 0), 0)
}

// expectedLatency returns the expected time to a reply of the target, the round trip to its data centre included.
func (s *serviceStats) expectedLatency(now time.Time, target, datacentre string) time.Duration {
	typical, _ := s.latencies.quantile(now, medianQuantile)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.targetLatency[target].valueAt(now, typical) + time.Duration(s.networkTime[datacentre].value)
}

// hedgeDelay returns the time after which a sub-request counts as late: the latency quantile of the hedge setting, at most
// half of the remaining time.
func (s *serviceStats) hedgeDelay(now time.Time, v *tree.Values, remaining time.Duration) time.Duration {
	d, known := s.latencies.quantile(now, v.Hedge)
	if !known {
		return remaining / initialDelayDivisor
	}
	return min(max(d, minHedgeDelay), remaining/2)
}

const (
	// initialDelayDivisor sets the hedge delay while a service has too few latency samples: a quarter of the remaining time.
	initialDelayDivisor = 4
	// minHedgeDelay is the lower bound of the hedge delay. With less, timer and scheduling jitter would have every
	// sub-request hedged.
	minHedgeDelay = time.Millisecond
)
