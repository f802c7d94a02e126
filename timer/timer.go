package timer

import (
	"context"
	"sync"
	"time"
)

// Service tells the time and wakes its subscribers.
type Service struct {
	now   func() time.Time
	start func(time.Duration, func()) (stop func() bool)
}

// New returns a service that follows the system's clock.
func New() *Service {
	return &Service{
		now: time.Now,
		start: func(d time.Duration, f func()) func() bool {
			return time.AfterFunc(d, f).Stop
		},
	}
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	return s.now()
}

// Since returns the time that has passed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.now().Sub(t)
}

// AfterFunc calls f once d has passed, unless the returned stop function is called before; stop reports whether it prevented the call.
func (s *Service) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return s.start(d, f)
}

// After returns a channel that gets the time once d has passed.
func (s *Service) After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	s.start(d, func() { c <- s.now() })
	return c
}

// Sleep waits for d and returns the context's error when that ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	c := make(chan struct{})
	stop := s.start(d, func() { close(c) })
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}

// WithTimeout returns a context that ends with context.DeadlineExceeded as its cause once d has passed.
func (s *Service) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := s.start(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Ticker delivers ticks to one subscriber and drops those that the subscriber is too slow for.
type Ticker struct {
	C <-chan time.Time

	mu   sync.Mutex
	stop func() bool
	done bool
}

// Every subscribes to a tick each d; d must be positive.
func (s *Service) Every(d time.Duration) *Ticker {
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
			t.stop = s.start(d, tick)
		}
	}
	t.mu.Lock()
	t.stop = s.start(d, tick)
	t.mu.Unlock()
	return t
}

// Stop ends the subscription.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.stop()
}
