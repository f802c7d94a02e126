package tree

import "kingcupcross/units"

// Preference says whether a service favours complete or fast answers.
type Preference string

// Preferences of a service.
const (
	// PreferCoverage waits for missing shards until the deadline.
	PreferCoverage Preference = "coverage"
	// PreferLatency answers after the time of the tail setting with the shards that have answered by then.
	PreferLatency Preference = "latency"
)

// Values are the settings in force for one service of one region; each can be set at any level.
type Values struct {
	// Deadline is the time that a query gets if the caller sets no deadline.
	Deadline units.Duration `json:"deadline" default:"1s" min:"1ms" max:"60s" doc:"time that a query gets where the caller names none"`
	// Longest is the maximum deadline that a caller may set.
	Longest units.Duration `json:"longest" default:"30s" min:"1ms" max:"300s" doc:"longest deadline that a caller may ask for"`
	// Prefer says whether the service favours coverage or latency.
	Prefer Preference `json:"prefer" default:"coverage" oneof:"coverage latency" doc:"what goes first: coverage waits to the deadline, latency answers at tail"`
	// Tail is the time after which a service that prefers latency answers with the shards received so far.
	Tail units.Duration `json:"tail" default:"190ms" min:"1ms" max:"60s" doc:"time at which a service that prefers latency answers with what it has"`
	// Coverage is the minimum share of shards that an answer must contain; below it the query is refused, unless the caller sets its own minimum.
	Coverage float64 `json:"coverage" default:"0" min:"0" max:"1" doc:"share of shards below which an answer is refused, unless the caller names one"`
	// Hedge is the quantile of the service's own latencies after which a hedged request is sent.
	Hedge float64 `json:"hedge" default:"0.95" min:"0.5" max:"1" doc:"quantile of the service's latencies after which a hedge is sent; 1 sends none"`
	// Extra limits the additional load by hedges and retries, as a share of the sub-requests.
	Extra float64 `json:"extra" default:"0.05" min:"0" max:"0.5" doc:"budget of extra load by hedges and retries, as a share of sub-requests"`
	// Queue is the maximum number of sub-requests waiting for one target.
	Queue int `json:"queue" default:"64" min:"0" max:"10000" doc:"sub-requests that may wait for one target at its keeper"`
	// Cold is the maximum number of concurrent requests to a target in cold start, unless the target states a lower one.
	Cold int `json:"cold" default:"1" min:"1" max:"1000" doc:"requests that a target in cold start bears at once, unless the target says less"`
	// Body is the maximum payload of a request.
	Body units.Size `json:"body" default:"256KiB" min:"1B" max:"4MiB" doc:"largest payload of a request"`
	// Keyless says whether orders are accepted that carry neither a ticket nor an idempotency key.
	Keyless bool `json:"keyless" default:"true" doc:"accept orders with neither ticket nor key, each as a new one"`
	// Out lists the data centres that are out of service.
	Out []string `json:"out" default:"[]" doc:"data centres that are out of service"`
}
