package follow

import (
	"context"
	"math/rand/v2"
	"time"
)

// A fleet that reads the store host by host asks it the more the larger it is, most of all when all hosts start or lose it together. So a host that others can feed asks only after them, and hosts of a data centre share what they ask of a store that doesn't answer.

const (
	// startTurn is how long a host that has started waits for views of other hosts before it asks the store: those that feed others have them after a few calls.
	startTurn = 200 * time.Millisecond
	// firstTurn is the same when the whole fleet starts for the first time: hosts have to learn of each other, and callers come seconds later.
	firstTurn = 4 * time.Second
	// startRetry is the time between two tries to get them.
	startRetry = 40 * time.Millisecond
	// turnEach is the time between two hosts of a data centre that ask the store because those that fed them no longer hear of it; turnMost bounds the mean wait, within what is left of the bound on news.
	turnEach = 20 * time.Millisecond
	turnMost = 500 * time.Millisecond
	// retryEach is the time between two hosts of a data centre that try a store again which gave no answer; retryMost bounds the mean wait.
	retryEach = 100 * time.Millisecond
	retryMost = 3 * time.Second
)

// Crowd is what a host knows of those that need the same news.
type Crowd struct {
	// Reads reports whether this host reads the store for others.
	Reads func() bool
	// Size returns the number of hosts of the data centre.
	Size func() int
}

// SetCrowd has this host ask the store after those that feed it; first says that the whole fleet starts for the first time. It is to be called before the follower runs.
func (f *Follower) SetCrowd(c Crowd, first bool) {
	f.crowd = c
	f.turn = make(chan struct{})
	f.turnLimit = startTurn
	if first {
		f.turnLimit = firstTurn
	}
}

// awaitTurn waits until this host may ask the store after its start.
func (f *Follower) awaitTurn(ctx context.Context) {
	if f.turn == nil {
		return
	}
	select {
	case <-f.turn:
	case <-ctx.Done():
	}
}

// takeTurn reads views of other hosts right after the start, and lets this host ask the store once it is fed, reads for others, or has waited long enough.
func (f *Follower) takeTurn(ctx context.Context, feed Feed) {
	if f.turn == nil {
		return
	}
	spread := time.Duration(rand.Float64() * float64(f.turnLimit) / 2)
	limited, cancel := f.clock.WithTimeout(ctx, f.turnLimit+spread)
	defer cancel()
	defer close(f.turn)
	for limited.Err() == nil && !f.crowd.Reads() {
		if f.readOne(limited, feed) {
			return
		}
		// The error says that the time is over, which the loop sees.
		_ = f.clock.Sleep(limited, startRetry)
	}
}

// waits reports whether the store is left to other hosts for a moment.
func (f *Follower) waits() bool {
	return f.stamp(f.clock.Now()) < f.waitUntil.Load()
}

// giveWay leaves the store to other hosts for a random time, so that those of the data centre are apart by each on average; most bounds the mean wait.
func (f *Follower) giveWay(each, most time.Duration) {
	if f.turn == nil || f.crowd.Reads() {
		return
	}
	mean := min(time.Duration(f.crowd.Size())*each, most)
	wait := time.Duration((0.5 + rand.Float64()) * float64(mean))
	f.waitUntil.Store(f.stamp(f.clock.Now().Add(wait)))
}
