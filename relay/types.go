package relay

import (
	"context"
	"net/http"
	"time"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/roster"
)

// Request is one attempt of a caller, received from the caller or forwarded by another host.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the path of the request line without the query.
	Path string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// Framed is set if the caller sent a body, which may be empty.
	Framed bool
	// Left is the time that the caller allows, zero if it gave none.
	Left time.Duration
	// Origin is the name of the host that forwarded the request, empty if the caller sent it here.
	Origin string
	// Reserve is the part of the latency objective reserved for the transit between this host and the one that the caller asked.
	Reserve time.Duration
	// Least is the oldest configuration version that may be used for the request.
	Least uint64
	// Share is the fraction of the limits over all hosts that the origin transfers to this host.
	Share float64
	// ShareFor is how long that transfer is valid.
	ShareFor time.Duration
	// Shards are the indexes, in the route's list, of the shards to ask, and Version is the configuration version of that list. Nil means all shards.
	Shards  []int
	Version uint64
}

// Reply is a target's response to one sub-request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the target's proof that it produced the response.
	Signature string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Misplaced is set if another target has taken over the address and responded.
	Misplaced bool
}

// Success reports whether the reply has a success status and a signature.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != ""
}

// Answer is the result of a request, for its caller or for the host that forwarded it.
type Answer struct {
	// Fault is a refusal or failure by this system. If it is nil, the other fields hold the answer.
	Fault  *fault.Error
	Status int
	Header http.Header
	Body   []byte
	// Signature is the signature of a single target's reply.
	Signature string
	// Signatures are the signatures of the parts of a merged answer.
	Signatures []string
	// Missing is the number of shards that a merged answer lacks.
	Missing int
	// Merged is set if the answer was merged from parts.
	Merged bool
	// Version is the version of the configuration that was used.
	Version uint64
	// Took is the processing time at the host that made the answer.
	Took time.Duration
	// Offered is set if sub-requests reached targets. With a refusal it means that these targets refused.
	Offered bool
	// Leavers are the targets known to the answering host to have announced their shutdown.
	Leavers []roster.Leaver
	// Aside is set if the asked host declined the request because it is starting, leaving or has an outdated configuration.
	Aside bool
}

// Sub holds the options for sending a sub-request.
type Sub struct {
	// Deadline is the time until which the target may work on the sub-request.
	Deadline time.Time
	// Fresh requests a new connection.
	Fresh bool
	// Bounds limit the size of the response.
	Bounds pool.Bounds
	// Keep is the maximum number of idle connections kept to the target.
	Keep int
	// Wanted reports whether the target may still receive the sub-request. It is called once a connection is available.
	Wanted func() bool
	// Heard is called with the target's notice as soon as the headers of the response are read.
	Heard func(Word)
}

// Helpers are other hosts that query the shards in their own data centre and merge the replies, so that only the merged records are transferred.
type Helpers struct {
	// Has reports whether a host of a data centre can be asked.
	Has func(datacentre string) bool
	// Ask forwards a request for the given Shards to a host of a data centre. If the exchange failed, the error is a pool.Error.
	Ask func(ctx context.Context, datacentre string, r *Request, deadline time.Time) (*Answer, error)
}

// Send sends a sub-request to a target once. An error is a pool.Error.
type Send func(ctx context.Context, to *roster.Entry, r *Request, s Sub) (*Reply, error)
