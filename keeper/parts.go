package keeper

import (
	"context"
	"sync"
	"sync/atomic"

	"kingcupcross/target"
	"kingcupcross/wire"
)

// pendingAsk is an Ask in progress, which collects the results of its parts.
type pendingAsk struct {
	id string
	// parts holds the parts by target. It doesn't change once the Ask is registered.
	parts map[string]*part
	// stopExpiry stops the timer that unregisters the Ask.
	stopExpiry func() bool
	// available holds a token while there are results to take.
	available chan struct{}
	// done is closed when all parts have their results.
	done chan struct{}

	mu         sync.Mutex
	results    []wire.Result
	unfinished int
}

// newPendingAsk returns an Ask with that number of parts, none of which has its result.
func newPendingAsk(id string, parts int) *pendingAsk {
	a := &pendingAsk{
		id:         id,
		parts:      make(map[string]*part, parts),
		available:  make(chan struct{}, 1),
		done:       make(chan struct{}),
		unfinished: parts,
	}
	if parts == 0 {
		close(a.done)
	}
	return a
}

// add adds the result of a part.
func (a *pendingAsk) add(r wire.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
	a.unfinished--
	if a.unfinished == 0 {
		close(a.done)
	}
	select {
	case a.available <- struct{}{}:
	default:
	}
}

// take returns the results that were added since the last call.
func (a *pendingAsk) take() wire.AskReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := wire.AskReply{ID: a.id, Results: a.results, Pending: a.unfinished > 0}
	a.results = nil
	select {
	case <-a.available:
	default:
	}
	return r
}

// part is the request of an Ask to one target.
type part struct {
	id string
	// cancel cancels the request's context.
	cancel context.CancelFunc
	// client is the target's client, set right before the request is sent.
	client atomic.Pointer[target.Client]
	// ended is cancelled by end, once the part has its result.
	ended context.Context
	end   context.CancelFunc
}

// newPart returns a part whose request has that id and is cancelled by cancel.
func newPart(id string, cancel context.CancelFunc) *part {
	ended, end := context.WithCancel(context.Background())
	return &part{
		id:     id,
		cancel: cancel,
		ended:  ended,
		end:    func() { end(); cancel() },
	}
}
