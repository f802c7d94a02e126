package timer

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time and schedules calls, tickers and timeouts.
type Clock struct {
	now func() time.Time
	// schedule calls a function after a delay; stop cancels the call and reports whether it did.
	schedule func(time.Duration, func()) (stop func() bool)
}

// New returns a clock that follows the system clock.
func New() *Clock {
	return &Clock{
		now: time.Now,
		schedule: func(d time.Duration, f func()) func() bool {
			return time.AfterFunc(d, f).Stop
		},
	}
}

// Now returns the current time.
func (s *Clock) Now() time.Time {
	return s.now()
}

// Since returns the time that has passed since t.
func (s *Clock) Since(t time.Time) time.Duration {
	return s.now().Sub(t)
}

// AfterFunc calls f after d, unless the returned stop function is called first; stop reports whether it prevented the call.
func (s *Clock) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return s.schedule(d, f)
}

// After returns a channel that receives the time after d.
func (s *Clock) After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	s.schedule(d, func() { c <- s.now() })
	return c
}

// Sleep waits for d, or returns the context's error if the context ends first.
func (s *Clock) Sleep(ctx context.Context, d time.Duration) error {
	c := make(chan struct{})
	stop := s.schedule(d, func() { close(c) })
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}

// WithTimeout returns a context that ends after d; its cause is then context.DeadlineExceeded, but its error context.Canceled.
func (s *Clock) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := s.schedule(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Ticker sends the time on C at regular intervals and drops ticks if the receiver is too slow.
type Ticker struct {
	C <-chan time.Time

	mu   sync.Mutex
	stop func() bool
	done bool
}

// Every returns a ticker with interval d, which must be positive.
func (s *Clock) Every(d time.Duration) *Ticker {
	c := make(chan time.Time, 1)
	t := &Ticker{C: c}
	var tick func()
	tick = func() {
		select {
		case c <- s.now():
		default:
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.done {
			t.stop = s.schedule(d, tick)
		}
	}
	t.mu.Lock()
	t.stop = s.schedule(d, tick)
	t.mu.Unlock()
	return t
}

// Stop stops the ticker; it doesn't close C.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.stop()
}
