package target

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/shard"
	"kingcupcross/units"
)

// Paths of the targets' protocol.
const (
	PathQuery  = "/v1/query"
	PathOrder  = "/v1/order"
	PathCancel = "/v1/cancel"
	PathState  = "/v1/state"
)

// Phase is the stage of a target's life cycle that it reports.
type Phase string

// Phases of a target: cold after its start, then warm, and leaving before it exits.
const (
	Cold    Phase = "cold"
	Warm    Phase = "warm"
	Leaving Phase = "leaving"
)

// State is the state that a target reports in each reply and at its state endpoint.
type State struct {
	// Process is the incarnation of the target's process. It changes with each start.
	Process uint64 `json:"process"`
	Phase   Phase  `json:"phase"`
	// Limit is the number of concurrent requests that the target can currently handle.
	Limit int `json:"limit"`
	// Busy is the number of requests that the target is processing.
	Busy int `json:"busy"`
}

// Query is a sub-request for shards that the target holds.
type Query struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Snapshot shard.Snapshot `json:"snapshot"`
	Shards   []int          `json:"shards"`
	Class    int            `json:"class"`
	// Deadline is the remaining time when the sub-request is sent.
	Deadline units.Duration `json:"deadline"`
	Payload  []byte         `json:"payload"`
}

// Part is the result of one shard.
type Part struct {
	Shard   int    `json:"shard"`
	Payload []byte `json:"payload"`
	// Sum is the xxHash64 of the payload.
	Sum uint64 `json:"sum"`
}

// NewPart returns a part and computes its checksum.
func NewPart(shard int, payload []byte) Part {
	return Part{Shard: shard, Payload: payload, Sum: xxhash.Sum64(payload)}
}

// ChecksumMatches reports whether the payload matches its checksum.
func (p Part) ChecksumMatches() bool {
	return xxhash.Sum64(p.Payload) == p.Sum
}

// Reply is the reply to a sub-request. A shard for which the target has no result has no part.
type Reply struct {
	ID       string         `json:"id"`
	Snapshot shard.Snapshot `json:"snapshot"`
	State    State          `json:"state"`
	Parts    []Part         `json:"parts"`
}

// UnmarshalJSON decodes a reply and checks that it contains no shard twice.
func (r *Reply) UnmarshalJSON(b []byte) error {
	type plain Reply
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	seen := map[int]bool{}
	for _, part := range p.Parts {
		if seen[part.Shard] {
			return fmt.Errorf("target's reply: shard %d stands in it twice", part.Shard)
		}
		seen[part.Shard] = true
	}
	*r = Reply(p)
	return nil
}

// Order is a request that must not run more than once.
type Order struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Shard    int            `json:"shard"`
	Deadline units.Duration `json:"deadline"`
	Payload  []byte         `json:"payload"`
}

// OrderReply is the reply to an order that ran.
type OrderReply struct {
	ID      string `json:"id"`
	State   State  `json:"state"`
	Payload []byte `json:"payload"`
	// Sum is the xxHash64 of the payload.
	Sum uint64 `json:"sum"`
}

// Cancel asks a target to stop working on a sub-request.
type Cancel struct {
	ID string `json:"id"`
}

// Reason is the reason why a target refused a request.
type Reason string

// Reasons for a refusal. In each case the request did not run.
const (
	// ReasonShed: the target is overloaded.
	ReasonShed Reason = "shed"
	// ReasonLeaving: the target is about to exit.
	ReasonLeaving Reason = "leaving"
	// ReasonAbsent: the target doesn't hold the requested snapshot of all shards.
	ReasonAbsent Reason = "absent"
	// ReasonGone: the requested snapshot is older than those that the target holds.
	ReasonGone Reason = "gone"
	// ReasonExpired: the request arrived too late.
	ReasonExpired Reason = "expired"
	// ReasonBad: the request is malformed.
	ReasonBad Reason = "bad"
)

// Refusal is the response of a target that did not start the work.
type Refusal struct {
	Reason Reason `json:"reason"`
	State  State  `json:"state"`
	// Newest is the newest snapshot that the target holds. It is set for the reasons absent and gone.
	Newest shard.Snapshot `json:"newest"`
	// Retry is the time after which the target may accept work again.
	Retry units.Duration `json:"retry"`
}

// Error returns a text with the reason.
func (r *Refusal) Error() string {
	return "target refused: " + string(r.Reason)
}
