package apiv1

import (
	"encoding/json"
	"fmt"
	"time"

	"kingcupcross/shard"
	"kingcupcross/units"
)

// Paths of the callers' interface.
const (
	PathQuery   = "/v1/query"
	PathOrder   = "/v1/order"
	PathTickets = "/v1/tickets"
	PathReady   = "/v1/ready"
)

// SumHeader carries the xxHash64 of the body in hexadecimal digits.
const SumHeader = "Content-Sum"

// MaxTickets is the largest number of tickets that one call mints.
const MaxTickets = 1000

// Classes of requests by name; recall goes first where there is too little room.
var Classes = map[string]int{"recall": 0, "routine": 1, "bulk": 2}

// DefaultClass is the class of a request that names none.
const DefaultClass = "routine"

// Query asks all shards of a service.
type Query struct {
	Service string `json:"service"`
	Payload []byte `json:"payload"`
	// Deadline is the time that the caller gives; zero means the service's own.
	Deadline units.Duration `json:"deadline"`
	// Coverage is the share of shards that the caller wants at least; absent means the service's own.
	Coverage *float64 `json:"coverage,omitempty"`
	Class    string   `json:"class"`
}

// UnmarshalJSON decodes a query and checks it.
func (q *Query) UnmarshalJSON(b []byte) error {
	type plain Query
	p := plain{Class: DefaultClass}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*q = Query(p)
	if q.Coverage != nil && (*q.Coverage < 0 || *q.Coverage > 1) {
		return fmt.Errorf("coverage %v: use a share from 0 to 1", *q.Coverage)
	}
	return checkRequest(q.Service, q.Class, q.Deadline)
}

func checkRequest(service, class string, deadline units.Duration) error {
	if service == "" {
		return fmt.Errorf("service must be given")
	}
	if _, known := Classes[class]; !known {
		return fmt.Errorf("class %q: use recall, routine or bulk", class)
	}
	if deadline < 0 {
		return fmt.Errorf("deadline %s: use a duration above zero, such as \"150ms\"", deadline)
	}
	return nil
}

// Part is the answer of one shard.
type Part struct {
	Shard   int    `json:"shard"`
	Payload []byte `json:"payload"`
}

// Missing names a shard without an answer and says why.
type Missing struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

// Answer answers a query; all parts come from one snapshot.
type Answer struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Snapshot shard.Snapshot `json:"snapshot"`
	// Shards is the number of shards there are, Answered the number of those that answered.
	Shards   int `json:"shards"`
	Answered int `json:"answered"`
	// First is the number of sub-requests to targets that were planned, Extra that of hedges, retries and new plans on top of them.
	First   int       `json:"first"`
	Extra   int       `json:"extra"`
	Missing []Missing `json:"missing"`
	Parts   []Part    `json:"parts"`
}

// Tickets asks for a number of tickets.
type Tickets struct {
	Count int `json:"count"`
}

// UnmarshalJSON decodes the request and checks it.
func (t *Tickets) UnmarshalJSON(b []byte) error {
	type plain Tickets
	p := plain{Count: 1}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.Count < 1 || p.Count > MaxTickets {
		return fmt.Errorf("count %d: use 1 to %d", p.Count, MaxTickets)
	}
	*t = Tickets(p)
	return nil
}

// Minted holds new tickets.
type Minted struct {
	Tickets []string `json:"tickets"`
}

// MaxKey is the largest length of a caller's key in bytes.
const MaxKey = 256

// MaxAttempt is the largest number of attempts with one ticket or key.
const MaxAttempt = 1000

// Order asks for a request that may not be repeated.
type Order struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Payload []byte `json:"payload"`
	// Ticket is one that a host minted; Key is a name of the caller's own; with neither, each order counts as a new one.
	Ticket string `json:"ticket,omitempty"`
	Key    string `json:"key,omitempty"`
	// Since is when the caller made the key; a repeat gives the same key with the same time.
	Since time.Time `json:"since,omitzero"`
	// Repeat says that the caller has sent the same ticket or key before.
	Repeat bool `json:"repeat,omitempty"`
	// Attempt counts up from one each time the caller tries the same ticket or key again after the answer "not run".
	Attempt  int            `json:"attempt,omitempty"`
	Deadline units.Duration `json:"deadline"`
	Class    string         `json:"class"`
}

// UnmarshalJSON decodes an order and checks it.
func (o *Order) UnmarshalJSON(b []byte) error {
	type plain Order
	p := plain{Class: DefaultClass, Attempt: 1}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*o = Order(p)
	if err := o.checkName(); err != nil {
		return err
	}
	if o.Attempt < 1 || o.Attempt > MaxAttempt {
		return fmt.Errorf("attempt %d: use 1 to %d", o.Attempt, MaxAttempt)
	}
	if o.Shard < 0 {
		return fmt.Errorf("shard %d: use a number from 0", o.Shard)
	}
	return checkRequest(o.Service, o.Class, o.Deadline)
}

func (o *Order) checkName() error {
	switch {
	case o.Ticket != "" && o.Key != "":
		return fmt.Errorf("give ticket or key, not both")
	case len(o.Key) > MaxKey:
		return fmt.Errorf("key of %d bytes: use at most %d", len(o.Key), MaxKey)
	case (o.Key != "") != !o.Since.IsZero():
		return fmt.Errorf("give since, the time when the key was made, with each key and only there")
	default:
		return nil
	}
}

// Outcome answers an order that ran.
type Outcome struct {
	ID      string `json:"id"`
	Target  string `json:"target"`
	Payload []byte `json:"payload"`
	// Ticket is the one that the order ran with; it is empty for an order with a key.
	Ticket string `json:"ticket,omitempty"`
}

// Failure answers every request that the system gives up on.
type Failure struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// NotRun says that it is certain that nothing of the request ran.
	NotRun bool `json:"notrun"`
	// Retry is the time after which to come back; zero means that a repeat can't succeed.
	Retry units.Duration `json:"retry"`
	Text  string         `json:"text"`
	// Ticket is the one with which the outcome of the order can be asked for; it is empty for queries and for orders with a key.
	Ticket string `json:"ticket,omitempty"`
}
