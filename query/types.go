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

// Load counts the sub-requests of one query; each asks one target for some shards.
type Load struct {
	// First counts those of the first plan; the others were sent on top.
	First     int
	Hedges    int
	Retries   int
	Replanned int
	// Replans is the number of times that the query was planned anew on a newer snapshot.
	Replans int
}

func (l *Load) add(n int, why purpose, replanned bool) {
	switch {
	case why == hedge || why == urgentHedge:
		l.Hedges += n
	case why != first:
		l.Retries += n
	case replanned:
		l.Replanned += n
	default:
		l.First += n
	}
}

// Extra returns the number of sub-requests on top of the first plan.
func (l *Load) Extra() int {
	return l.Hedges + l.Retries + l.Replanned
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
	// Load is what the query cost the targets.
	Load Load
}

// Coverage returns the share of shards that answered.
func (a *Answer) Coverage() float64 {
	return float64(len(a.Parts)) / float64(a.Total)
}
