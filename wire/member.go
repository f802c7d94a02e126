package wire

import (
	"fmt"
	"net/netip"
	"time"
)

// HostID identifies one run of a host's process.
type HostID struct {
	Name string `json:"name"`
	// Incarnation is chosen at each start and is higher than at earlier starts.
	Incarnation uint64 `json:"incarnation"`
}

// String returns the name and the incarnation.
func (h HostID) String() string {
	return fmt.Sprintf("%s.%x", h.Name, h.Incarnation)
}

// HostState is a host's state as its peers see it.
type HostState uint8

// States of a host. For the same incarnation and refutation a later state supersedes an earlier one.
const (
	Alive HostState = iota + 1
	Suspect
	Leaving
	Dead
	// Unreachable is used only in local views: the host's data centre is unreachable from this one, so the host's state is unknown.
	Unreachable
)

// String returns the state's name.
func (s HostState) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Unreachable:
		return "cut"
	default:
		return "none"
	}
}

// Member is one host as its peers see it.
type Member struct {
	HostID
	Region     string         `json:"region"`
	Datacentre string         `json:"datacentre"`
	Peers      netip.AddrPort `json:"peers"`
	Admin      netip.AddrPort `json:"admin"`
	State      HostState      `json:"state"`
	// Refutation is incremented each time the host learns that others consider it suspect or dead. The incarnation doesn't change during a run.
	Refutation uint64 `json:"refutation,omitempty"`
	// Proof is set if a dead host's process is known to have ended, because its machine refused a connection. Otherwise the host just stopped answering and may be paused or partitioned.
	Proof bool `json:"proof,omitempty"`
	// Since is when the local host learned of State, by its own clock. It isn't sent to other hosts.
	Since time.Time `json:"since,omitzero"`
	// Settings is the number of the last settings change that the member is known to have applied.
	Settings uint64 `json:"settings"`
}

// Supersedes reports whether the record m replaces the record o of the same host.
func (m *Member) Supersedes(o *Member) bool {
	switch {
	case m.Incarnation != o.Incarnation:
		return m.Incarnation > o.Incarnation
	case o.State == Leaving && m.State < Leaving:
		// A host that is leaving stays so for this incarnation, even if a delayed refutation arrives.
		return false
	case m.Refutation != o.Refutation:
		return m.Refutation > o.Refutation
	case m.State != o.State:
		return m.State > o.State
	default:
		return m.Proof && !o.Proof
	}
}

// Empty is the empty message.
type Empty struct{}
