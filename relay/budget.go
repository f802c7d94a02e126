package relay

import (
	"maps"
	"math"
	"sync"
	"time"

	"kingcupcross/timer"
)

// earnFactor scales the share that a host earns. It leaves a margin for requests that the platform counts in a different window than this host does.
const earnFactor = 0.9

const (
	// burstShare is the fraction of the slack that can be spent at once. The rest is refilled over the window, so that no window exceeds the whole slack.
	burstShare = 0.75
	// budgetWindow is the period over which the platform counts extra sub-requests.
	budgetWindow = 10 * time.Second
)

// extraBudgets limits, per service, the extra sub-requests (hedges and retries) that this host may send beyond the first one of each part.
//
// The limit holds for the sum over all hosts: each host earns the share from its own requests, and the slack is divided between the hosts.
type extraBudgets struct {
	// share is the number of tokens earned per request.
	share float64
	// slack returns this host's portion of the extra sub-requests allowed per window beyond the share.
	slack func() float64
	clock *timer.Clock

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket holds the remaining budget of one service; one token pays for one extra sub-request.
type tokenBucket struct {
	left      float64
	updatedAt time.Time
}

// add adds n tokens, up to the bucket's capacity.
func (k *tokenBucket) add(n, slack float64) {
	k.left = min(k.left+n, max(burstShare*slack, 1))
}

// newExtraBudgets returns budgets that earn share, less a safety margin, per request.
func newExtraBudgets(clock *timer.Clock, share float64, slack func() float64) *extraBudgets {
	return &extraBudgets{clock: clock, share: share * earnFactor, slack: slack, buckets: map[string]*tokenBucket{}}
}

// bucket returns a service's bucket, refilled for the time since its last use. The caller must hold b.mu.
func (b *extraBudgets) bucket(service string, slack float64, now time.Time) *tokenBucket {
	k := b.buckets[service]
	if k == nil {
		k = &tokenBucket{left: burstShare * slack, updatedAt: now}
		b.buckets[service] = k
	}
	refill := (1 - burstShare) * slack * now.Sub(k.updatedAt).Seconds() / budgetWindow.Seconds()
	k.add(refill, slack)
	k.updatedAt = now
	return k
}

// earn credits each service with the share for one request.
func (b *extraBudgets) earn(services ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack, now := b.slack(), b.clock.Now()
	for _, s := range services {
		b.bucket(s, slack, now).add(b.share, slack)
	}
}

// spend takes one token from a service's bucket and reports whether there was one.
func (b *extraBudgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, b.slack(), b.clock.Now())
	if k.left < 1 {
		return false
	}
	k.left--
	return true
}

// lowest returns the smallest remaining budget of the parts' services, rounded to one decimal for the log.
func (b *extraBudgets) lowest(parts []*part) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack, now := b.slack(), b.clock.Now()
	lowest := burstShare * slack
	for _, p := range parts {
		lowest = min(lowest, b.bucket(p.service, slack, now).left)
	}
	return math.Round(10*lowest) / 10
}

// retain deletes the buckets of services that known rejects.
func (b *extraBudgets) retain(known func(string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.buckets, func(s string, _ *tokenBucket) bool { return !known(s) })
}
