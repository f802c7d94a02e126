package board

import (
	"sync/atomic"
	"time"

	"kingcupcross/timer"
)

// PulsePeriod is the time between two beats of a host's pulse.
const PulsePeriod = 100 * time.Millisecond

// PulseLimit is the gap between beats from which a host counts itself as paused.
const PulseLimit = 500 * time.Millisecond

// Pulse tells whether this process was paused: a paused process sends nothing until it has rejoined its peers.
type Pulse struct {
	clock *timer.Service
	last  atomic.Pointer[time.Time]
	// state is twice the number of fences so far, plus one while the fence stands; one word, so that a fence can't be lost between a check and a store.
	state atomic.Uint64
}

// NewPulse returns a pulse that has just beaten.
func NewPulse(clock *timer.Service) *Pulse {
	p := &Pulse{clock: clock}
	now := clock.Now()
	p.last.Store(&now)
	return p
}

// gap is the longer of the monotonic and the wall time between two readings: a suspended machine may stop the one, a clock that is set back the other.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Beat notes that the process runs; it is to be called each PulsePeriod.
func (p *Pulse) Beat() {
	now := p.clock.Now()
	if gap(*p.last.Swap(&now), now) > PulseLimit {
		p.Fence()
	}
}

// Fence makes Awake false until the host rejoins.
func (p *Pulse) Fence() {
	for {
		old := p.state.Load()
		if p.state.CompareAndSwap(old, (old|1)+2) {
			return
		}
	}
}

// Awake reports whether the process has run without a pause since it last joined; it is to be asked right before each send.
func (p *Pulse) Awake() bool {
	return p.state.Load()&1 == 0 && gap(*p.last.Load(), p.clock.Now()) <= PulseLimit
}

// Fences returns the number of fences so far and whether one stands.
func (p *Pulse) Fences() (number uint64, standing bool) {
	s := p.state.Load()
	return s >> 1, s&1 == 1
}

// RejoinAfter ends the fence of that number and reports whether it did: a pause that came during the exchange with the peers keeps the host fenced.
func (p *Pulse) RejoinAfter(number uint64) bool {
	return p.state.CompareAndSwap(number<<1|1, number<<1)
}

// Rejoin ends the effect of a pause, once the peers have told what happened meanwhile.
func (p *Pulse) Rejoin() {
	number, _ := p.Fences()
	p.RejoinAfter(number)
}
