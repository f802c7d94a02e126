package query

import (
	"sync"
	"time"

	"kingcupcross/fault"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

const (
	// hedgeShare is the part of the extra load that is for hedges; the rest is for retries.
	hedgeShare = 0.8
	// retryFloor is the number of retries per second that a service may always send.
	retryFloor = 10
	// shedWeight is the share of one reply in the rate at which targets shed.
	shedWeight = 0.02
	// shedCut is the rate of shedding at which no more extra load is earned.
	shedCut = 0.2
	// lossFactor is what a latency counts that was cut off when a hedge answered first.
	lossFactor = 2
)

// service is what this host has learned of one service.
type service struct {
	latency *latency
	hedges  *budget
	retries *budget

	mu   sync.RWMutex
	shed float64
	// targets holds the latency of each target by name, hops the time to and from the keepers of each data centre.
	targets map[string]estimate
	hops    map[string]estimate
	// slow holds the slow targets with the time at which each was last asked or found slow.
	slow map[string]time.Time
}

func newService(now time.Time) *service {
	return &service{
		latency: newLatency(now),
		hedges:  newBudget(now, 0),
		retries: newBudget(now, retryFloor),
		targets: map[string]estimate{},
		hops:    map[string]estimate{},
		slow:    map[string]time.Time{},
	}
}

// planned earns budget for n planned sub-requests, less where targets shed.
func (s *service) planned(n int, extra float64) {
	s.mu.RLock()
	share := extra * max(0, 1-s.shed/shedCut)
	s.mu.RUnlock()
	s.hedges.earn(n, share*hedgeShare)
	s.retries.earn(n, share*(1-hedgeShare))
}

// learn takes the results of one reply; a target that failed counts as if it had been late.
func (s *service) learn(now time.Time, results []wire.Result, late time.Duration) {
	took := make([]time.Duration, 0, len(results))
	for _, r := range results {
		if r.Fault == nil {
			took = append(took, r.Took)
		}
	}
	s.latency.record(now, took...)
	typical, _ := s.latency.quantile(now, median)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range results {
		d, hit := r.Took, 0.0
		if r.Fault != nil {
			d = max(d, lossFactor*late)
		}
		if r.Fault != nil && r.Fault.Kind == fault.Overload {
			hit = 1
		}
		s.shed += shedWeight * (hit - s.shed)
		s.follow(now, r.Target, d, typical)
	}
}

// lost learns from a reply that wasn't waited for: the target takes longer than d.
func (s *service) lost(now time.Time, target string, d time.Duration) {
	typical, known := s.latency.quantile(now, median)
	if !known || d < typical {
		return
	}
	s.latency.record(now, d)
	s.penalize(now, target, d)
}

// penalize makes a target count as late by d.
func (s *service) penalize(now time.Time, target string, d time.Duration) {
	typical, _ := s.latency.quantile(now, median)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(now, target, lossFactor*d, typical)
}

// follow adds a latency of a target; the lock is held.
func (s *service) follow(now time.Time, target string, d, typical time.Duration) {
	e := s.targets[target].add(now, d, typical)
	s.targets[target] = e
	if !e.slow {
		delete(s.slow, target)
	} else if _, known := s.slow[target]; !known {
		s.slow[target] = now
	}
}

// due returns the slow targets that were not asked for a period and notes that they are asked now.
func (s *service) due(now time.Time, period time.Duration) (names []string) {
	s.mu.RLock()
	none := len(s.slow) == 0
	s.mu.RUnlock()
	if none {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, asked := range s.slow {
		if now.Sub(asked) >= period {
			s.slow[name] = now
			names = append(names, name)
		}
	}
	return names
}

// forgive lets the latency of a slow target decay, so that it is tried again without a probe.
func (s *service) forgive(now time.Time, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slow, target)
	s.targets[target] = s.targets[target].forgive(now)
}

const median = 0.5

// hop learns the time that a call to a keeper in a data centre took besides the keeper's own.
func (s *service) hop(now time.Time, datacentre string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hops[datacentre] = s.hops[datacentre].add(now, max(d, 0), 0)
}

// score returns the time that a reply of the target is likely to take, hop and back included.
func (s *service) score(now time.Time, target, datacentre string) time.Duration {
	typical, _ := s.latency.quantile(now, median)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.targets[target].read(now, typical) + time.Duration(s.hops[datacentre].value)
}

// delay returns the time after which a sub-request counts as late.
func (s *service) delay(now time.Time, v *tree.Values, left time.Duration) time.Duration {
	d, known := s.latency.quantile(now, v.Hedge)
	if !known {
		return left / unknownShare
	}
	return min(max(d, shortestDelay), left/2)
}

const (
	// unknownShare is the part of the deadline after which a hedge goes out while a service's latencies are unknown.
	unknownShare = 4
	// shortestDelay bounds the delay from below, where timers and scheduling would make a hedge of every sub-request.
	shortestDelay = time.Millisecond
)
