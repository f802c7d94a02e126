package wire

import (
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
)

// Class is a request's priority under overload. Lower classes are served first.
type Class int

// Classes of requests, highest priority first.
const (
	Recall Class = iota
	Routine
	Bulk
)

// Part lists the shards requested from one target.
type Part struct {
	Target string
	Shards []int
}

// Ask carries the parts of a query that one keeper serves. The keeper answers when all parts are done or Soft has passed, whichever is first.
type Ask struct {
	ID       string
	From     HostID
	Service  string
	Snapshot shard.Snapshot
	Class    Class
	// Left is the remaining time until the deadline when the message is sent.
	Left time.Duration
	// Soft is the time after which the keeper answers with the parts that are done. The others are requested with Rest.
	Soft    time.Duration
	Payload []byte
	Parts   []Part
}

// Result is the outcome at one target, either its parts or a fault.
type Result struct {
	Target   string
	Snapshot shard.Snapshot
	// Newest is the newest snapshot that the target reported when it refused the requested one.
	Newest shard.Snapshot
	Parts  []target.Part
	Fault  *fault.Error
	// Took is the time from the arrival of Ask at the keeper to the target's reply.
	Took time.Duration
}

// AskReply is the reply to Ask and Rest.
type AskReply struct {
	// ID is the id of the Ask.
	ID      string
	Results []Result
	// Pending is set if more parts are in progress, which can be requested with Rest.
	Pending bool
	Fault   *fault.Error
}

// Rest requests the parts of an earlier Ask that were not done. The keeper answers as soon as one of them is done.
type Rest struct {
	ID string
}

// Drop cancels parts of an earlier Ask.
type Drop struct {
	ID string
	// Targets are the targets whose parts are cancelled. If empty, all parts are.
	Targets []string
}
