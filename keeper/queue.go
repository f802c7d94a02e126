package keeper

import (
	"slices"
	"time"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// waiter is a request that waits for a slot of a target.
type waiter struct {
	class    wire.Class
	deadline time.Time
	// result receives the permit or the refusal, exactly once.
	result chan waitResult
}

// waitResult is the outcome of a request's wait: a permit or a refusal.
type waitResult struct {
	permit *permit
	fault  *fault.Error
}

// queue holds the waiting requests ordered by class and then by arrival.
type queue struct {
	waiters []*waiter
}

// insert adds a waiter behind those of its class and of higher classes and returns its position.
func (q *queue) insert(w *waiter) int {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].class > w.class {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
	return i
}

// pop removes and returns the first waiter, or nil if there is none.
func (q *queue) pop() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// last returns the last waiter, or nil if there is none.
func (q *queue) last() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}

// remove removes a waiter and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(o *waiter) bool { return o == w })
	return len(q.waiters) < before
}

// refuseWhere removes the waiters for which f returns a fault and sends them that fault. f gets the waiter's position.
func (q *queue) refuseWhere(f func(position int, w *waiter) *fault.Error) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if refusal := f(len(kept), w); refusal != nil {
			w.result <- waitResult{fault: refusal}
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}
