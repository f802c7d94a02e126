package emul

// Witness is what a target has seen of the work sent to it.
type Witness struct {
	// Peak is the largest number of requests at once.
	Peak int `json:"peak"`
	// Excess is the number of requests that came while the target bore no more.
	Excess int `json:"excess"`
	// Late is the number of requests that came while the target was leaving.
	Late int `json:"late"`
	// Served is the number of requests since the process start.
	Served int `json:"served"`
	// Runs counts how often each order ran.
	Runs map[string]int `json:"runs"`
}

// Witness returns what the target has seen.
func (t *Target) Witness() Witness {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := Witness{
		Peak:   t.peak,
		Excess: t.excess,
		Late:   t.late,
		Served: t.served,
		Runs:   make(map[string]int, len(t.runs)),
	}
	for id, n := range t.runs {
		w.Runs[id] = n
	}
	return w
}
