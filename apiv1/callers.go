package apiv1

import (
	"encoding/json"
	"fmt"
	"time"

	"kingcupcross/shard"
	"kingcupcross/units"
)

// Paths of the interface for callers.
const (
	PathQuery   = "/v1/query"
	PathOrder   = "/v1/order"
	PathTickets = "/v1/tickets"
	PathReady   = "/v1/ready"
)

// ChecksumHeader is the header with the xxHash64 checksum of the body as hexadecimal digits.
const ChecksumHeader = "Content-Sum"

// MaxTickets is the maximum number of tickets issued by one request.
const MaxTickets = 1000

// Classes maps the name of each request class to its priority. Lower numbers are served first when capacity is short.
var Classes = map[string]int{"recall": 0, "routine": 1, "bulk": 2}

// DefaultClass is the class of a request that names none.
const DefaultClass = "routine"

// Query is a request to all shards of a service.
type Query struct {
	Service string `json:"service"`
	Payload []byte `json:"payload"`
	// Deadline is the time allowed for the answer; zero means the service's setting.
	Deadline units.Duration `json:"deadline"`
	// Coverage is the minimum share of shards that must answer; nil means the service's setting.
	Coverage *float64 `json:"coverage,omitempty"`
	Class    string   `json:"class"`
}

// UnmarshalJSON decodes and validates a query.
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
	return validateRequest(q.Service, q.Class, q.Deadline)
}

// validateRequest validates the fields that queries and orders share.
func validateRequest(service, class string, deadline units.Duration) error {
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

// MissingShard is a shard without a part in an answer, with the reason.
type MissingShard struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

// Answer is the response to a query. All parts come from the same snapshot.
type Answer struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Snapshot shard.Snapshot `json:"snapshot"`
	// Shards is the number of shards of the service, Answered the number of those that answered.
	Shards   int `json:"shards"`
	Answered int `json:"answered"`
	// First is the number of sub-requests to targets that were planned at first, Extra the number of additional ones from hedges, retries and replanning.
	First   int            `json:"first"`
	Extra   int            `json:"extra"`
	Missing []MissingShard `json:"missing"`
	Parts   []Part         `json:"parts"`
}

// TicketsRequest is a request for new order tickets.
type TicketsRequest struct {
	Count int `json:"count"`
}

// UnmarshalJSON decodes and validates the request; the default count is 1.
func (t *TicketsRequest) UnmarshalJSON(b []byte) error {
	type plain TicketsRequest
	p := plain{Count: 1}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.Count < 1 || p.Count > MaxTickets {
		return fmt.Errorf("count %d: use 1 to %d", p.Count, MaxTickets)
	}
	*t = TicketsRequest(p)
	return nil
}

// TicketsResponse is the response to a request for tickets.
type TicketsResponse struct {
	Tickets []string `json:"tickets"`
}

// MaxKeyLength is the maximum length of a caller's key in bytes.
const MaxKeyLength = 256

// MaxAttempt is the highest attempt number accepted for one ticket or key.
const MaxAttempt = 1000

// Order is a request to one shard that must not run more than once.
type Order struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Payload []byte `json:"payload"`
	// Ticket was issued by a host; Key is an identifier chosen by the caller. An order with neither is always treated as new.
	Ticket string `json:"ticket,omitempty"`
	Key    string `json:"key,omitempty"`
	// Since is the time when the caller created the key; repeats must send the same key with the same time.
	Since time.Time `json:"since,omitzero"`
	// Repeat is set if the caller has sent the same ticket or key before.
	Repeat bool `json:"repeat,omitempty"`
	// Attempt starts at 1 and is incremented each time the caller retries the same ticket or key after the answer "not run".
	Attempt  int            `json:"attempt,omitempty"`
	Deadline units.Duration `json:"deadline"`
	Class    string         `json:"class"`
}

// UnmarshalJSON decodes and validates an order.
func (o *Order) UnmarshalJSON(b []byte) error {
	type plain Order
	p := plain{Class: DefaultClass, Attempt: 1}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*o = Order(p)
	if err := o.validateKey(); err != nil {
		return err
	}
	if o.Attempt < 1 || o.Attempt > MaxAttempt {
		return fmt.Errorf("attempt %d: use 1 to %d", o.Attempt, MaxAttempt)
	}
	if o.Shard < 0 {
		return fmt.Errorf("shard %d: use a number from 0", o.Shard)
	}
	return validateRequest(o.Service, o.Class, o.Deadline)
}

// validateKey validates ticket, key and since, which identify an order.
func (o *Order) validateKey() error {
	switch {
	case o.Ticket != "" && o.Key != "":
		return fmt.Errorf("give ticket or key, not both")
	case len(o.Key) > MaxKeyLength:
		return fmt.Errorf("key of %d bytes: use at most %d", len(o.Key), MaxKeyLength)
	case (o.Key != "") != !o.Since.IsZero():
		return fmt.Errorf("give since, the time when the key was made, with each key and only there")
	default:
		return nil
	}
}

// Outcome is the response to an order that ran.
type Outcome struct {
	ID      string `json:"id"`
	Target  string `json:"target"`
	Payload []byte `json:"payload"`
	// Ticket is the ticket that the order ran with; it is empty for an order with a key.
	Ticket string `json:"ticket,omitempty"`
}

// Failure is the response to every request that is refused or fails.
type Failure struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// NotRun is set if it is certain that no part of the request ran.
	NotRun bool `json:"notrun"`
	// Retry is the time to wait before a retry; zero means that a retry can't succeed.
	Retry units.Duration `json:"retry"`
	Text  string         `json:"text"`
	// Ticket is the ticket to request the order's outcome with; it is empty for queries and for orders with a key.
	Ticket string `json:"ticket,omitempty"`
}
