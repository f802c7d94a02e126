package wire

import (
	"fmt"
	"net/netip"
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

// States of a host, in the order in which one replaces another of the same incarnation.
const (
	Alive HostState = iota + 1
	Suspect
	Leaving
	Dead
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
	// Settings is the number of the last settings change that the member is known to have in force.
	Settings uint64 `json:"settings"`
}

// None is the empty message.
type None struct{}
