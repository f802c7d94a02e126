package query

import (
	"sync"
	"time"
)

// Limits of a budget, in sub-requests.
const (
	budgetStart = 30
	budgetMax   = 100
	// budgetReserve is kept for the sub-requests that are very late.
	budgetReserve = 20
)

// budget holds the extra sub-requests that may be sent: each planned one earns a share, each extra one costs one.
type budget struct {
	// floor is what is earned per second without any load.
	floor float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBudget(now time.Time, floor float64) *budget {
	return &budget{floor: floor, tokens: budgetStart, last: now}
}

// earn adds the share of n planned sub-requests.
func (b *budget) earn(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(n)*share, budgetMax)
}

// spend takes one extra sub-request from the budget and reports whether there was room above the reserve.
func (b *budget) spend(now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.floor*now.Sub(b.last).Seconds(), budgetMax)
	b.last = now
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
