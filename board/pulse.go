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
	clock  *timer.Service
	last   atomic.Int64
	fenced atomic.Bool
}

// NewPulse returns a pulse that has just beaten.
func NewPulse(clock *timer.Service) *Pulse {
	p := &Pulse{clock: clock}
	p.last.Store(clock.Now().UnixNano())
	return p
}

// Beat notes that the process runs; it is to be called each PulsePeriod.
func (p *Pulse) Beat() {
	now := p.clock.Now().UnixNano()
	if now-p.last.Swap(now) > int64(PulseLimit) {
		p.fenced.Store(true)
	}
}

// Awake reports whether the process has run without a pause since it last joined; it is to be asked right before each send.
func (p *Pulse) Awake() bool {
	return !p.fenced.Load() && p.clock.Now().UnixNano()-p.last.Load() <= int64(PulseLimit)
}

// Rejoin ends the effect of a pause, once the peers have told what happened meanwhile.
func (p *Pulse) Rejoin() {
	p.last.Store(p.clock.Now().UnixNano())
	p.fenced.Store(false)
}
