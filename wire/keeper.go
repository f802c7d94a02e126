package wire

import "time"

// Learned is what a keeper has learned of a target; it goes to the next keeper.
type Learned struct {
	// Process is the incarnation of the target's process, or zero.
	Process uint64
	// Limit is the number of requests that the target has borne at once; zero means that nothing is known.
	Limit int
	// Mean is the mean time of a request at the target.
	Mean time.Duration
	// Leaving is the incarnation that gave a sign of leaving, or zero.
	Leaving uint64
}

// Yield asks a host to give up targets for the asking host, which wants to keep them.
type Yield struct {
	From    Member
	Targets []Wanted
	// Hosts is a sum of the names and states of the hosts of the data centre that the asking host knows.
	Hosts uint64
}

// Wanted names a target that the asking host wants to keep.
type Wanted struct {
	Target string
	// Claim numbers the attempt at the asking host; zero means that it keeps the target already.
	Claim uint64
}

// YieldReply answers Yield; a target without a row is neither kept nor known by the answering host.
type YieldReply struct {
	From HostID
	Rows []Yielded
	// Hosts are the hosts of the data centre that the answering host knows, where the sums differ.
	Hosts []Member
}

// Yielded is what a host says of one target that it was asked to give up.
type Yielded struct {
	Target string
	// Refused says that the host goes on keeping the target.
	Refused bool
	// Handed says that the host was the keeper until now and that Flights are all requests that may still run.
	Handed bool
	// Flights are the times that are left to the requests of this host and its predecessors.
	Flights []time.Duration
	Learned Learned
}

// Sign tells that a target gave a sign of leaving.
type Sign struct {
	Target string
	// Process is the leaving incarnation.
	Process uint64
}
