package relay

import (
	"maps"
	"math"
	"sync"
	"time"

	"kingcupcross/timer"
)

// earnShare is the part of the allowed share that a host earns, which leaves room for requests that are counted in another window.
const earnShare = 0.9

const (
	// burstShare is the part of the slack that can be spent at once; the rest comes back over the window, so that no window gets more than all of it.
	burstShare = 0.75
	// budgetWindow is the time over which the platform counts sub-requests on top of the first ones.
	budgetWindow = 10 * time.Second
)

// budgets holds for each service the sub-requests that this host may send on top of the first ones.
//
// The bound holds for the sum over all hosts: what a host earns with its own requests adds up to the share, and the slack is divided.
type budgets struct {
	// share is earned with each request.
	share float64
	// slack is this host's part of what may be spent in a window beyond the share.
	slack func() float64
	clock *timer.Service

	mu     sync.Mutex
	tokens map[string]*tokens
}

// tokens are what is left for one service.
type tokens struct {
	left float64
	at   time.Time
}

// add gives some back, up to what can be spent at once.
func (k *tokens) add(n, slack float64) {
	k.left = min(k.left+n, max(burstShare*slack, 1))
}

func newBudgets(clock *timer.Service, share float64, slack func() float64) *budgets {
	return &budgets{clock: clock, share: share * earnShare, slack: slack, tokens: map[string]*tokens{}}
}

// of returns what is left for a service now; the lock is held.
func (b *budgets) of(service string, slack float64, now time.Time) *tokens {
	k := b.tokens[service]
	if k == nil {
		k = &tokens{left: burstShare * slack, at: now}
		b.tokens[service] = k
	}
	back := (1 - burstShare) * slack * now.Sub(k.at).Seconds() / budgetWindow.Seconds()
	k.add(back, slack)
	k.at = now
	return k
}

// earn counts one request for each service.
func (b *budgets) earn(services ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack, now := b.slack(), b.clock.Now()
	for _, s := range services {
		b.of(s, slack, now).add(b.share, slack)
	}
}

// spend takes one sub-request from a service's budget and reports whether there was one.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(service, b.slack(), b.clock.Now())
	if k.left < 1 {
		return false
	}
	k.left--
	return true
}

// least returns the smallest budget that is left for a request's services.
func (b *budgets) least(parts []*part) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack, now := b.slack(), b.clock.Now()
	least := burstShare * slack
	for _, p := range parts {
		least = min(least, b.of(p.service, slack, now).left)
	}
	return math.Round(10*least) / 10
}

// keep forgets the services that known doesn't name.
func (b *budgets) keep(known func(string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.tokens, func(s string, _ *tokens) bool { return !known(s) })
}
