package apiv1

import (
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// Paths of the operators' interface.
const (
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
	PathLogs    = "/v1/logs"
	PathMetrics = "/metrics"
)

// Kept is the state of one target at its keeper.
type Kept struct {
	Target shard.Target `json:"target"`
	// Hold is the host's right to the target: claiming or held.
	Hold string `json:"hold"`
	// Busy is the number of requests that run or may run, Limit the number that may, and Queue that of those that wait.
	Busy  int `json:"busy"`
	Limit int `json:"limit"`
	Queue int `json:"queue"`
	// Phase is what the target last said of itself, and Why the reason of the limit.
	Phase target.Phase `json:"phase"`
	Why   string       `json:"why"`
}

// Peer is one host as the answering host sees it.
type Peer struct {
	wire.Member
	Phase string `json:"state"`
}

// Status describes one host and what it sees.
type Status struct {
	Host wire.Member `json:"host"`
	// Ready says that the host takes requests.
	Ready bool `json:"ready"`
	// Change is the number of the last settings change in force and ChangeID its id.
	Change   uint64                    `json:"change"`
	ChangeID string                    `json:"changeid"`
	Peers    []Peer                    `json:"peers"`
	Kept     []Kept                    `json:"kept"`
	Maps     map[string]shard.Snapshot `json:"maps"`
	Out      []string                  `json:"out"`
}

// Explanation says how a host would route a query of a service now.
type Explanation struct {
	Service string `json:"service"`
	// Host is the host that answers, and the only one that this is true for.
	Host     string         `json:"host"`
	Snapshot shard.Snapshot `json:"snapshot"`
	// Change is the settings change in force.
	Change uint64  `json:"change"`
	Shards []Route `json:"shards"`
}

// Route gives the replicas of one shard.
type Route struct {
	Shard    int       `json:"shard"`
	Replicas []Replica `json:"replicas"`
}

// Replica is one copy of a shard at a target.
type Replica struct {
	Target     string `json:"target"`
	Datacentre string `json:"datacentre"`
	// Keeper is the host through which the target is asked, or "" where there is none.
	Keeper string `json:"keeper"`
	// Chosen says that this replica is asked first.
	Chosen bool `json:"chosen"`
	// Why says why the replica is asked or not.
	Why string `json:"why"`
}

// Reachable returns the number of shards with a replica to ask.
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

// LogLevels holds the level of each subsystem's log by its name.
type LogLevels struct {
	Levels map[string]string `json:"levels"`
}
