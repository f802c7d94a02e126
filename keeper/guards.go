package keeper

import (
	"time"

	"kingcupcross/board"
)

const (
	// maxRequestTime is the longest time that a request may run at a target.
	maxRequestTime = 2 * time.Second
	// maxDetectionTime is the longest time that a host takes to see an unreachable peer as dead.
	maxDetectionTime = 5 * time.Second
	// isolationTime is the time after which a host that reaches no peer sends one request at a time to targets of which it has no share.
	isolationTime = 10 * time.Second
	// settleTime is the time after which a new host counts in the shares.
	settleTime = 10 * time.Second
	// overdueFactor is the multiple of the mean response time after which a missing reply counts as overdue.
	overdueFactor = 8
	// minOverdueTime is the shortest time after which a reply can be overdue.
	minOverdueTime = 100 * time.Millisecond
	// handOverWait is how long requests wait for the previous keeper to hand the target over.
	handOverWait = 300 * time.Millisecond
	// cancelledEndGrace is the time that a target may take to end a request after it has accepted its cancellation.
	cancelledEndGrace = 10 * time.Millisecond
	// stateReadTimeout limits a read of a target's state endpoint.
	stateReadTimeout = 500 * time.Millisecond
	// maxBackoff limits how long no new request is sent to a target that sheds load.
	maxBackoff = time.Second
)

// guards holds the guards of a keeper as fields, so that a test can disable each of them.
type guards struct {
	// running reports whether this process may send. It is called right before each send.
	running func() bool
	// pauseCount returns the number of pauses of this process. Ownership from before the last pause has lapsed.
	pauseCount func() uint64
	// share returns the part of a limit that this side of a partition may use.
	share func(limit int, c *hostCounts) int
	// askPeers makes the other hosts give a target up before this host keeps it.
	askPeers bool
	// countInherited lets requests that other hosts report as running occupy slots.
	countInherited bool
	// confirmReturned counts a host that became reachable again as reachable only after it has confirmed the targets kept here.
	confirmReturned bool
	// lostRequestTime is how long the requests of a keeper that has ended may still run.
	lostRequestTime time.Duration
	// fencingTime is how long a host that is silent may still send requests to a target.
	fencingTime time.Duration
	// coldLimit returns the limit of a cold target from the limit in the settings and the one that the target states.
	coldLimit func(settings, stated int) int
	// useStatedState applies the state that a target states in its replies.
	useStatedState bool
	// suspectRestarts lowers the limit to that of a cold target after a failed request, an overdue reply or a lost connection.
	suspectRestarts bool
	// countForeignWork lets requests that a target reports beyond this host's own occupy slots.
	countForeignWork bool
	// rememberLeaving refuses new requests after a leaving signal until another process of the target is seen.
	rememberLeaving bool
	// broadcastLeaving sends leaving signals to the other hosts.
	broadcastLeaving bool
}

// newGuards returns the guards, all enabled.
func newGuards(b *board.State) guards {
	return guards{
		running:          b.PauseDetector.MaySend,
		pauseCount:       func() uint64 { number, _ := b.PauseDetector.FenceStatus(); return number },
		share:            limitShare,
		askPeers:         true,
		countInherited:   true,
		confirmReturned:  true,
		lostRequestTime:  maxRequestTime,
		fencingTime:      maxDetectionTime + board.PauseThreshold + maxRequestTime,
		coldLimit:        lowerColdLimit,
		useStatedState:   true,
		suspectRestarts:  true,
		countForeignWork: true,
		rememberLeaving:  true,
		broadcastLeaving: true,
	}
}

// lowerColdLimit returns the lower of the limits for a cold target in the settings and as stated by the target. A stated limit of zero means that none is stated.
func lowerColdLimit(settings, stated int) int {
	if stated > 0 {
		return min(settings, stated)
	}
	return settings
}
