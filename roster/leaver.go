package roster

import "time"

// Leaver is a target that has said itself that it is about to end.
type Leaver struct {
	ID string
	// Born is the start of the target that said so, zero where that isn't known.
	Born time.Time
	// Age is the time since it said so.
	Age time.Duration
}
