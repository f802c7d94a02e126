package query

import (
	"time"

	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Request describes a query.
type Request struct {
	ID      string
	Service string
	Payload []byte
	Class   wire.Class
	// Deadline is the time that the caller allows for the query; zero selects the service's default.
	Deadline time.Duration
	// Coverage is the minimum share of shards that must answer, from 0 to 1; a negative value selects the service's default.
	Coverage float64
}

// MissingShard is a shard that did not answer, and the reason.
type MissingShard struct {
	Shard  int
	Reason string
}

// SubRequestCounts counts the sub-requests of one query. A sub-request asks one target for one or more shards.
type SubRequestCounts struct {
	// First is the number of sub-requests of the first plan; all others are additional.
	First   int
	Hedges  int
	Retries int
	// Replanned is the number of sub-requests of all later plans, without their hedges and retries.
	Replanned int
	// Replans is the number of times that the query was planned again on a newer snapshot.
	Replans int
}

// add counts n sub-requests sent for the given purpose; replanned says whether they belong to a plan after the first.
func (l *SubRequestCounts) add(n int, why purpose, replanned bool) {
	switch {
	case why == lateHedge || why == urgentHedge:
		l.Hedges += n
	case why != firstPlan:
		l.Retries += n
	case replanned:
		l.Replanned += n
	default:
		l.First += n
	}
}

// Extra returns the number of sub-requests sent in addition to those of the first plan.
func (l *SubRequestCounts) Extra() int {
	return l.Hedges + l.Retries + l.Replanned
}

// Answer is the result of a query; all its parts come from one snapshot.
type Answer struct {
	Snapshot shard.Snapshot
	// ShardCount is the number of shards in the snapshot's shard map.
	ShardCount int
	// Parts maps each shard that answered to its payload.
	Parts map[int][]byte
	// Missing lists the shards that did not answer, in ascending order.
	Missing []MissingShard
	// SubRequests counts the sub-requests that the query sent.
	SubRequests SubRequestCounts
}

// Coverage returns the share of shards that answered.
func (a *Answer) Coverage() float64 {
	return float64(len(a.Parts)) / float64(a.ShardCount)
}
