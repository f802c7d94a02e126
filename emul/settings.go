package emul

import (
	"kingcupcross/units"
)

// Holding lists the shards and index versions that a target holds of one service.
type Holding struct {
	Service string `json:"service"`
	// Map is the version of the shard map to which the shard numbers refer.
	Map    uint64 `json:"map"`
	Shards []int  `json:"shards"`
	// Indexes are the index versions from which the target can answer.
	Indexes []uint64 `json:"indexes"`
}

// TargetSettings configure an emulated target.
type TargetSettings struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Cold is the number of concurrent requests that the target accepts during its cold start; once warm it accepts Slots.
	Cold int `json:"cold"`
	// Warmup is the number of requests after which the target is warm.
	Warmup int `json:"warmup"`
	// Median is the median service time of a request; service times are log-normally distributed.
	Median units.Duration `json:"median"`
	// Spread is the standard deviation of the logarithm of the service times.
	Spread float64 `json:"spread"`
	// Seed seeds the random numbers from which the service times are drawn.
	Seed     uint64    `json:"seed"`
	Holdings []Holding `json:"holdings"`
}

// TargetFaults are the faults that can be injected into a target.
type TargetFaults struct {
	// Factor multiplies the service time of each request; zero means one.
	Factor float64 `json:"factor"`
	// Cut truncates replies to queries and resets the connection.
	Cut bool `json:"cut"`
	// Corrupt makes the checksums of parts wrong.
	Corrupt bool `json:"corrupt"`
	// Hang holds requests without a reply until they are cancelled or their deadline passes.
	Hang bool `json:"hang"`
	// Lie makes the state endpoint report a warm and idle target regardless of its real state.
	Lie bool `json:"lie"`
	// Lag makes the state endpoint report the state as of that long ago.
	Lag units.Duration `json:"lag"`
	// ResetOrders executes orders but resets the connection before the reply.
	ResetOrders bool `json:"resetorders"`
}
