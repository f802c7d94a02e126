package wire

import (
	"net/netip"

	"kingcupcross/shard"
)

// Link is what one host says of its data centre's link to another one.
type Link struct {
	Host       HostID
	Datacentre string
	// Version grows with each change of Down.
	Version uint64
	Down    bool
}

// Mark says which settings change a host has in force.
type Mark struct {
	Host     HostID
	Settings uint64
}

// Gossip is what two hosts tell each other in a probe and in its answer; its size is bounded.
type Gossip struct {
	From Member
	// Fenced says that the sender was paused and hasn't rejoined.
	Fenced bool
	News   []Member
	Marks  []Mark
	Links  []Link
	// Digest is a checksum of the living hosts that the sender knows.
	Digest uint64
	// Heads says which settings and shard maps the sender has.
	Heads Heads
}

// Table is all that a host knows of the others, for a host that joins, rejoins or finds its digest to differ.
type Table struct {
	From    Member
	Fenced  bool
	Members []Member
	Heads   Heads
}

// Relay asks for a probe of the host at an address, on behalf of a host that got no answer from it.
type Relay struct {
	Host    HostID
	Address netip.AddrPort
}

// Relayed answers Relay.
type Relayed struct {
	Alive   bool
	Refused bool
}

// Heads names the newest settings and shard maps of a host.
type Heads struct {
	Settings uint64
	// Last is the id of the change numbered Settings.
	Last string
	// Maps is a checksum of the shard maps' versions.
	Maps uint64
}

// Offer tells a host that the sender has newer settings or shard maps.
type Offer struct {
	From  Member
	Heads Heads
	// Origin is the host from which the offer spreads through a data centre.
	Origin string
}

// Fetch asks a host for what it has beyond the asker's heads.
type Fetch struct {
	Heads Heads
	Maps  map[string]shard.Snapshot
}

// Fetched answers Fetch with the changes in order as they stand in the log, or with a whole tree for a host that has none.
type Fetched struct {
	Tree    []byte
	Changes [][]byte
	Maps    [][]byte
	// Split says that the host has another change under the asker's number; ID is that change's.
	Split bool
	ID    string
	// More says that the answer was cut to the size of one message.
	More bool
}
