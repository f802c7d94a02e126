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

// hold is the right of this host to send to a target.
type hold uint8

// Rights to a target.
const (
	// idle is no right.
	idle hold = iota
	// claiming is no right yet: other hosts are asked to give theirs up.
	claiming
	// held is the right to send.
	held
)

// gate admits work to one target, so that no more runs there than it bears.
type gate struct {
	keeper  *Keeper
	service string
	name    string
	client  *target.Client

	mu     sync.Mutex
	target shard.Target
	hold   hold
	claim  *claim
	// pauses is the number of pauses of this process when the right was asked for; a later pause ends it.
	pauses uint64
	// handed is until when it counts that the last keeper gave its right and its counts to this host.
	handed time.Time
	// retry is when a refused claim may be made again.
	retry time.Time
	// successor is the attempt to which this host gave its right last.
	successor successor
	flying    []*pass
	orphans   []orphan
	queue     queue
	ramp      ramp
	// heard counts the replies and refusals.
	heard uint64
	// quiet is until when the target's shedding keeps new work away.
	quiet time.Time
	// witnessed is when the target last told of more work than this host's own.
	witnessed time.Time
}

// successor names one claim of one run of a host.
type successor struct {
	host  wire.HostID
	claim uint64
}

func newGate(k *Keeper, service string, t shard.Target) *gate {
	g := &gate{
		keeper:  k,
		service: service,
		name:    t.Name,
		client:  target.NewClient(t.Address, t.Conns),
		target:  t,
	}
	g.client.OnDisconnect(g.lost)
	g.ramp.restart(k.clock.Now(), g.cold(target.State{}), "nothing is known of the target")
	return g
}

// fits reports whether the gate's client is right for a target's row in the shard map.
func (g *gate) fits(t shard.Target) bool {
	return g.target.Address == t.Address && g.target.Conns == t.Conns
}

func (g *gate) settings() *tree.Values {
	return g.keeper.settings(g.service)
}

// cold returns what a cold target bears.
func (g *gate) cold(s target.State) int {
	return min(g.keeper.policy.cold(g.settings().Cold, s.Limit), g.target.Slots)
}

// enter waits for room at the target; the request must be sent at once, and the error is a fault.Error.
func (g *gate) enter(ctx context.Context, class wire.Class, deadline time.Time) (*pass, error) {
	g.mu.Lock()
	p, w, refusal := g.admitOrWait(class, deadline)
	g.mu.Unlock()
	if w != nil {
		p, refusal = g.await(ctx, w)
	}
	if refusal != nil {
		g.keeper.count.refused(refusal.Kind)
		return nil, refusal
	}
	if !g.keeper.policy.awake() || g.keeper.policy.pauses() != g.pausesNow() {
		g.giveBack(p)
		g.keeper.count.refused(fault.Paused)
		return nil, fault.New(fault.Paused, "this host was paused and hasn't taken %s over again", g.name)
	}
	g.keeper.count.admitted.Inc(1)
	return p, nil
}

func (g *gate) pausesNow() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauses
}

// admitOrWait gives a pass, a place in the queue, or the final refusal; the lock is held.
func (g *gate) admitOrWait(class wire.Class, deadline time.Time) (*pass, *waiter, *fault.Error) {
	if f := g.refusal(); f != nil {
		return nil, nil, f
	}
	now := g.keeper.clock.Now()
	g.doubtOverdue(now)
	if g.hold == claiming {
		return g.wait(now, class, deadline)
	}
	room := g.allowed(now)
	if room == 0 {
		return nil, nil, fault.New(fault.NoReplica, "this host's share of %s is none while hosts are cut off", g.name).WithRetry(time.Second)
	}
	if len(g.queue.waiters) == 0 && g.busy(now) < room && !now.Before(g.quiet) {
		if f := g.tooLate(now, 0, deadline); f != nil {
			return nil, nil, f
		}
		return g.admit(now, deadline), nil, nil
	}
	return g.wait(now, class, deadline)
}

// wait queues a request, or refuses it or the last one where there is no place for both.
func (g *gate) wait(now time.Time, class wire.Class, deadline time.Time) (*pass, *waiter, *fault.Error) {
	w := &waiter{class: class, deadline: deadline, ended: make(chan verdict, 1)}
	place := g.queue.put(w)
	if f := g.tooLate(now, place+1, deadline); f != nil {
		g.queue.remove(w)
		return nil, nil, f
	}
	if limit := g.settings().Queue; len(g.queue.waiters) > limit {
		last := g.queue.last()
		g.queue.remove(last)
		full := fault.New(fault.Overload, "the queue of %s is full", g.name).WithRetry(g.drain(now, limit))
		if last == w {
			return nil, nil, full
		}
		last.ended <- verdict{fault: full}
	}
	g.prune(now)
	g.keeper.count.queued.Inc(1)
	return nil, w, nil
}

