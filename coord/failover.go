package coord

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/relay"
)

// maxFailoverHosts is the number of other hosts that one request is sent to, one after the other, while this host has no way to the targets. The next one is asked only if the request has not begun at the one before.
const maxFailoverHosts = 3

// SetFailoverHosts sets the hosts that answer callers' requests while this one has no way to the targets; none means that it answers them itself. Hosts of the region come first, in an order of this host's own, so that several hosts without a way spread over them.
func (c *Coord) SetFailoverHosts(hosts []Member) {
	sorted := slices.Clone(hosts)
	far := func(m Member) int {
		if m.Region == c.Self.Region {
			return 0
		}
		return 1
	}
	weight := func(m Member) uint64 { return xxhash.Sum64String(c.Self.Name + "/" + m.Name) }
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(weight(b), weight(a)))
	})
	c.failoverHosts.Store(&sorted)
}

// FailingOver reports whether other hosts answer this host's requests.
func (c *Coord) FailingOver() bool {
	hosts := c.failoverHosts.Load()
	return hosts != nil && len(*hosts) > 0
}

// failOver has another host answer a caller's request while this one has no way to the targets. It returns nil where this host is to answer within what is left of r.TimeLeft.
func (c *Coord) failOver(ctx context.Context, r *relay.Request, now time.Time) *relay.Answer {
	if !c.FailingOver() {
		return nil
	}
	m := c.matchRoute(r)
	asked := 0
	for _, to := range *c.failoverHosts.Load() {
		// The body may be sent within the caller's region and to those in which the route may be served.
		if m != nil && !m.Allows(to.Region) && to.Region != c.Self.Region {
			continue
		}
		if c.estimatorOf(to).Estimate(c.clock.Now(), 1000) >= maxPeerLatency {
			continue
		}
		if asked++; asked > maxFailoverHosts {
			break
		}
		if a := c.forwardTo(ctx, r, to, false, c.clock.Now()); a != nil {
			c.scope.Counter("failed_over").Inc(1)
			return a
		}
	}
	c.log.Info("no other host takes a request for which this one has no way to the targets", zap.String("request", r.ID), zap.Int("asked", asked), zap.Duration("after", c.clock.Since(now)))
	return nil
}

// failOverAfter has another host answer a request for which this one lost its way to the targets while it waited for them. It returns the answer of this host where that isn't possible or allowed: a request that may not be repeated must not have run.
func (c *Coord) failOverAfter(ctx context.Context, r *relay.Request, a *relay.Answer, began time.Time) *relay.Answer {
	if !a.PathLost || !(a.Fault.NotRun() || c.idempotent(r)) {
		return a
	}
	if m := c.matchRoute(r); m == nil || a.AttemptsUsed >= max(m.Attempts, 1) {
		return a
	}
	r.AttemptsUsed = a.AttemptsUsed
	if r.TimeLeft > 0 {
		if r.TimeLeft -= c.clock.Since(began); r.TimeLeft <= 0 {
			return a
		}
	}
	b := c.failOver(ctx, r, c.clock.Now())
	if b == nil || (!a.Fault.NotRun() && promisesNotRun(b)) {
		// The other host speaks for itself only: the request may have run at a target of this one.
		return a
	}
	return b
}

// promisesNotRun reports whether an answer tells the caller that its request has not run.
func promisesNotRun(a *relay.Answer) bool {
	if a.Fault != nil {
		return a.Fault.NotRun()
	}
	return fault.PromisesNotRun(a.Status)
}

// declineWithoutPath returns the answer to another host's request while this host has no way to the targets.
func declineWithoutPath() *relay.Answer {
	return &relay.Answer{
		Fault:    fault.New(fault.NoReplica, "this host has no way to the targets").WithRetry(declineRetryAfter),
		Declined: true,
	}
}

// declineRetryAfter is the retry delay in a refusal to another host, which asks the next one.
const declineRetryAfter = 100 * time.Millisecond
