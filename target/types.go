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

// Phase is what a target says of itself.
type Phase string

// Phases of a target.
const (
	Cold    Phase = "cold"
	Warm    Phase = "warm"
	Leaving Phase = "leaving"
)

// State is what a target says of itself with each reply and at its state endpoint.
type State struct {
	// Process is the incarnation of the target's process: it changes with each start.
	Process uint64 `json:"process"`
	Phase   Phase  `json:"phase"`
	// Limit is the number of requests that the target bears at once now.
	Limit int `json:"limit"`
	// Busy is the number of requests that the target works on.
	Busy int `json:"busy"`
}

// Query is one sub-request for shards that the target holds.
type Query struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Snapshot shard.Snapshot `json:"snapshot"`
	Shards   []int          `json:"shards"`
	Class    int            `json:"class"`
	// Deadline is the time that is left when the sub-request is sent.
	Deadline units.Duration `json:"deadline"`
	Payload  []byte         `json:"payload"`
}

// Part is the answer of one shard.
type Part struct {
	Shard   int    `json:"shard"`
	Payload []byte `json:"payload"`
	// Sum is the xxHash64 of the payload.
	Sum uint64 `json:"sum"`
}

// NewPart returns a part with its checksum.
func NewPart(shard int, payload []byte) Part {
	return Part{Shard: shard, Payload: payload, Sum: xxhash.Sum64(payload)}
}

// Whole reports whether the payload matches its checksum.
func (p Part) Whole() bool {
	return xxhash.Sum64(p.Payload) == p.Sum
}

// Reply answers a sub-request; a shard that the target can't answer has no part.
type Reply struct {
	ID       string         `json:"id"`
	Snapshot shard.Snapshot `json:"snapshot"`
	State    State          `json:"state"`
	Parts    []Part         `json:"parts"`
}

// UnmarshalJSON decodes a reply and checks that no shard stands in it twice.
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

// Order is one request that may not be repeated.
type Order struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Shard    int            `json:"shard"`
	Deadline units.Duration `json:"deadline"`
	Payload  []byte         `json:"payload"`
}

// OrderReply answers an order that ran.
type OrderReply struct {
	ID      string `json:"id"`
	State   State  `json:"state"`
	Payload []byte `json:"payload"`
	Sum     uint64 `json:"sum"`
}

// Cancel asks a target to stop work on a sub-request.
type Cancel struct {
	ID string `json:"id"`
}

// Reason says why a target refused.
type Reason string

// Reasons of a target's refusal; in each case nothing ran.
const (
	Shed    Reason = "shed"
	Left    Reason = "leaving"
	Absent  Reason = "absent"
	Gone    Reason = "gone"
	Expired Reason = "expired"
	Bad     Reason = "bad"
)

// Refusal is a target's answer where it did not begin the work.
type Refusal struct {
	Reason Reason `json:"reason"`
	State  State  `json:"state"`
	// Newest is the newest snapshot that the target holds, with reasons absent and gone.
	Newest shard.Snapshot `json:"newest"`
	// Retry is the time after which the target may accept work again.
	Retry units.Duration `json:"retry"`
}

// Error returns the refusal's reason.
func (r *Refusal) Error() string {
	return "target refused: " + string(r.Reason)
}
