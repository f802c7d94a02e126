package wire

import (
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
)

// Class orders requests where there is too little room; a lower class goes first.
type Class int

// Classes of requests.
const (
	Recall Class = iota
	Routine
	Bulk
)

// Part names the shards that one target is asked for.
type Part struct {
	Target string
	Shards []int
}

// Ask carries the part of a query that one keeper serves; the keeper answers as soon as all parts are done or Soft has passed.
type Ask struct {
	ID       string
	From     HostID
	Service  string
	Snapshot shard.Snapshot
	Class    Class
	// Left is the time to the deadline when the message is sent.
	Left time.Duration
	// Soft is the time after which the keeper answers with the parts that are done; Rest brings the others.
	Soft    time.Duration
	Payload []byte
	Parts   []Part
}

// Result is the outcome at one target: its parts or a fault.
type Result struct {
	Target   string
	Snapshot shard.Snapshot
	// Newest is the newest snapshot that the target named, where it refused the asked one.
	Newest shard.Snapshot
	Parts  []target.Part
	Fault  *fault.Error
	// Took is the time from the Ask's arrival at the keeper to the target's reply.
	Took time.Duration
}

// AskReply answers Ask and Rest.
type AskReply struct {
	// ID is that of the Ask.
	ID      string
	Results []Result
	// Pending says that parts are under way that Rest will bring.
	Pending bool
	Fault   *fault.Error
}

// Rest asks for the parts of an earlier Ask that were not done; the keeper answers as soon as one of them is.
type Rest struct {
	ID string
}

// Drop cancels parts of an earlier Ask; no targets means all.
type Drop struct {
	ID      string
	Targets []string
}
