package timer

import (
	"slices"
	"sync"
	"time"
)

// Manual is a clock that moves only when it is told to, for tests.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	next   uint64
	events []event
}

type event struct {
	id   uint64
	at   time.Time
	call func()
}

// NewManual returns a service that follows the returned manual clock, set to start.
func NewManual(start time.Time) (*Service, *Manual) {
	m := &Manual{now: start}
	return &Service{now: m.read, start: m.add}, m
}

func (m *Manual) read() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *Manual) add(d time.Duration, f func()) func() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	id := m.next
	m.events = append(m.events, event{id: id, at: m.now.Add(max(d, 0)), call: f})
	return func() bool { return m.remove(id) }
}

func (m *Manual) remove(id uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.events)
	m.events = slices.DeleteFunc(m.events, func(e event) bool { return e.id == id })
	return len(m.events) < before
}

// Advance moves the clock by d and makes the calls that fall due, in the order of their times.
func (m *Manual) Advance(d time.Duration) {
	end := m.read().Add(d)
	for m.step(end) {
	}
}

// Jump moves the clock by d without making any call, as a process sees it that was paused; the calls follow with the next Advance.
func (m *Manual) Jump(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

func (m *Manual) step(end time.Time) bool {
	m.mu.Lock()
	due := -1
	for i, e := range m.events {
		if e.at.After(end) {
			continue
		}
		if due < 0 || e.at.Before(m.events[due].at) {
			due = i
		}
	}
	if due < 0 {
		m.now = end
		m.mu.Unlock()
		return false
	}
	e := m.events[due]
	m.events = slices.Delete(m.events, due, due+1)
	if e.at.After(m.now) {
		m.now = e.at
	}
	m.mu.Unlock()
	e.call()
	return true
}

// Waiting returns the number of calls that are still to come.
func (m *Manual) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.events)
}

// Follow moves the clock on with another one's time, rate times as fast, until the returned function ends it.
func (m *Manual) Follow(s *Service, rate int) (stop func()) {
	tick := s.Every(time.Millisecond)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
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
		<-ended
	}
}
