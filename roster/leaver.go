package roster

import "time"

// Leaver is a target that has announced that it is about to shut down.
type Leaver struct {
	ID string
	// Born is when the target's process started, zero where unknown.
	Born time.Time
	// Age is the time since the announcement.
	Age time.Duration
}

// Process identifies one process of a target.
type Process struct {
	ID string
	// Born is when the process started, zero where unknown.
	Born time.Time
}

// Equal reports whether two values identify the same process.
func (p Process) Equal(other Process) bool {
	return p.ID == other.ID && p.Born.Equal(other.Born)
}

// Process returns the process that is leaving.
func (l Leaver) Process() Process {
	return Process{
		ID:   l.ID,
		Born: l.Born,
	}
}
