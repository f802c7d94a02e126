package tree

import "kingcupcross/units"

// Preference says what a service gives up first.
type Preference string

// Preferences of a service.
const (
	// PreferCoverage waits for shards until the deadline.
	PreferCoverage Preference = "coverage"
	// PreferLatency answers at the tail target with the shards that have come.
	PreferLatency Preference = "latency"
)

// Values are the settings in force for one service of one region; each can be set at any level.
type Values struct {
	// Deadline is the time a query gets where the caller names none.
	Deadline units.Duration `json:"deadline" default:"1s" min:"1ms" max:"60s" doc:"time that a query gets where the caller names none"`
	// Longest is the longest deadline that a caller may ask for.
	Longest units.Duration `json:"longest" default:"30s" min:"1ms" max:"300s" doc:"longest deadline that a caller may ask for"`
	// Prefer says whether coverage or latency goes first.
	Prefer Preference `json:"prefer" default:"coverage" oneof:"coverage latency" doc:"what goes first: coverage waits to the deadline, latency answers at tail"`
	// Tail is the time after which a service that prefers latency answers with what it has.
	Tail units.Duration `json:"tail" default:"190ms" min:"1ms" max:"60s" doc:"time at which a service that prefers latency answers with what it has"`
	// Coverage is the share of shards below which an answer is refused.
	Coverage float64 `json:"coverage" default:"0" min:"0" max:"1" doc:"share of shards below which an answer is refused, unless the caller names one"`
	// Hedge is the quantile of the service's own latencies after which a hedge is sent.
	Hedge float64 `json:"hedge" default:"0.95" min:"0.5" max:"1" doc:"quantile of the service's latencies after which a hedge is sent; 1 sends none"`
	// Extra is the budget of extra load by hedges and retries, as a share of the sub-requests.
	Extra float64 `json:"extra" default:"0.05" min:"0" max:"0.5" doc:"budget of extra load by hedges and retries, as a share of sub-requests"`
	// Queue is the number of sub-requests that may wait for one target.
	Queue int `json:"queue" default:"64" min:"0" max:"10000" doc:"sub-requests that may wait for one target at its keeper"`
	// Cold is the number of requests that a target in cold start bears at once.
	Cold int `json:"cold" default:"1" min:"1" max:"1000" doc:"requests that a target in cold start bears at once, unless the target says less"`
	// Body is the largest payload of a request.
	Body units.Size `json:"body" default:"256KiB" min:"1B" max:"4MiB" doc:"largest payload of a request"`
	// Keyless says whether orders with neither ticket nor key are accepted.
	Keyless bool `json:"keyless" default:"true" doc:"accept orders with neither ticket nor key, each as a new one"`
	// Out lists the data centres that are out of service.
	Out []string `json:"out" default:"[]" doc:"data centres that are out of service"`
}
