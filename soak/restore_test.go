package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupcross/mock"
)

const (
	// storeAway is how long the store is unreachable before it is restored.
	storeAway = 150 * time.Millisecond
	// maxRewriteDelay bounds the time after a restore in which the operator and the targets write again what they wrote.
	maxRewriteDelay = 1500 * time.Millisecond
)

// put writes a key as the operator or a target. The caller holds w.mu.
func (w *cluster) put(key string, value any) {
	w.written[key] = value
	w.store.Put(key, value)
}

// restoreStore takes the store away and brings it back from a copy that is a duration old. The operator and the targets write again after a moment.
func (w *cluster) restoreStore(r *rand.Rand, age time.Duration) {
	older := w.store.Copy()
	time.Sleep(age)
	w.store.SetMode([]mock.Mode{mock.Unavailable, mock.Silent, mock.Reset}[r.IntN(3)])
	time.Sleep(storeAway)
	w.mu.Lock()
	w.store.Restore(older)
	w.mu.Unlock()
	w.store.SetMode(mock.Healthy)
	keys := w.writtenKeys()
	for _, key := range keys {
		time.Sleep(time.Duration(r.Int64N(int64(maxRewriteDelay))) / time.Duration(len(keys)))
		w.mu.Lock()
		w.store.Put(key, w.written[key])
		w.mu.Unlock()
	}
}

// writtenKeys returns the keys that the operator and the targets have written.
func (w *cluster) writtenKeys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.written))
}
