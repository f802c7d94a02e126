package keeper

import (
	"context"
	"sync"
	"sync/atomic"

	"kingcupcross/target"
	"kingcupcross/wire"
)

// ask is one Ask under way; results are added as parts end.
type ask struct {
	id string
	// parts is not changed once the Ask is under way.
	parts map[string]*part
	// lapse stops the timer that forgets the Ask.
	lapse func() bool
	// news holds a token while results wait to be taken.
	news chan struct{}
	done chan struct{}

	mu      sync.Mutex
	results []wire.Result
	left    int
}

func newAsk(id string, parts int) *ask {
	a := &ask{
		id:    id,
		parts: make(map[string]*part, parts),
		news:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		left:  parts,
	}
	if parts == 0 {
		close(a.done)
	}
	return a
}

func (a *ask) add(r wire.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
	a.left--
	if a.left == 0 {
		close(a.done)
	}
	select {
	case a.news <- struct{}{}:
	default:
	}
}

// take hands out each result once.
func (a *ask) take() wire.AskReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := wire.AskReply{ID: a.id, Results: a.results, Pending: a.left > 0}
	a.results = nil
	select {
	case <-a.news:
	default:
	}
	return r
}

// part is one sub-request of an Ask.
type part struct {
	id     string
	cancel context.CancelFunc
	// client is set once the sub-request is sent.
	client atomic.Pointer[target.Client]
	// ended is done once the part has its result.
	ended context.Context
	end   context.CancelFunc
}

func newPart(id string, cancel context.CancelFunc) *part {
	ended, end := context.WithCancel(context.Background())
	return &part{
		id:     id,
		cancel: cancel,
		ended:  ended,
		end:    func() { end(); cancel() },
	}
}
