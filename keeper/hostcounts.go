package keeper

import "time"

// hostCounts counts the hosts of this data centre, from which each side of a network partition computes its share of a target's limit. It is immutable.
type hostCounts struct {
	// reachable is the number of settled hosts on this side of a partition, including this host. total also includes the settled hosts that may be alive on another side.
	reachable, total int
	// hasLowestName is set if the settled host with the lowest name is on this side.
	hasLowestName bool
	// aloneSince is the time since which this host has reached no peer while others may be alive. It is zero if that isn't the case.
	aloneSince time.Time
}

// limitShare returns the part of a limit that this side of a partition may use. The majority, or the half with the lowest host name, rounds its part up and every other side rounds down, so that the parts of all sides never add up to more than the limit.
func limitShare(limit int, c *hostCounts) int {
	if c.reachable >= c.total {
		return limit
	}
	if 2*c.reachable > c.total || (2*c.reachable == c.total && c.hasLowestName) {
		return (limit*c.reachable + c.total - 1) / c.total
	}
	return limit * c.reachable / c.total
}

// isolated reports whether this host has reached no peer for so long that it may be the only one alive.
func (c *hostCounts) isolated(now time.Time) bool {
	return !c.aloneSince.IsZero() && now.Sub(c.aloneSince) >= isolationTime
}
