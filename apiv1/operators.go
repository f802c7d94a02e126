package apiv1

import (
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// Paths of the interface for operators.
const (
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
	PathLogs    = "/v1/logs"
	PathMetrics = "/metrics"
)

// TargetStatus is the state of one target as seen by its keeper, the host through which all requests to the target go.
type TargetStatus struct {
	Target shard.Target `json:"target"`
	// Hold is the state of the host's ownership of the target: claiming or held.
	Hold string `json:"hold"`
	// Busy is the number of requests that run or may still be running at the target, Limit the concurrency limit, and Queue the number of waiting requests.
	Busy  int `json:"busy"`
	Limit int `json:"limit"`
	Queue int `json:"queue"`
	// Phase is the phase that the target last reported, Why the reason for the limit.
	Phase target.Phase `json:"phase"`
	Why   string       `json:"why"`
}

// Peer is one host as seen by the answering host.
type Peer struct {
	wire.Member
	// Phase is the name of the host's membership state, wire.HostState.
	Phase string `json:"state"`
}

// Status is the state of one host with its view of peers, targets and settings.
type Status struct {
	Host wire.Member `json:"host"`
	// Ready is set if the host accepts requests.
	Ready bool `json:"ready"`
	// Change is the number of the last settings change in force, ChangeID its id.
	Change   uint64 `json:"change"`
	ChangeID string `json:"changeid"`
	Peers    []Peer `json:"peers"`
	// Kept lists the targets whose keeper the host is.
	Kept []TargetStatus `json:"kept"`
	// Maps holds the snapshot of each service's shard map, by the service's name.
	Maps map[string]shard.Snapshot `json:"maps"`
	// Out lists the data centres that are out of service according to the settings of the host's region.
	Out []string `json:"out"`
}

// Explanation describes how a host would currently route a query to a service.
type Explanation struct {
	Service string `json:"service"`
	// Host is the answering host; other hosts may route differently.
	Host     string         `json:"host"`
	Snapshot shard.Snapshot `json:"snapshot"`
	// Change is the number of the settings change in force.
	Change uint64  `json:"change"`
	Shards []Route `json:"shards"`
}

// Route lists the replicas of one shard.
type Route struct {
	Shard    int       `json:"shard"`
	Replicas []Replica `json:"replicas"`
}

// Replica is a copy of a shard at one target.
type Replica struct {
	Target     string `json:"target"`
	Datacentre string `json:"datacentre"`
	// Keeper is the host through which requests to the target go, or "" if the target has none.
	Keeper string `json:"keeper"`
	// Chosen is set if the query is sent to this replica first.
	Chosen bool `json:"chosen"`
	// Why is the reason why the replica is chosen or not.
	Why string `json:"why"`
}

// Reachable returns the number of shards with a chosen replica.
func (e *Explanation) Reachable() int {
	n := 0
	for _, s := range e.Shards {
		for _, r := range s.Replicas {
			if r.Chosen {
				n++
				break
			}
		}
	}
	return n
}

// LogLevels maps the names of subsystems to their log levels.
type LogLevels struct {
	Levels map[string]string `json:"levels"`
}
