package front

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"kingcupcross/fault"
	"kingcupcross/relay"
	"kingcupcross/route"
	"kingcupcross/timer"
)

const (
	// answerMargin is the time between the last answer of a host that stops and the end of its process, in which the answer is sent.
	answerMargin = 100 * time.Millisecond
	// declineTime is how long requests of other hosts are at least declined before the listener closes. A connection that is open or being opened at that moment ends without an answer, and the other host can't tell whether its request has run; after this time no host asks this one.
	declineTime = time.Second
	// leavingRetryAfter is the retry delay told to callers that a host which stops refuses. The other hosts are ready for them.
	leavingRetryAfter = 10 * time.Millisecond
)

// errStopped is the cause with which the contexts of requests end that are unanswered when the process is about to end.
var errStopped = errors.New("the host stops before the request is answered")

// handleFunc answers a request.
type handleFunc func(context.Context, *relay.Request) *relay.Answer

// finisher makes sure that each request which a stopping host has read is answered before the process ends: it refuses those that may take longer, and ends those that were begun before the stop.
type finisher struct {
	clock  *timer.Clock
	config func() *route.Config
	// answerBy is the time by which requests have to be answered, nil until the host stops.
	answerBy atomic.Pointer[time.Time]
	// declines is set once requests that other hosts forward are refused, because the process may end soon.
	declines atomic.Bool
	// requests is the parent of the contexts of all requests.
	requests context.Context
	abort    context.CancelCauseFunc
}

// newFinisher returns the finisher of a host; config returns the configuration in force, nil before the first.
func newFinisher(clock *timer.Clock, config func() *route.Config) *finisher {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &finisher{
		clock:    clock,
		config:   config,
		requests: ctx,
		abort:    cancel,
	}
}

// begin starts the stop of a host whose process ends at a time.
func (n *finisher) begin(end time.Time) {
	answerBy := end.Add(-answerMargin)
	n.answerBy.Store(&answerBy)
	n.clock.AfterFunc(answerBy.Sub(n.clock.Now()), func() { n.abort(errStopped) })
}

// wrap returns a function that answers requests with inner, as long as that can't take longer than the process lives.
func (n *finisher) wrap(inner handleFunc) handleFunc {
	return func(ctx context.Context, r *relay.Request) *relay.Answer {
		if by := n.answerBy.Load(); by != nil && n.clock.Now().Add(n.timeNeeded(r)).After(*by) {
			return refuseLeaving()
		}
		a := inner(ctx, r)
		if a.Fault != nil && errors.Is(context.Cause(ctx), errStopped) {
			f := fault.New(fault.TooLate, "this host has to stop before the request is answered")
			f.Ran = true
			return &relay.Answer{Fault: f}
		}
		return a
	}
}

// wrapForwarded is wrap for requests that other hosts forward. Once declines is set it refuses all of them, which makes the other host answer the request itself.
func (n *finisher) wrapForwarded(inner handleFunc) handleFunc {
	return n.wrap(func(ctx context.Context, r *relay.Request) *relay.Answer {
		if n.declines.Load() {
			return refuseLeaving()
		}
		return inner(ctx, r)
	})
}

// refuseLeaving returns the refusal of a host that stops.
func refuseLeaving() *relay.Answer {
	return &relay.Answer{Fault: fault.New(fault.Leaving, "this host stops and may not finish the request").WithRetry(leavingRetryAfter)}
}

// timeNeeded returns the longest time that a request may take. It is zero for a request that no route matches, which is refused without work.
func (n *finisher) timeNeeded(r *relay.Request) time.Duration {
	config := n.config()
	if config == nil {
		return 0
	}
	matched := config.Match(r.Host, r.Path)
	switch {
	case matched == nil:
		return 0
	case r.TimeLeft > 0:
		return min(r.TimeLeft, matched.Timeout)
	default:
		return matched.Timeout
	}
}
