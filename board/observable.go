package board

import (
	"sync"
	"sync/atomic"
)

// Observable holds an immutable value that is read without a lock; a writer replaces the value and notifies the goroutines that wait for a change.
type Observable[T any] struct {
	value atomic.Pointer[T]
	// mu serializes writers and guards changed.
	mu      sync.Mutex
	changed chan struct{}
}

// NewObservable returns an Observable with the initial value v.
func NewObservable[T any](v *T) *Observable[T] {
	c := &Observable[T]{changed: make(chan struct{})}
	c.value.Store(v)
	return c
}

// Load returns the current value, which must not be modified.
func (c *Observable[T]) Load() *T {
	return c.value.Load()
}

// Update calls f with the current value and replaces it with the result, unless that is nil; it reports whether the value was replaced.
func (c *Observable[T]) Update(f func(*T) *T) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := f(c.value.Load())
	if next == nil {
		return false
	}
	c.value.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the value is next replaced; call it before Load, so that no replacement between the two is missed.
func (c *Observable[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
