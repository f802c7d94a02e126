package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"kingcupcross/fault"
	"kingcupcross/poison"
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
	// HasBody is set if the caller sent a body, which may be empty.
	HasBody bool
	// TimeLeft is the time that the caller allows, zero if it gave none.
	TimeLeft time.Duration
	// Origin is the name of the host that forwarded the request, empty if the caller sent it here.
	Origin string
	// TransitTime is the part of the latency objective reserved for the transit between this host and the one that the caller asked.
	TransitTime time.Duration
	// AttemptsUsed is the number of targets that the request may have reached already, per part, at a host that has lost its way to them.
	AttemptsUsed int
	// MinVersion is the oldest configuration version that may be used for the request.
	MinVersion uint64
	// LimitsShare is the fraction of the limits over all hosts that the origin transfers to this host.
	LimitsShare float64
	// LimitsShareTTL is how long that transfer is valid.
	LimitsShareTTL time.Duration
	// Shards are the indexes, in the route's list, of the shards to ask, and Version is the configuration version of that list. Nil means all shards.
	Shards  []int
	Version uint64
}

// Digest identifies the content of the request, which is the same for all attempts of all callers with the same credentials.
func (r *Request) Digest() poison.Digest {
	return poison.DigestOf(r.Method, r.Host, r.URI, r.Header.Get("Authorization"), r.Body)
}

// Reply is a target's response to one sub-request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the target's signature, which proves that it produced the response.
	Signature string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if another target has taken over the address and responded.
	WrongTarget bool
}

// Success reports whether the reply has a success status and a signature.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != ""
}

// describeFailure describes a reply that isn't a success, for the text of a fault.
func (r *Reply) describeFailure() string {
	switch {
	case r.WrongTarget:
		return fmt.Sprintf("status %d of another target at its address", r.Status)
	case r.NotRun:
		return fmt.Sprintf("status %d, not run", r.Status)
	case r.Signature == "":
		return fmt.Sprintf("status %d without a signature", r.Status)
	default:
		return fmt.Sprintf("status %d", r.Status)
	}
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
	// ReachedTargets is set if sub-requests may have reached targets. In a refusal it means that targets refused the request, not only this host.
	ReachedTargets bool
	// LeavingTargets are the targets known to the answering host to have announced their shutdown.
	LeavingTargets []roster.Leaver
	// PathLost is set if the request waited for targets to which this host has lost its way. Another host may answer it.
	PathLost bool
	// AttemptsUsed is, with PathLost, the number of targets that a part of the request may have reached already.
	AttemptsUsed int
	// Declined is set if the asked host declined the request because it is starting, leaving, has an outdated configuration or no way to the targets.
	Declined bool
}

// SendOptions holds the options for sending a sub-request.
type SendOptions struct {
	// Deadline is the time until which the target may work on the sub-request.
	Deadline time.Time
	// NewConn requests a new connection.
	NewConn bool
	// Bounds limit the size of the response.
	Bounds pool.Bounds
	// MaxIdleConns is the maximum number of idle connections kept to the target.
	MaxIdleConns int
	// StillAllowed reports whether the target may still receive the sub-request. It is called once a connection is available.
	StillAllowed func() bool
	// OnNotice is called with the target's notice as soon as the headers of the response are read.
	OnNotice func(TargetNotice)
}

// Delegates are other hosts that query the shards in their own data centre and merge the replies, so that only the merged records are transferred.
type Delegates struct {
	// Available reports whether a host of a data centre can be asked.
	Available func(datacentre string) bool
	// Forward forwards a request for the given Shards to a host of a data centre. If the exchange failed, the error is a pool.Error.
	Forward func(ctx context.Context, datacentre string, r *Request, deadline time.Time) (*Answer, error)
}

// SendFunc sends a sub-request to a target once. An error is a pool.Error.
type SendFunc func(ctx context.Context, to *roster.Entry, r *Request, s SendOptions) (*Reply, error)
