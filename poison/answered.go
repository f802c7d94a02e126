package poison

import (
	"sync"
	"time"
)

const (
	// answeredRetention is the least time for which it is remembered that a target has answered a request.
	answeredRetention = 10 * time.Second
	// maxAnswered is the number of requests after which the older half of the memory is given up earlier.
	maxAnswered = 4096
)

// answeredSet remembers the contents of requests that targets have answered lately. Popular ones stay in it.
type answeredSet struct {
	mu sync.Mutex
	// current and previous hold the times of the latest answers; previous is replaced by current in turn.
	current, previous map[Digest]time.Time
	startedAt         time.Time
}

// add records an answer.
func (s *answeredSet) add(d Digest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || len(s.current) >= maxAnswered || now.Sub(s.startedAt) >= answeredRetention {
		s.previous, s.current, s.startedAt = s.current, map[Digest]time.Time{}, now
	}
	s.current[d] = now
}

// last returns the time of the latest answer within answeredRetention, zero if there is none.
func (s *answeredSet) last(d Digest, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, found := s.current[d]
	if !found {
		at = s.previous[d]
	}
	if now.Sub(at) > answeredRetention {
		return time.Time{}
	}
	return at
}

// remove forgets the answers to a request.
func (s *answeredSet) remove(d Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, d)
	delete(s.previous, d)
}
