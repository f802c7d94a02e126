package coord

import (
	"sync"
	"time"
)

const (
	// distributedShare is the fraction of the limits over all hosts that is divided among them.
	distributedShare = 0.8
	// coordinatorShare is the fraction of its own share that a host grants to the coordinator to which it forwards requests. The rest is for requests that it answers itself and for the next coordinator.
	coordinatorShare = 0.75
	// proxyShare is the fraction of its available share that a coordinator grants to a shard proxy in another data centre.
	proxyShare = 0.5
	// grantTime is how long a grant counts at the receiving host after the last request that carried it.
	grantTime = 10 * time.Second
	// shortGrantTime replaces grantTime for the grants of a host whose requests aren't sparse, which may soon have to answer them itself, and for grants to shard proxies.
	shortGrantTime = 2 * time.Second
	// transitMargin is added to the time for which the granting host deducts a grant, since the request that carries the grant may take that long to arrive.
	transitMargin = time.Second
	// assumedHosts is the number of hosts that is assumed before any are known.
	assumedHosts = 32
)

// grant is a share of the limits over all hosts that one host leaves to another until a time.
type grant struct {
	share float64
	until time.Time
	// final is set where the receiving host may not grant the share on to a third one.
	final bool
}

// quota tracks the share of the limits over all hosts that this host may use.
//
// A host doesn't use what it has granted until the receiver no longer counts it, so the shares of all hosts never add up to more than the whole.
type quota struct {
	mu sync.Mutex
	// received holds the grants from other hosts, issued those to other hosts, by host name.
	received, issued map[string]grant
}

func newQuota() *quota {
	return &quota{received: map[string]grant{}, issued: map[string]grant{}}
}

// sumActive adds up the active grants for which include is true, and deletes the expired ones.
func sumActive(all map[string]grant, now time.Time, include func(name string, g grant) bool) float64 {
	total := 0.0
	for name, g := range all {
		switch {
		case !now.Before(g.until):
			delete(all, name)
		case include(name, g):
			total += g.share
		}
	}
	return total
}

// anyHost includes all grants.
func anyHost(string, grant) bool { return true }

// exceptHost includes the grants of all hosts but one.
func exceptHost(host string) func(string, grant) bool {
	return func(name string, _ grant) bool { return name != host }
}

// usable returns the share that this host may use, where own is its own share: grants received are added and grants issued deducted.
func (q *quota) usable(own float64, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(max(own+sumActive(q.received, now, anyHost)-sumActive(q.issued, now, anyHost), 0), 1)
}

// withReceived returns this host's own share and the grants received, without deducting the grants issued.
func (q *quota) withReceived(own float64, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(own+sumActive(q.received, now, anyHost), 1)
}

// hasReceived reports whether a grant from another host is active.
func (q *quota) hasReceived(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	sumActive(q.received, now, anyHost)
	return len(q.received) > 0
}

// receive records a grant from another host, which replaces its earlier one; a final grant may not be passed on.
func (q *quota) receive(from string, share float64, ttl time.Duration, final bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.received[from] = grant{
		share: share,
		until: now.Add(min(ttl, grantTime)),
		final: final,
	}
}

// grantToCoordinator grants a part of this host's own share to a coordinator and returns the part. It is deducted here for twice ttl and transitMargin, since the coordinator may pass it on to a shard proxy at the end of ttl.
func (q *quota) grantToCoordinator(to string, own float64, ttl time.Duration, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	share := coordinatorShare * max(own-sumActive(q.issued, now, exceptHost(to)), 0)
	until := now.Add(2*ttl + transitMargin)
	if previous, found := q.issued[to]; found && previous.until.After(until) {
		until = previous.until
	}
	q.issued[to] = grant{share: share, until: until}
	return share
}

// grantToProxy grants a part of the available share to a shard proxy and returns the part and how long it counts there. Final grants aren't passed on.
func (q *quota) grantToProxy(to string, own float64, now time.Time) (share float64, ttl time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ttl = shortGrantTime
	received := sumActive(q.received, now, func(_ string, g grant) bool { return !g.final })
	share = proxyShare * max(own+received-sumActive(q.issued, now, exceptHost(to)), 0)
	q.issued[to] = grant{share: share, until: now.Add(ttl + transitMargin)}
	return share, ttl
}
