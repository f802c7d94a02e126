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
