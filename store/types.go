package store

import (
	"net/netip"

	"kingcupcross/units"
)

// Paths of the platform's HTTP interface.
const (
	PathKey   = "/v1/kv/"
	PathList  = "/v1/list"
	PathWatch = "/v1/watch"
	PathLease = "/v1/lease"
	PathHosts = "/v1/hosts"
)

// MaxValue is the size of the largest value that the store accepts.
const MaxValue = units.MiB

// Entry is a key with its value and the revision at which it was last written.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// Lease is the id of the lease that the key is bound to, or zero.
	Lease uint64 `json:"lease,omitempty"`
}

// Write is a request to write a key if it is still at revision Expect; zero means that the key must not exist.
type Write struct {
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// Written is the response to a write that took effect.
type Written struct {
	Revision uint64 `json:"revision"`
}

// Page is the response to a list or a watch: entries in order of their keys or revisions.
type Page struct {
	Entries []Entry `json:"entries"`
	// Revision is the store's revision that the page shows.
	Revision uint64 `json:"revision"`
}

// Lease is a lease with its time to live.
type Lease struct {
	ID  uint64         `json:"id"`
	TTL units.Duration `json:"ttl"`
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host in the platform's list.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
)

// Host is one entry of the platform's list of hosts, which may be out of date.
type Host struct {
	Name       string         `json:"name"`
	Datacentre string         `json:"datacentre"`
	Peers      netip.AddrPort `json:"peers"`
	State      HostState      `json:"state"`
}

// Hosts is the platform's list of hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}
