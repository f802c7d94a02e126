package keeper

import (
	"context"
	"sync"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// ownership is the state of this host's exclusive right to send requests to a target.
type ownership uint8

// States of ownership.
const (
	// notHeld means that this host neither has nor claims the right.
	notHeld ownership = iota
	// claiming means that other hosts are asked to give the target up and that nothing is sent yet.
	claiming
	// held means that this host keeps the target and may send to it.
	held
)

// gate controls the admission of requests to one target, so that no more run there than it can handle.
type gate struct {
	keeper  *Keeper
	service string
	name    string
	client  *target.Client

	mu        sync.Mutex
	target    shard.Target
	ownership ownership
	claim     *claim
	// pauseCount is the number of pauses of this host's process when the claim began. A later pause ends the ownership.
	pauseCount uint64
	// handedUntil is the time until which a hand-over by the previous keeper is valid.
	handedUntil time.Time
	// retryAt is the earliest time for the next claim after a refused one.
	retryAt time.Time
	// successor is the claim to which this host last handed the target over.
	successor    claimID
	inFlight     []*permit
	reservations []reservation
	queue        queue
	limiter      limiter
	// responses counts the replies and refusals from the target.
	responses uint64
	// backoffUntil is the time until which no request is sent, because the target sheds load.
	backoffUntil time.Time
	// foreignWorkAt is when the target last reported more running requests than this host's own.
	foreignWorkAt time.Time
}

// claimID identifies a claim by its number and the incarnation of the host that made it.
type claimID struct {
	host   wire.HostID
	number uint64
}

// newGate returns the gate of a target of which nothing is known yet, with the limit of a cold target.
func newGate(k *Keeper, service string, t shard.Target) *gate {
	g := &gate{
		keeper:  k,
		service: service,
		name:    t.Name,
		client:  target.NewClient(t.Address, t.Conns, k.replyMemory),
		target:  t,
	}
	g.client.OnDisconnect(g.onDisconnect)
	g.limiter.reset(k.clock.Now(), g.coldLimit(target.State{}), "nothing is known of the target")
	return g
}

// matches reports whether the gate's client fits the target's entry in the shard map.
func (g *gate) matches(t shard.Target) bool {
	return g.target.Address == t.Address && g.target.Conns == t.Conns
}

// settings returns the settings of the target's service.
func (g *gate) settings() *tree.Values {
	return g.keeper.settings(g.service)
}

// coldLimit returns the limit of a cold target that stated s.
func (g *gate) coldLimit(s target.State) int {
	return min(g.keeper.guards.coldLimit(g.settings().Cold, s.Limit), g.target.Slots)
}

// acquire waits for a free slot of the target. The caller must send the request at once, and the permit must be given back by done or returnUnused. The error is a fault.Error.
func (g *gate) acquire(ctx context.Context, class wire.Class, deadline time.Time) (*permit, error) {
	g.mu.Lock()
	p, w, refusal := g.admitOrEnqueue(class, deadline)
	g.mu.Unlock()
	if w != nil {
		p, refusal = g.awaitResult(ctx, w)
	}
	if refusal != nil {
		g.keeper.counters.countRefusal(refusal.Kind)
		return nil, refusal
	}
	if !g.keeper.guards.running() || g.keeper.guards.pauseCount() != g.currentPauseCount() {
		g.returnUnused(p)
		g.keeper.counters.countRefusal(fault.Paused)
		return nil, fault.New(fault.Paused, "this host was paused and hasn't taken %s over again", g.name)
	}
	g.keeper.counters.admitted.Inc(1)
	return p, nil
}

// currentPauseCount returns pauseCount under the lock.
func (g *gate) currentPauseCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauseCount
}

// admitOrEnqueue returns a permit, a place in the queue, or the final refusal. The lock is held.
func (g *gate) admitOrEnqueue(class wire.Class, deadline time.Time) (*permit, *waiter, *fault.Error) {
	if f := g.refusal(); f != nil {
		return nil, nil, f
	}
	now := g.keeper.clock.Now()
	g.checkOverdue(now)
	if g.ownership == claiming {
		return g.enqueue(now, class, deadline)
	}
	capacity := g.capacity(now)
	if capacity == 0 {
		return nil, nil, fault.New(fault.NoReplica, "this host's share of %s is none while hosts are cut off", g.name).WithRetry(time.Second)
	}
	if len(g.queue.waiters) == 0 && g.busy(now) < capacity && !now.Before(g.backoffUntil) {
		if f := g.checkDeadline(now, 0, deadline); f != nil {
			return nil, nil, f
		}
		return g.admit(now, deadline), nil, nil
	}
	return g.enqueue(now, class, deadline)
}

// enqueue queues a request. If the queue is full, it refuses the last waiter, which may be the new one. The lock is held.
func (g *gate) enqueue(now time.Time, class wire.Class, deadline time.Time) (*permit, *waiter, *fault.Error) {
	w := &waiter{class: class, deadline: deadline, result: make(chan waitResult, 1)}
	position := g.queue.insert(w)
	if f := g.checkDeadline(now, position+1, deadline); f != nil {
		g.queue.remove(w)
		return nil, nil, f
	}
	if limit := g.settings().Queue; len(g.queue.waiters) > limit {
		last := g.queue.last()
		g.queue.remove(last)
		full := fault.New(fault.Overload, "the queue of %s is full", g.name).WithRetry(g.estimateWait(now, limit))
		if last == w {
			return nil, nil, full
		}
		last.result <- waitResult{fault: full}
	}
	g.refuseLate(now)
	g.keeper.counters.queued.Inc(1)
	return nil, w, nil
}

