package keeper

import "time"

// census counts the hosts of this data centre for the shares of a target's limit; it is immutable.
type census struct {
	// present is the number of settled hosts on this side, with this host, and all the number of settled hosts that may live.
	present, all int
	// first says that the first settled host by name is on this side.
	first bool
	// alone is since when this host has been without any peer while others may live; zero means that it isn't.
	alone time.Time
}

// shareOf returns this side's part of a limit: a majority, or the half with the first host, gets the share rounded up, any other side rounded down, so that the parts of all sides sum up to the limit at most.
func shareOf(limit int, c *census) int {
	if c.present >= c.all {
		return limit
	}
	if 2*c.present > c.all || (2*c.present == c.all && c.first) {
		return (limit*c.present + c.all - 1) / c.all
	}
	return limit * c.present / c.all
}

// isolated reports whether this host has been without a peer for so long that it may be the only one that lives.
func (c *census) isolated(now time.Time) bool {
	return !c.alone.IsZero() && now.Sub(c.alone) >= isolationTime
}
