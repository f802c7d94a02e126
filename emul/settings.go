package emul

import (
	"kingcupcross/units"
)

// Holding is what a target holds of one service.
type Holding struct {
	Service string `json:"service"`
	// Map is the version of the shard map that the shards are of.
	Map    uint64 `json:"map"`
	Shards []int  `json:"shards"`
	// Indexes are the index versions that the target can answer from.
	Indexes []uint64 `json:"indexes"`
}

// TargetSettings describe an emulated target.
type TargetSettings struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Cold is the number of requests that the target bears at once while it is cold.
	Cold int `json:"cold"`
	// Warmup is the number of requests after which the target is warm.
	Warmup int `json:"warmup"`
	// Median is the median time of a request; the times are log-normally spread.
	Median units.Duration `json:"median"`
	// Spread is the standard deviation of the logarithm of the times.
	Spread   float64   `json:"spread"`
	Seed     uint64    `json:"seed"`
	Holdings []Holding `json:"holdings"`
}

// TargetFaults are the faults that a target can be given.
type TargetFaults struct {
	// Factor multiplies the time of each request; zero means one.
	Factor float64 `json:"factor"`
	// Cut sends replies cut short.
	Cut bool `json:"cut"`
	// Corrupt sends parts with a wrong checksum.
	Corrupt bool `json:"corrupt"`
	// Hang keeps requests without a reply until they are cancelled.
	Hang bool `json:"hang"`
	// Lie makes the state endpoint say warm and idle whatever the truth.
	Lie bool `json:"lie"`
	// Lag makes the state endpoint answer with what was true that long ago.
	Lag units.Duration `json:"lag"`
	// ResetOrders runs orders but resets the connection before the reply.
	ResetOrders bool `json:"resetorders"`
}
