package apiv1

import (
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Paths of the operators' interface.
const (
	PathStatus  = "/v1/status"
	PathMetrics = "/metrics"
)

// Kept is the state of one target at its keeper.
type Kept struct {
	Target shard.Target `json:"target"`
	Busy   int          `json:"busy"`
	Limit  int          `json:"limit"`
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
