package wire

import "time"

// TargetHistory is what a keeper knows about a target from its requests. It is passed on to the next keeper.
type TargetHistory struct {
	// Process is the incarnation of the target's process, or zero if it is unknown.
	Process uint64
	// Limit is the number of concurrent requests that the target has handled, or zero if it is unknown.
	Limit int
	// Mean is the mean duration of a request at the target.
	Mean time.Duration
	// Leaving is the incarnation that signalled that it is leaving, or zero.
	Leaving uint64
}

// Yield asks a host to hand over targets to the requesting host, which is to become their keeper.
type Yield struct {
	From    Member
	Targets []YieldTarget
	// Hosts is a checksum of the names and states of the data centre's hosts that the requesting host knows.
	Hosts uint64
}

// YieldTarget identifies a target that the requesting host wants to take over.
type YieldTarget struct {
	Target string
	// Claim numbers the requesting host's attempts. Zero means that it is already the keeper.
	Claim uint64
}

// YieldReply is the reply to Yield. The answering host neither keeps nor knows a target that has no row.
type YieldReply struct {
	From HostID
	Rows []YieldResult
	// Hosts are the data centre's hosts that the answering host knows. They are sent if the checksums differ.
	Hosts []Member
}

// YieldResult is the result for one target of a Yield request.
type YieldResult struct {
	Target string
	// Refused is set if the host remains the keeper.
	Refused bool
	// Handed is set if the host was the keeper until now, so that Flights covers all requests that may still run.
	Handed bool
	// Flights are the remaining times of the requests in flight from this host and from earlier keepers.
	Flights []time.Duration
	Learned TargetHistory
}

// LeavingSignal reports that a target signalled that it is leaving.
type LeavingSignal struct {
	Target string
	// Process is the incarnation that is leaving.
	Process uint64
}
