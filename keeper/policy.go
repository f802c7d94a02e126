package keeper

import (
	"time"

	"kingcupcross/board"
)

const (
	// flightLimit is the longest time that a sub-request may run at a target.
	flightLimit = 2 * time.Second
	// detectLimit is the longest time in which a host that is cut off from a peer sees it as dead.
	detectLimit = 5 * time.Second
	// isolationTime is the time after which a host without any peer sends one request at a time to targets of which it has no share.
	isolationTime = 10 * time.Second
	// settleTime is the time after which a new host counts in the shares.
	settleTime = 10 * time.Second
	// slowFactor is the multiple of the mean time from which a request without a reply raises a doubt.
	slowFactor = 8
	// slowFloor is the shortest time that counts as slow.
	slowFloor = 100 * time.Millisecond
	// handOverTime is the time in which a hand-over by the last keeper comes; requests wait for it that long.
	handOverTime = 300 * time.Millisecond
	// endGrace is the time that a target may take to end a request after it has accepted the cancellation.
	endGrace = 10 * time.Millisecond
	// checkTimeout bounds a read of a target's state endpoint.
	checkTimeout = 500 * time.Millisecond
	// longestQuiet bounds the time that a target's shedding keeps new work away.
	longestQuiet = time.Second
)

// policy holds the decisions of a keeper as fields, so that a test can take one out.
type policy struct {
	// awake is asked right before each send.
	awake func() bool
	// pauses numbers the pauses of this process: what was given before the last one has lapsed.
	pauses func() uint64
	// share bounds what this side of a cut may use of a limit.
	share func(limit int, c *census) int
	// asks says whether the other hosts are asked before a target is kept.
	asks bool
	// counts says whether requests that others report as running take room.
	counts bool
	// confirms says whether a host that came back is asked again before it counts as present.
	confirms bool
	// lostFlight is how long the requests of a keeper that has ended may run.
	lostFlight time.Duration
	// silence is how long a silent host may still send to a target.
	silence time.Duration
	// cold returns the limit of a cold target from the settings and what the target states.
	cold func(settings, stated int) int
	// hears says whether what the target states in its replies counts.
	hears bool
	// doubts says whether a failed or slow reply and a lost connection make a target count as cold.
	doubts bool
	// witness says whether work that the target tells of and that isn't this host's takes room.
	witness bool
	// sticks says whether a sign of leaving stops new work until another process is seen.
	sticks bool
	// spreads says whether signs of leaving go to the other hosts.
	spreads bool
}

func newPolicy(b *board.Board) policy {
	return policy{
		awake:      b.Pulse.Awake,
		pauses:     func() uint64 { number, _ := b.Pulse.Fences(); return number },
		share:      shareOf,
		asks:       true,
		counts:     true,
		confirms:   true,
		lostFlight: flightLimit,
		silence:    detectLimit + board.PulseLimit + flightLimit,
		cold:       coldLimit,
		hears:      true,
		doubts:     true,
		witness:    true,
		sticks:     true,
		spreads:    true,
	}
}

// coldLimit is the lower of what the settings and the target say that a cold target bears.
func coldLimit(settings, stated int) int {
	if stated > 0 {
		return min(settings, stated)
	}
	return settings
}
