package keeper

import (
	"slices"
	"time"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// waiter is a request that waits for room at a target.
type waiter struct {
	class    wire.Class
	deadline time.Time
	// ended gets the pass or the refusal, once.
	ended chan verdict
}

// verdict ends the wait of a request.
type verdict struct {
	pass  *pass
	fault *fault.Error
}

// queue holds the waiting requests by class and then by arrival.
type queue struct {
	waiters []*waiter
}

// put adds a waiter behind those of its class and of the classes that go first, and returns the number of waiters before it.
func (q *queue) put(w *waiter) int {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].class > w.class {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
	return i
}

// pop removes and returns the first waiter, or nil.
func (q *queue) pop() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// last returns the waiter that goes last, or nil.
func (q *queue) last() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}

// remove takes a waiter out and reports whether it was still there.
func (q *queue) remove(w *waiter) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(o *waiter) bool { return o == w })
	return len(q.waiters) < before
}

// refuse takes out the waiters for which f returns a fault, with their place, and gives it to them.
func (q *queue) refuse(f func(place int, w *waiter) *fault.Error) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if refusal := f(len(kept), w); refusal != nil {
			w.ended <- verdict{fault: refusal}
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}
