package coord

import (
	"sync"
	"time"
)

const (
	// shareOfAll is the part of the limits over all hosts that is dealt out.
	shareOfAll = 0.8
	// lentShare is the part of its own that a host leaves to the coordinator that it sends requests to; the rest serves its own answers and the next coordinator.
	lentShare = 0.75
	// helpedShare is the part of what a coordinator holds that it leaves to the host that answers for another data centre.
	helpedShare = 0.5
	// delegated is how long a part counts at the host that it was left to, after the last request that brought it.
	delegated = 10 * time.Second
	// briefly is the same for a host whose requests come often, which may have to answer them itself soon.
	briefly = 2 * time.Second
	// onTheWay is added for the host that left it: the request may take that long.
	onTheWay = time.Second
	// unknownHosts is the number of hosts that is assumed before any are known.
	unknownHosts = 32
)

// loan is a part of the limits over all hosts that one host leaves to another until a time.
type loan struct {
	part  float64
	until time.Time
	// last says that the part may not be left on to a further host.
	last bool
}

// loans keeps what a host may use of the limits over all hosts.
//
// What is lent isn't used by the lender until the borrower no longer counts it, so that the parts of all hosts never add up to more than the whole.
type loans struct {
	mu sync.Mutex
	// taken is what other hosts have left to this one, given what it has left to them.
	taken, given map[string]loan
}

func newLoans() *loans {
	return &loans{taken: map[string]loan{}, given: map[string]loan{}}
}

// sum returns what the loans come to that counts names, and drops those that have ended.
func sum(all map[string]loan, now time.Time, counts func(name string, l loan) bool) float64 {
	total := 0.0
	for name, l := range all {
		switch {
		case !now.Before(l.until):
			delete(all, name)
		case counts(name, l):
			total += l.part
		}
	}
	return total
}

// whole counts all loans.
func whole(string, loan) bool { return true }

// without counts all loans but those of one host.
func without(host string) func(string, loan) bool {
	return func(name string, _ loan) bool { return name != host }
}

// held returns what this host may use, with own as its part of the limits.
func (l *loans) held(own float64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(own+sum(l.taken, now, whole)-sum(l.given, now, whole), 0), 1)
}

// reach returns what this host has and what others leave to it, with own as its part of the limits.
func (l *loans) reach(own float64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(own+sum(l.taken, now, whole), 1)
}

// busy reports whether another host's part lies here.
func (l *loans) busy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum(l.taken, now, whole)
	return len(l.taken) > 0
}

// take notes what another host leaves to this one for a time, in place of what it left before; last says that it may not be left on.
func (l *loans) take(from string, part float64, during time.Duration, last bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken[from] = loan{
		part:  part,
		until: now.Add(min(during, delegated)),
		last:  last,
	}
}

// lend leaves a part of a host's own limits to a coordinator for a time and returns how much. It is gone for twice that, since the coordinator may leave it to a helper at the end.
func (l *loans) lend(to string, own float64, during time.Duration, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := lentShare * max(own-sum(l.given, now, without(to)), 0)
	until := now.Add(2*during + onTheWay)
	if before, found := l.given[to]; found && before.until.After(until) {
		until = before.until
	}
	l.given[to] = loan{part: part, until: until}
	return part
}

// share leaves a part of what a coordinator holds to a helper for a time and returns how much.
func (l *loans) share(to string, own float64, now time.Time) (part float64, during time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	during = briefly
	taken := sum(l.taken, now, func(_ string, k loan) bool { return !k.last })
	part = helpedShare * max(own+taken-sum(l.given, now, without(to)), 0)
	l.given[to] = loan{part: part, until: now.Add(during + onTheWay)}
	return part, during
}
