package query

import (
	"sync"
	"time"
)

// Bounds of a budget, in sub-requests.
const (
	initialBudget = 30
	maxBudget     = 100
	// urgentReserve is the part of the hedge budget that only hedges of very late sub-requests may use.
	urgentReserve = 20
)

// budget is a token bucket that limits additional sub-requests: each planned sub-request earns a fraction of a token and
// each additional one costs a token.
type budget struct {
	// earnPerSecond is the number of tokens earned per second regardless of load.
	earnPerSecond float64

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

func newBudget(now time.Time, earnPerSecond float64) *budget {
	return &budget{earnPerSecond: earnPerSecond, tokens: initialBudget, updatedAt: now}
}

// earn adds share tokens for each of n planned sub-requests.
func (b *budget) earn(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(n)*share, maxBudget)
}

// spend takes one token and reports true, unless that would leave less than the reserve.
func (b *budget) spend(now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.earnPerSecond*now.Sub(b.updatedAt).Seconds(), maxBudget)
	b.updatedAt = now
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