// await waits for the verdict on a queued request.
func (g *gate) await(ctx context.Context, w *waiter) (*pass, *fault.Error) {
	select {
	case v := <-w.ended:
		return v.pass, v.fault
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if !removed {
		if v := <-w.ended; v.pass != nil {
			g.giveBack(v.pass)
		}
	}
	return nil, fault.New(fault.TooLate, "no slot of %s came free in time", g.name)
}

// refusal returns why no request may go to the target now, or nil; the lock is held.
func (g *gate) refusal() *fault.Error {
	switch {
	case g.hold == claiming && g.keeper.clock.Since(g.claim.began) < handOverTime:
		return nil
	case g.hold == claiming:
		// Without a hand-over the claim waits until what the last keeper sent has ended.
		left := g.keeper.policy.lostFlight - g.keeper.clock.Since(g.claim.began)
		return fault.New(fault.Moved, "%s is being taken over", g.name).WithRetry(max(left, fault.Describe(fault.Moved).Retry))
	case g.hold == idle || g.keeper.stopped.Load():
		return fault.New(fault.Moved, "%s is not kept here", g.name)
	case g.ramp.leaving != 0 && g.keeper.policy.sticks:
		return fault.New(fault.NoReplica, "%s is leaving", g.name).WithRetry(time.Second)
	}
	return nil
}

// allowed returns how many requests of all kinds may run at the target by this host; the lock is held.
func (g *gate) allowed(now time.Time) int {
	if g.hold != held {
		return 0
	}
	c := g.keeper.census.Load()
	n := g.keeper.policy.share(min(g.ramp.limit, g.target.Slots), c)
	if n == 0 && c.isolated(now) && now.Sub(g.witnessed) >= isolationTime {
		// Nobody answers, and the target has told of no other work: the only living host must not stop.
		n = 1
	}
	return n
}

// busy returns how many requests run or may run at the target; the lock is held.
func (g *gate) busy(now time.Time) int {
	kept := g.orphans[:0]
	for _, o := range g.orphans {
		if o.until.After(now) {
			kept = append(kept, o)
		}
	}
	g.orphans = kept
	return len(g.flying) + len(g.orphans)
}

func (g *gate) admit(now, deadline time.Time) *pass {
	if latest := now.Add(flightLimit); deadline.After(latest) {
		deadline = latest
	}
	p := &pass{gate: g, deadline: deadline, sent: now}
	g.flying = append(g.flying, p)
	busy := g.busy(now)
	for _, o := range g.flying {
		o.most = max(o.most, busy)
	}
	return p
}

// tooLate returns the final answer of a request that can't be met at its place in the queue.
func (g *gate) tooLate(now time.Time, place int, deadline time.Time) *fault.Error {
	wait, mean := time.Duration(0), g.ramp.mean
	if place > 0 {
		wait = g.drain(now, place)
	} else if len(g.flying) == 0 {
		// A target without work may always show that it has become faster.
		mean = 0
	}
	if now.Add(wait + mean).Before(deadline) {
		return nil
	}
	return fault.New(fault.TooLate, "%s can't answer in time", g.name).WithRetry(max(wait, g.ramp.mean))
}

// drain estimates the time until the first n waiters have been admitted.
func (g *gate) drain(now time.Time, n int) time.Duration {
	return max(g.quiet.Sub(now), 0) + g.ramp.mean*time.Duration(n)/time.Duration(max(g.allowed(now), 1))
}

// prune gives the waiters that can't make their deadlines their final answers; the lock is held.
func (g *gate) prune(now time.Time) {
	g.queue.refuse(func(place int, w *waiter) *fault.Error { return g.tooLate(now, place+1, w.deadline) })
}

// dispatch admits waiters as far as there is room; the lock is held.
func (g *gate) dispatch() {
	if f := g.refusal(); f != nil {
		g.queue.refuse(func(int, *waiter) *fault.Error { return f })
		return
	}
	now := g.keeper.clock.Now()
	g.prune(now)
	for !now.Before(g.quiet) && g.busy(now) < g.allowed(now) {
		w := g.queue.pop()
		if w == nil {
			return
		}
		w.ended <- verdict{pass: g.admit(now, w.deadline)}
	}
}

// wake dispatches after d, when orphans have ended or a shedding target may be asked again; the lock is held.
func (g *gate) wake(d time.Duration) {
	g.keeper.clock.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch()
	})
}

// take removes a pass from those that are under way; the lock is held.
func (g *gate) take(p *pass) {
	for i, o := range g.flying {
		if o == p {
			g.flying = append(g.flying[:i], g.flying[i+1:]...)
			return
		}
	}
}

// giveBack returns a pass whose request was not sent.
func (g *gate) giveBack(p *pass) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.take(p)
	g.dispatch()
}
