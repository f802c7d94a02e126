package board

import (
	"sync"
	"sync/atomic"
)

// Cell holds one immutable value: readers take no lock, writers replace the value whole and wake those who wait.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// NewCell returns a cell with a first value.
func NewCell[T any](v *T) *Cell[T] {
	c := &Cell[T]{changed: make(chan struct{})}
	c.value.Store(v)
	return c
}

// Load returns the value, which must not be changed.
func (c *Cell[T]) Load() *T {
	return c.value.Load()
}

// Update replaces the value with what f makes of it, unless f returns nil, and reports whether it did.
func (c *Cell[T]) Update(f func(*T) *T) bool {
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

// Changed returns a channel that is closed at the next replacement; it is to be taken before the value is read.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
