package wire

import (
	"net/netip"

	"kingcupcross/shard"
)

// Link is one host's report on the link from its own data centre to another one.
type Link struct {
	// Host is the reporting host.
	Host       HostID
	Datacentre string
	// Version is incremented with each change of Down.
	Version uint64
	Down    bool
}

// AppliedSettings says which settings change a host has applied.
type AppliedSettings struct {
	Host     HostID
	Settings uint64
}

// Gossip is the payload of a probe and of its reply. Its size is bounded.
type Gossip struct {
	From Member
	// Fenced is set if the sender was paused and hasn't rejoined yet.
	Fenced bool
	// News are recently changed member records.
	News  []Member
	Marks []AppliedSettings
	Links []Link
	// Digest is a checksum of the live hosts that the sender knows.
	Digest uint64
	// Heads are the versions of the sender's settings and shard maps.
	Heads Heads
}

// Table is a host's complete membership table. It is sent to a host that joins, rejoins or has a different digest.
type Table struct {
	From    Member
	Fenced  bool
	Members []Member
	Heads   Heads
}

// Relay requests an indirect probe: the receiver probes the host at an address on behalf of a host that got no answer from it.
type Relay struct {
	Host    HostID
	Address netip.AddrPort
}

// RelayReply is the reply to Relay.
type RelayReply struct {
	// Alive is set if the host answered the probe.
	Alive bool
	// Refused is set if the host's machine refused the connection.
	Refused bool
}

// Heads identifies the newest settings and shard maps of a host.
type Heads struct {
	// Settings is the number of the last settings change.
	Settings uint64
	// Last is the id of the change with the number Settings.
	Last string
	// Maps is a checksum of the versions of the shard maps.
	Maps uint64
}

// Offer announces newer settings or shard maps of the sender.
type Offer struct {
	From  Member
	Heads Heads
	// Origin is the host that started spreading the offer in the data centre.
	Origin string
}

// Fetch requests the settings changes and shard maps that are newer than the requester's.
type Fetch struct {
	Heads Heads
	Maps  map[string]shard.Snapshot
}

// FetchReply is the reply to Fetch.
type FetchReply struct {
	// Tree is the complete settings tree, for a host that has none.
	Tree []byte
	// Changes are the settings changes in the order of the log.
	Changes [][]byte
	Maps    [][]byte
	// Split is set if the logs have diverged: the host has another change under the requester's change number. ID is the id of that change.
	Split bool
	ID    string
	// More is set if the reply was truncated to the size limit of a message.
	More bool
}
