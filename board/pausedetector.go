package board

import (
	"sync/atomic"
	"time"

	"kingcupcross/timer"
)

// HeartbeatPeriod is the interval between two heartbeats of a host's process.
const HeartbeatPeriod = 100 * time.Millisecond

// PauseThreshold is the time without a heartbeat after which a host assumes that it was paused.
const PauseThreshold = 500 * time.Millisecond

// PauseDetector detects that this process was paused, for instance by the operating system, and fences it: it must send nothing until it has rejoined its peers, which may have declared it dead meanwhile.
type PauseDetector struct {
	clock    *timer.Clock
	lastBeat atomic.Pointer[time.Time]
	// fence is twice the number of fences set so far, plus one while the last one is in force. It is a single word so that it can be checked and changed atomically: no fence is lost in between.
	fence atomic.Uint64
}

// NewPauseDetector returns a detector whose last heartbeat is now.
func NewPauseDetector(clock *timer.Clock) *PauseDetector {
	p := &PauseDetector{clock: clock}
	now := clock.Now()
	p.lastBeat.Store(&now)
	return p
}

// elapsed returns the longer of the monotonic and the wall clock time between two readings: the monotonic clock may stop while the machine is suspended, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Heartbeat records that the process runs, and sets the fence if the last heartbeat was too long ago; call it every HeartbeatPeriod.
func (p *PauseDetector) Heartbeat() {
	now := p.clock.Now()
	if elapsed(*p.lastBeat.Swap(&now), now) > PauseThreshold {
		p.Fence()
	}
}

// Fence sets the fence, so that this process may not send until it has rejoined its peers.
func (p *PauseDetector) Fence() {
	for {
		old := p.fence.Load()
		if p.fence.CompareAndSwap(old, (old|1)+2) {
			return
		}
	}
}

// MaySend reports whether the process has run without a pause since it last joined, so that it may send; check it right before each send.
func (p *PauseDetector) MaySend() bool {
	return p.fence.Load()&1 == 0 && elapsed(*p.lastBeat.Load(), p.clock.Now()) <= PauseThreshold
}

// FenceStatus returns the number of fences set so far and whether the last one is in force.
func (p *PauseDetector) FenceStatus() (number uint64, fenced bool) {
	s := p.fence.Load()
	return s >> 1, s&1 == 1
}

// ClearFence removes the fence with that number and reports whether it did; after another pause during the exchange with the peers, the number is outdated and the host stays fenced.
func (p *PauseDetector) ClearFence(number uint64) bool {
	return p.fence.CompareAndSwap(number<<1|1, number<<1)
}

// ClearCurrentFence removes the current fence; call it once the host has learned from its peers what changed during the pause.
func (p *PauseDetector) ClearCurrentFence() {
	number, _ := p.FenceStatus()
	p.ClearFence(number)
}
