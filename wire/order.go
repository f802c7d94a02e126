package wire

import (
	"time"

	"kingcupcross/fault"
)

// Ticket permits one order and is valid at the incarnation that minted it only.
type Ticket struct {
	Host HostID
	// Datacentre is that of the minting host, where its record goes when it leaves.
	Datacentre string
	Sequence   uint64
}

// Order carries an order to the host that minted its ticket.
type Order struct {
	Ticket  Ticket
	Service string
	Shard   int
	Class   Class
	Left    time.Duration
	// Attempt is raised by a caller that was told "not run" and tries the same ticket again.
	Attempt int
	Payload []byte
}

// Send carries an order from the host that runs it to the keeper of a target.
type Send struct {
	ID      string
	From    HostID
	Service string
	Shard   int
	Target  string
	Class   Class
	// Left is the time in which the order must have begun; its outcome is waited for longer.
	Left    time.Duration
	Payload []byte
}

// OrderReply is the outcome of an order.
type OrderReply struct {
	Target  string
	Payload []byte
	Fault   *fault.Error
}

// OrderRecord is what a host remembers of one ticket.
type OrderRecord struct {
	Sequence uint64
	// Digest is the xxHash64 of the order's service, shard and payload.
	Digest  uint64
	Attempt int
	Reply   OrderReply
}

// Adopt hands a page of a leaving host's records to its successor, which may tell outcomes but run nothing.
type Adopt struct {
	From HostID
	// Floor is the highest sequence whose record may be gone, Next the highest that was minted.
	Floor   uint64
	Next    uint64
	Records []OrderRecord
	// Last says that the record is complete with this page.
	Last bool
}

// Told answers a question for an adopted record.
type Told struct {
	// Known says that the asked host has adopted the record of the ticket's host.
	Known bool
	Reply OrderReply
}

// Claim asks the claimer of a document for a key.
type Claim struct {
	// Document is the store's key under which the claim stands.
	Document string
	// Digest identifies the caller's key within the document.
	Digest string
	// Ticket is the ticket, in its text form, that the key stands for if nobody claimed it before.
	Ticket string
}

// Claimed answers a claim.
type Claimed struct {
	// Ticket is the ticket that the key stands for.
	Ticket string
	Fault  *fault.Error
}
