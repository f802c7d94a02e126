package wire

import (
	"time"

	"kingcupcross/fault"
)

// Ticket permits one order. It is valid only at the incarnation of the host that issued it.
type Ticket struct {
	Host HostID
	// Datacentre is the data centre of the issuing host, to which the host's records are handed over when it leaves.
	Datacentre string
	Sequence   uint64
}

// Order carries an order to the host that issued its ticket.
type Order struct {
	Ticket  Ticket
	Service string
	Shard   int
	Class   Class
	// Left is the remaining time until the deadline.
	Left time.Duration
	// Attempt is incremented by a caller that was told "not run" and uses the same ticket again.
	Attempt int
	Payload []byte
}

// Send carries an order from the host that executes it to the keeper of a target.
type Send struct {
	ID      string
	From    HostID
	Service string
	Shard   int
	Target  string
	Class   Class
	// Left is the time within which the target must start the order. The outcome may take longer.
	Left    time.Duration
	Payload []byte
}

// OrderReply is the outcome of an order.
type OrderReply struct {
	Target  string
	Payload []byte
	Fault   *fault.Error
}

// OrderRecord is a host's record of one ticket.
type OrderRecord struct {
	Sequence uint64
	// Digest is the xxHash64 of the order's service, shard and payload.
	Digest  uint64
	Attempt int
	Reply   OrderReply
}

// Adopt transfers a page of a leaving host's records to its successor. The successor may report outcomes but must not execute orders.
type Adopt struct {
	From HostID
	// Floor is the highest sequence whose record may have been discarded, Next the highest sequence issued.
	Floor   uint64
	Next    uint64
	Records []OrderRecord
	// Last is set on the last page.
	Last bool
}

// TellReply is the reply to a request for an adopted record.
type TellReply struct {
	// Known is set if the answering host has adopted the records of the ticket's host.
	Known bool
	Reply OrderReply
}

// Claim requests a caller's key from the host that serves the claims of a document.
type Claim struct {
	// Document is the key in the store that holds the claim.
	Document string
	// Digest identifies the caller's key within the document.
	Digest string
	// Ticket is the ticket, as text, that is assigned to the key unless it was claimed before.
	Ticket string
}

// ClaimReply is the reply to Claim.
type ClaimReply struct {
	// Ticket is the ticket that is assigned to the key.
	Ticket string
	Fault  *fault.Error
}
