package query

import (
	"time"

	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Request is one query.
type Request struct {
	ID      string
	Service string
	Payload []byte
	Class   wire.Class
	// Deadline is the time that the caller gives; zero means the service's own.
	Deadline time.Duration
	// Coverage is the share of shards that the caller wants at least; a negative value means the service's own.
	Coverage float64
}

// Missing names a shard without an answer and says why.
type Missing struct {
	Shard  int
	Reason string
}

// Answer is the outcome of a query, all of one snapshot.
type Answer struct {
	Snapshot shard.Snapshot
	// Total is the number of shards of the snapshot's map.
	Total int
	// Parts holds the payload of each shard that answered, by shard.
	Parts map[int][]byte
	// Missing lists the other shards, in order.
	Missing []Missing
}

// Coverage returns the share of shards that answered.
func (a *Answer) Coverage() float64 {
	return float64(len(a.Parts)) / float64(a.Total)
}
