package relay

import (
	"context"
	"net/http"
	"time"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/roster"
)

// Request is one attempt of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the path as it stands in the request line, without the query.
	Path string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// Framed says that the caller sent a body, which may be empty.
	Framed bool
	// Left is the time that the caller gives; zero means that it gave none.
	Left time.Duration
	// Origin names the host that sent the request on, empty where the caller sent it here.
	Origin string
	// Reserve is the time of the latency objective that the way between this host and the one that the caller asked takes.
	Reserve time.Duration
	// Least is the oldest version of the configuration that may decide.
	Least uint64
	// Share is the part of the limits over all hosts that the origin leaves to this host.
	Share float64
	// ShareFor is the time for which it does.
	ShareFor time.Duration
	// Shards are the places in the route's list of those that are to be asked, with Version as the configuration that they are from; none means all.
	Shards  []int
	Version uint64
}

// Reply is what a target answered to one sub-request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the target's proof that it made the answer.
	Signature string
	// NotRun says that the target states that it did not run the request.
	NotRun bool
	// Misplaced says that another target has taken over the address.
	Misplaced bool
}

// Success reports whether the reply is a whole success that can be proved.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != ""
}

// Answer is what a caller gets.
type Answer struct {
	// Fault is the reason for a refusal or failure of the system's own; nil means that the other fields hold an answer.
	Fault  *fault.Error
	Status int
	Header http.Header
	Body   []byte
	// Signature is that of a single target's answer.
	Signature string
	// Signatures are those of the parts of a merged answer.
	Signatures []string
	// Missing is the number of shards that a merged answer leaves out.
	Missing int
	// Merged says that the answer was made from parts.
	Merged bool
	// Version is that of the configuration that decided.
	Version uint64
	// Took is the time that the answer took at the host that made it.
	Took time.Duration
	// Offered says of a refusal that sub-requests came to targets, which refused them.
	Offered bool
	// Leavers are targets that have said that they leave, as far as the host that answers knows.
	Leavers []roster.Leaver
	// Aside says that the host which was asked doesn't want the request: it is starting, leaving or behind.
	Aside bool
}

// Sub says how a sub-request is sent.
type Sub struct {
	// Deadline is the time until which the target may take.
	Deadline time.Time
	// Fresh asks for a new connection.
	Fresh bool
	// Bounds are the most bytes of the answer that are read.
	Bounds pool.Bounds
	// Keep bounds the idle connections that are kept to the target.
	Keep int
	// Wanted reports whether the target may still get the sub-request, which is asked when there is a connection for it.
	Wanted func() bool
	// Heard takes what the target says of itself, as soon as the head of an answer is read.
	Heard func(Word)
}

// Helpers are other hosts that ask the shards of their data centre and merge what comes, so that only the merged records travel.
type Helpers struct {
	// Has reports whether there is one for a data centre.
	Has func(datacentre string) bool
	// Ask has the one of a data centre answer for the request's Shards; an error is a pool.Error where the exchange failed.
	Ask func(ctx context.Context, datacentre string, r *Request, deadline time.Time) (*Answer, error)
}

// Send carries a sub-request to a target once; an error is a pool.Error.
type Send func(ctx context.Context, to *roster.Entry, r *Request, s Sub) (*Reply, error)
