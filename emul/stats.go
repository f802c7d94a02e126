package emul

// TargetStats counts the requests that a target received. Tests compare the counts with the target's limits.
type TargetStats struct {
	// Peak is the largest number of requests that ran at the same time.
	Peak int `json:"peak"`
	// Excess is the number of requests that were refused because all slots were taken.
	Excess int `json:"excess"`
	// Late is the number of requests that were refused because the target was leaving.
	Late int `json:"late"`
	// Served is the number of requests that were finished since the last restart.
	Served int `json:"served"`
	// Runs counts the executions of each order by its id.
	Runs map[string]int `json:"runs"`
}

// Stats returns the current counts.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := TargetStats{
		Peak:   t.peakInFlight,
		Excess: t.excessRequests,
		Late:   t.lateRequests,
		Served: t.servedRequests,
		Runs:   make(map[string]int, len(t.orderRuns)),
	}
	for id, n := range t.orderRuns {
		s.Runs[id] = n
	}
	return s
}
