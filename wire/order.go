package wire

import (
	"time"

	"kingcupcross/fault"
)

// Ticket permits one order and is valid at the incarnation that minted it only.
type Ticket struct {
	Host     HostID
	Sequence uint64
}

// Order carries an order to the host that minted its ticket or holds its key.
type Order struct {
	Ticket  Ticket
	Service string
	Shard   int
	Class   Class
	Left    time.Duration
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
	Left    time.Duration
	Payload []byte
}

// OrderReply is the outcome of an order.
type OrderReply struct {
	Target  string
	Payload []byte
	Fault   *fault.Error
}
