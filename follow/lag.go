package follow

import (
	"sync"
	"time"

	"kingcupcross/epoch"
)

// lagLogThreshold is how long the targets have to be behind the store before that is logged.
const lagLogThreshold = 1500 * time.Millisecond

// revisionLag compares the store revision that the view of the targets is from with the newest revision that the store is known to have.
//
// A revision counts changes of any key, so a view that is behind is not necessarily wrong.
type revisionLag struct {
	mu sync.Mutex
	// storeRevision is the newest known revision of the store, targetsRevision the one that the view of the targets is from.
	storeRevision, targetsRevision epoch.Revision
	// since is the time at which storeRevision was first seen above targetsRevision, zero while it isn't.
	since time.Time
	// logged is set once the present lag has been logged.
	logged bool
}

// observeStore records a revision that the store has and reports whether the targets are behind it.
func (b *revisionLag) observeStore(revision epoch.Revision, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeRevision = laterOf(b.storeRevision, revision)
	if b.targetsRevision.Before(b.storeRevision) && b.since.IsZero() {
		b.since = now
	}
	return !b.since.IsZero()
}

// observeTargets records the revision that the targets are from. It returns how long they have been behind, and whether the start or the end of that lag should be logged.
func (b *revisionLag) observeTargets(revision epoch.Revision, now time.Time) (lag time.Duration, shouldLog bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetsRevision = laterOf(b.targetsRevision, revision)
	if b.since.IsZero() {
		return 0, false
	}
	lag = now.Sub(b.since)
	if !b.targetsRevision.Before(b.storeRevision) {
		shouldLog, b.logged, b.since = b.logged, false, time.Time{}
		return lag, shouldLog
	}
	shouldLog = lag >= lagLogThreshold && !b.logged
	b.logged = b.logged || shouldLog
	return lag, shouldLog
}

// isBehind reports whether the targets are known to be behind the store.
func (b *revisionLag) isBehind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.since.IsZero()
}

// lag returns how long the targets have been known to be behind the store.
func (b *revisionLag) lag(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		return 0
	}
	return now.Sub(b.since)
}

// revisions returns the newest known revision of the store and the revision that the targets are from.
func (b *revisionLag) revisions() (store, targets epoch.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeRevision, b.targetsRevision
}

// laterOf returns the later of two revisions.
func laterOf(a, b epoch.Revision) epoch.Revision {
	if a.Before(b) {
		return b
	}
	return a
}
