package wire

import (
	"fmt"
	"net/netip"
	"time"
)

// HostID names one run of a host's process.
type HostID struct {
	Name string `json:"name"`
	// Incarnation is chosen at each start and grows from one start to the next.
	Incarnation uint64 `json:"incarnation"`
}

// String returns the name with the incarnation.
func (h HostID) String() string {
	return fmt.Sprintf("%s.%x", h.Name, h.Incarnation)
}

// HostState is a host's state as its peers see it.
type HostState uint8

// States of a host, in the order in which one replaces another of the same incarnation and refutation.
const (
	Alive HostState = iota + 1
	Suspect
	Leaving
	Dead
	// Cut stands in a view only: the host's data centre can't be reached from this one, so nothing is known of the host.
	Cut
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
	case Cut:
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
	// Refutation grows each time the host hears that it is taken for suspect or dead; the incarnation stays fixed for one run.
	Refutation uint64 `json:"refutation,omitempty"`
	// Proof says that a dead host's process is known to be gone, as its machine refused a connection; without it the host only kept silent, and may be paused or cut off.
	Proof bool `json:"proof,omitempty"`
	// Since is when the host that shows this record learnt of State, by its own clock; it doesn't travel.
	Since time.Time `json:"since,omitzero"`
	// Settings is the number of the last settings change that the member is known to have in force.
	Settings uint64 `json:"settings"`
}

// Supersedes reports whether the record m replaces the record o of the same host.
func (m *Member) Supersedes(o *Member) bool {
	switch {
	case m.Incarnation != o.Incarnation:
		return m.Incarnation > o.Incarnation
	case o.State == Leaving && m.State < Leaving:
		// Leaving sticks for the incarnation, also against a refutation that was on its way.
		return false
	case m.Refutation != o.Refutation:
		return m.Refutation > o.Refutation
	case m.State != o.State:
		return m.State > o.State
	default:
		return m.Proof && !o.Proof
	}
}

// None is the empty message.
type None struct{}
