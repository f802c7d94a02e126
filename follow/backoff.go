package follow

import (
	"context"
	"math/rand/v2"
	"time"
)

// If every host read the store, the store's load would grow with the number of hosts, most of all when all hosts start or lose the store at once. So a host that can read the views of other hosts tries these before it asks the store, and the hosts of a data centre spread out their attempts to reach a store that doesn't answer.

const (
	// startWait is how long a host that has started waits for the views of other hosts before it asks the store; up to half of it is added at random. The hosts that read the store for others have their views after a few calls.
	startWait = 200 * time.Millisecond
	// firstStartWait replaces startWait when the whole fleet starts for the first time: the hosts have to learn of each other first, and callers come only seconds later.
	firstStartWait = 4 * time.Second
	// startRetryPeriod is the time between two attempts to read from other hosts at the start.
	startRetryPeriod = 40 * time.Millisecond
	// fallbackSpacing is the mean time between the reads of two hosts of a data centre that turn to the store because the hosts they read from no longer have current views; maxFallbackDelay limits the mean delay of one host, so that it stays within the propagation limit.
	fallbackSpacing  = 20 * time.Millisecond
	maxFallbackDelay = 500 * time.Millisecond
	// retrySpacing is the mean time between the attempts of two hosts of a data centre to reach a store that gave no answer; maxRetryDelay limits the mean delay of one host.
	retrySpacing  = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// HostGroup describes the hosts of this host's data centre, which need the same data from the store.
type HostGroup struct {
	// IsReader reports whether this host reads the store on behalf of others.
	IsReader func() bool
	// Size returns the number of hosts of the data centre.
	Size func() int
}

// SetHostGroup makes this host ask the store only after the hosts that it can read from; first is set if the whole fleet starts for the first time. It has to be called before the follower runs.
func (f *Follower) SetHostGroup(g HostGroup, first bool) {
	f.hostGroup = g
	f.storeAllowed = make(chan struct{})
	f.startWaitLimit = startWait
	if first {
		f.startWaitLimit = firstStartWait
	}
}

// awaitStoreAllowed waits until this host may ask the store after its start.
func (f *Follower) awaitStoreAllowed(ctx context.Context) {
	if f.storeAllowed == nil {
		return
	}
	select {
	case <-f.storeAllowed:
	case <-ctx.Done():
	}
}

// readPeersAtStart reads the views of other hosts right after the start. It allows this host to ask the store once it has such views whole, reads the store for others, or has waited for startWaitLimit and the jitter.
func (f *Follower) readPeersAtStart(ctx context.Context, feed Feed) {
	if f.storeAllowed == nil {
		return
	}
	jitter := time.Duration(rand.Float64() * float64(f.startWaitLimit) / 2)
	limited, cancel := f.clock.WithTimeout(ctx, f.startWaitLimit+jitter)
	defer cancel()
	defer close(f.storeAllowed)
	for limited.Err() == nil && !f.hostGroup.IsReader() {
		// A source that is starting too may have only a part of its views.
		if f.readFromSource(limited, feed) && f.Ready() {
			return
		}
		// Sleep fails only once limited has ended, which the loop condition checks.
		_ = f.clock.Sleep(limited, startRetryPeriod)
	}
	if !f.Ready() {
		f.fedUntil.Store(0)
	}
}

// backingOff reports whether a backoff keeps this host from asking the store at present.
func (f *Follower) backingOff() bool {
	return f.sinceEpoch(f.clock.Now()) < f.backoffUntil.Load()
}

// backOff keeps this host from asking the store for a random time with a mean of spacing per host of the data centre, but at most maxMean. A host that reads the store for others doesn't back off.
func (f *Follower) backOff(spacing, maxMean time.Duration) {
	if f.storeAllowed == nil || f.hostGroup.IsReader() {
		return
	}
	mean := min(time.Duration(f.hostGroup.Size())*spacing, maxMean)
	wait := time.Duration((0.5 + rand.Float64()) * float64(mean))
	f.backoffUntil.Store(f.sinceEpoch(f.clock.Now().Add(wait)))
}