// awaitResult waits for the outcome of a queued request. When ctx ends first, it gives back a permit that was granted meanwhile.
func (g *gate) awaitResult(ctx context.Context, w *waiter) (*permit, *fault.Error) {
	select {
	case r := <-w.result:
		return r.permit, r.fault
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if !removed {
		if r := <-w.result; r.permit != nil {
			g.returnUnused(r.permit)
		}
	}
	return nil, fault.New(fault.TooLate, "no slot of %s came free in time", g.name)
}

// refusal returns the reason why no request may be sent to the target now, or nil. The lock is held.
func (g *gate) refusal() *fault.Error {
	switch {
	case g.ownership == claiming && g.keeper.clock.Since(g.claim.startedAt) < handOverWait:
		return nil
	case g.ownership == claiming:
		// Without a hand-over, the claim succeeds only after the previous keeper's requests have ended.
		left := g.keeper.guards.lostRequestTime - g.keeper.clock.Since(g.claim.startedAt)
		return fault.New(fault.Moved, "%s is being taken over", g.name).WithRetry(max(left, fault.Describe(fault.Moved).Retry))
	case g.ownership == notHeld || g.keeper.sendsStopped.Load():
		return fault.New(fault.Moved, "%s is not kept here", g.name)
	case g.limiter.leavingProcess != 0 && g.keeper.guards.rememberLeaving:
		return fault.New(fault.NoReplica, "%s is leaving", g.name).WithRetry(time.Second)
	}
	return nil
}

// capacity returns how many requests of this host may run at the target at once. The lock is held.
func (g *gate) capacity(now time.Time) int {
	if g.ownership != held {
		return 0
	}
	c := g.keeper.hostCounts.Load()
	n := g.keeper.guards.share(min(g.limiter.limit, g.target.Slots), c)
	if n == 0 && c.isolated(now) && now.Sub(g.foreignWorkAt) >= isolationTime {
		// No peer answers and the target reported no foreign work: this may be the only living host, so it must not stop sending.
		n = 1
	}
	return n
}

// busy returns the number of slots in use by requests in flight and by reservations. It removes expired reservations. The lock is held.
func (g *gate) busy(now time.Time) int {
	active := g.reservations[:0]
	for _, r := range g.reservations {
		if r.until.After(now) {
			active = append(active, r)
		}
	}
	g.reservations = active
	return len(g.inFlight) + len(g.reservations)
}

// admit returns a permit and counts the request as in flight. The lock is held.
func (g *gate) admit(now, deadline time.Time) *permit {
	if latest := now.Add(maxRequestTime); deadline.After(latest) {
		deadline = latest
	}
	p := &permit{gate: g, deadline: deadline, sentAt: now}
	g.inFlight = append(g.inFlight, p)
	busy := g.busy(now)
	for _, o := range g.inFlight {
		o.maxConcurrent = max(o.maxConcurrent, busy)
	}
	return p
}

// checkDeadline returns the refusal of a request that can't get its reply by the deadline from its position in the queue, or nil. Position zero means that it is sent now.
func (g *gate) checkDeadline(now time.Time, position int, deadline time.Time) *fault.Error {
	wait, mean := time.Duration(0), g.limiter.meanResponseTime
	if position > 0 {
		wait = g.estimateWait(now, position)
	} else if len(g.inFlight) == 0 {
		// A request to an idle target is always tried, as the target may have become faster than its mean says.
		mean = 0
	}
	if now.Add(wait + mean).Before(deadline) {
		return nil
	}
	return fault.New(fault.TooLate, "%s can't answer in time", g.name).WithRetry(max(wait, g.limiter.meanResponseTime))
}

// estimateWait returns the estimated time until the first n waiters have been admitted.
func (g *gate) estimateWait(now time.Time, n int) time.Duration {
	return max(g.backoffUntil.Sub(now), 0) + g.limiter.meanResponseTime*time.Duration(n)/time.Duration(max(g.capacity(now), 1))
}

// refuseLate refuses the waiters that can't get their replies by their deadlines. The lock is held.
func (g *gate) refuseLate(now time.Time) {
	g.queue.refuseWhere(func(position int, w *waiter) *fault.Error { return g.checkDeadline(now, position+1, w.deadline) })
}

// dispatch admits waiters while slots are free, or refuses them all if nothing may be sent. The lock is held.
func (g *gate) dispatch() {
	if f := g.refusal(); f != nil {
		g.queue.refuseWhere(func(int, *waiter) *fault.Error { return f })
		return
	}
	now := g.keeper.clock.Now()
	g.refuseLate(now)
	for !now.Before(g.backoffUntil) && g.busy(now) < g.capacity(now) {
		w := g.queue.pop()
		if w == nil {
			return
		}
		w.result <- waitResult{permit: g.admit(now, w.deadline)}
	}
}

// dispatchAfter calls dispatch after d, when a reservation or the backoff of a shedding target has ended.
func (g *gate) dispatchAfter(d time.Duration) {
	g.keeper.clock.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch()
	})
}

// removeInFlight removes a permit from the requests in flight. The lock is held.
func (g *gate) removeInFlight(p *permit) {
	for i, o := range g.inFlight {
		if o == p {
			g.inFlight = append(g.inFlight[:i], g.inFlight[i+1:]...)
			return
		}
	}
}

// returnUnused gives back a permit whose request was not sent.
func (g *gate) returnUnused(p *permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeInFlight(p)
	g.dispatch()
}
