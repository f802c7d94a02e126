package relay

import (
	"maps"
	"sync"
	"time"

	"kingcupcross/roster"
)

const (
	// minRecentCrashes is the number of targets that must have ended within recentCrashWindow for queries to be tried at one target first: some request may be what ends them, and its copies aren't known yet.
	minRecentCrashes  = 3
	recentCrashWindow = 250 * time.Millisecond
	// crashRetention is how long the end of a target is remembered, so that later refusals of its machine don't count as new ends.
	crashRetention = 10 * time.Second
)

func keyOf(p roster.Process) processKey {
	return processKey{id: p.ID, born: p.Born.UnixMilli()}
}

// crashTracker records the targets to which connections have ended or are refused.
type crashTracker struct {
	mu sync.Mutex
	// first holds the time of the first sign for each process of a target.
	first map[processKey]time.Time
}

// processKey identifies a process of a target as a map key, which a time.Time is not fit for.
type processKey struct {
	id   string
	born int64
}

// record notes that a connection to a target has ended or was refused.
func (r *crashTracker) record(p roster.Process, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := keyOf(p)
	if _, known := r.first[key]; known {
		return
	}
	if r.first == nil {
		r.first = map[processKey]time.Time{}
	}
	maps.DeleteFunc(r.first, func(_ processKey, at time.Time) bool { return now.Sub(at) > crashRetention })
	r.first[key] = now
}

// has reports whether a connection to a target has ended or was refused lately.
func (r *crashTracker) has(p roster.Process, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.first[keyOf(p)]
	return found && now.Sub(at) <= crashRetention
}

// several reports whether several targets have ended just now.
func (r *crashTracker) several(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.first) < minRecentCrashes {
		return false
	}
	n := 0
	for _, at := range r.first {
		if now.Sub(at) <= recentCrashWindow {
			n++
		}
	}
	return n >= minRecentCrashes
}
