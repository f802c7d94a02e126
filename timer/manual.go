package timer

import (
	"slices"
	"sync"
	"time"
)

// ManualClock controls a clock for tests whose time only changes by its methods.
type ManualClock struct {
	mu      sync.Mutex
	now     time.Time
	lastID  uint64
	pending []scheduledCall
}

// scheduledCall is a function that is due at a time of the clock.
type scheduledCall struct {
	id  uint64
	due time.Time
	run func()
}

// NewManualClock returns a clock that starts at the given time and the ManualClock that controls it.
func NewManualClock(start time.Time) (*Clock, *ManualClock) {
	m := &ManualClock{now: start}
	return &Clock{now: m.currentTime, schedule: m.schedule}, m
}

func (m *ManualClock) currentTime() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *ManualClock) schedule(d time.Duration, f func()) func() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	id := m.lastID
	m.pending = append(m.pending, scheduledCall{id: id, due: m.now.Add(max(d, 0)), run: f})
	return func() bool { return m.cancel(id) }
}

func (m *ManualClock) cancel(id uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.pending)
	m.pending = slices.DeleteFunc(m.pending, func(e scheduledCall) bool { return e.id == id })
	return len(m.pending) < before
}

// Advance moves the clock forward by d and makes the scheduled calls that become due, in order of their times.
func (m *ManualClock) Advance(d time.Duration) {
	end := m.currentTime().Add(d)
	for m.runNext(end) {
	}
}

// AdvanceWithoutCalls moves the clock forward by d without making any call, as if the process had been paused; the next Advance makes them.
func (m *ManualClock) AdvanceWithoutCalls(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

// runNext makes the earliest call that is due by end, with the clock at its time; without one it sets the clock to end and returns false.
func (m *ManualClock) runNext(end time.Time) bool {
	m.mu.Lock()
	earliest := -1
	for i, c := range m.pending {
		if c.due.After(end) {
			continue
		}
		if earliest < 0 || c.due.Before(m.pending[earliest].due) {
			earliest = i
		}
	}
	if earliest < 0 {
		m.now = end
		m.mu.Unlock()
		return false
	}
	c := m.pending[earliest]
	m.pending = slices.Delete(m.pending, earliest, earliest+1)
	if c.due.After(m.now) {
		m.now = c.due
	}
	m.mu.Unlock()
	c.run()
	return true
}

// PendingCalls returns the number of scheduled calls that haven't been made yet.
func (m *ManualClock) PendingCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

// Follow advances the clock along with another one, rate times as fast, until the returned function is called.
func (m *ManualClock) Follow(s *Clock, rate int) (stop func()) {
	tick := s.Every(time.Millisecond)
	done, exited := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(exited)
		last := s.Now()
		for {
			select {
			case now := <-tick.C:
				m.Advance(time.Duration(rate) * now.Sub(last))
				last = now
			case <-done:
				return
			}
		}
	}()
	return func() {
		tick.Stop()
		close(done)
		<-exited
	}
}
