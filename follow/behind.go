package follow

import (
	"sync"
	"time"
)

// behindLine is the time after which targets that are behind the store are worth a line in the log.
const behindLine = 1500 * time.Millisecond

// behind compares the revision that the targets are from with the newest one that the store is known to have.
//
// Revisions count changes of any key, so targets that are behind needn't be wrong.
type behind struct {
	mu sync.Mutex
	// store is the newest revision of the store that is known, shown the one that the targets are from.
	store, shown uint64
	// since is the time at which store became known to be above shown, zero while it isn't.
	since time.Time
	// told says that a line was written.
	told bool
}

// heard notes a revision that the store has and reports whether the targets are behind it.
func (b *behind) heard(revision uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store = max(b.store, revision)
	if b.store > b.shown && b.since.IsZero() {
		b.since = now
	}
	return !b.since.IsZero()
}

// shows notes the revision that the targets are from; lag is the time for which they have been behind, and news says that it is worth a line.
func (b *behind) shows(revision uint64, now time.Time) (lag time.Duration, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shown = max(b.shown, revision)
	if b.since.IsZero() {
		return 0, false
	}
	lag = now.Sub(b.since)
	if b.shown >= b.store {
		news, b.told, b.since = b.told, false, time.Time{}
		return lag, news
	}
	news = lag >= behindLine && !b.told
	b.told = b.told || news
	return lag, news
}

// is reports whether the targets are known to be behind the store.
func (b *behind) is() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.since.IsZero()
}

// lag returns the time for which the targets have been known to be behind the store.
func (b *behind) lag(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		return 0
	}
	return now.Sub(b.since)
}

// revisions returns the store's newest known revision and the one that the targets are from.
func (b *behind) revisions() (store, shown uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.store, b.shown
}
