package keeper

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"kingcupcross/target"
	"kingcupcross/wire"
)

const (
	// tendPeriod is the time between two looks at what is to be claimed.
	tendPeriod = 200 * time.Millisecond
	// checkPeriod is the time between two reads of a kept target's state endpoint.
	checkPeriod = time.Second
	// callPeriod is the time between two calls to a peer that gives no answer.
	callPeriod = time.Second
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// handedTime is how long a right that was handed over counts while it is not taken; it is below the fencing time.
	handedTime = detectLimit
	// retryClaim is the time after a refused claim until the next one.
	retryClaim = time.Second
)

// claim is one attempt to become the keeper of a target.
type claim struct {
	number uint64
	began  time.Time
	// answered holds the runs of hosts that have given up the target for this claim, with their turns then.
	answered map[wire.HostID]uint64
}

// Run claims the targets that this host is to keep and reads their states until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	tend, check := k.clock.Every(tendPeriod), k.clock.Every(checkPeriod)
	defer tend.Stop()
	defer check.Stop()
	for {
		changed := k.board.View.Changed()
		k.tend(ctx)
		select {
		case <-tend.C:
		case <-changed:
		case <-check.C:
			k.checkAll(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// tend follows the view, claims what the table gives to this host, asks the peers and takes what is free.
func (k *Keeper) tend(ctx context.Context) {
	now := k.clock.Now()
	table := k.choice.load()
	k.mu.Lock()
	k.roster.follow(k.board.View.Load(), now)
	k.census.Store(k.roster.census(now, k.policy.confirms))
	k.sweep(table)
	k.beginClaims(table, now)
	calls := k.calls(now)
	k.mu.Unlock()
	for _, c := range calls {
		k.spawn(func() { k.ask(ctx, c) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range *k.gates.Load() {
		k.takeFree(g, now)
	}
	k.census.Store(k.roster.census(now, k.policy.confirms))
}

// sweep gives up the targets that no map names any more, or that have moved to another address, which means another process; the lock is held.
func (k *Keeper) sweep(table *Table) {
	for name, g := range *k.gates.Load() {
		if _, t := table.target(name); (t == nil || !g.fits(*t)) && g.idle() {
			k.remove(name)
		}
	}
}

// idle ends the right to a target that is gone and reports whether nothing of this host runs there.
func (g *gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hold != idle {
		g.release()
	}
	return g.busy(g.keeper.clock.Now()) == 0
}

// beginClaims starts a claim for each target that the table gives to this host and that it has no right to; the lock is held.
func (k *Keeper) beginClaims(table *Table, now time.Time) {
	if k.leaving.Load() || !k.policy.awake() || !k.board.Joined() {
		return
	}
	for _, name := range table.keptBy(k.board.Self) {
		service, t := table.target(name)
		if t == nil {
			continue
		}
		g := k.ensure(service, *t)
		g.mu.Lock()
		g.target = *t
		k.beginClaim(g, now)
		g.mu.Unlock()
	}
}

// beginClaim starts a claim unless there is one or the right already; the locks are held.
func (k *Keeper) beginClaim(g *gate, now time.Time) {
	pauses := k.policy.pauses()
	if g.hold != idle && g.pauses == pauses {
		return
	}
	if g.hold != idle {
		// What was given before a pause has lapsed, and others may have kept the target since.
		g.handed, g.successor = time.Time{}, successor{}
		g.release()
	}
	if now.Before(g.retry) {
		return
	}
	k.claims++
	g.hold, g.pauses = claiming, pauses
	g.claim = &claim{number: k.claims, began: now, answered: map[wire.HostID]uint64{}}
	k.count.claims.Inc(1)
	g.wake(handOverTime)
}

// has reports whether a peer has given the target up since it was last silent.
func (c *claim) has(p *peer) bool {
	turns, answered := c.answered[p.member.HostID]
	return answered && turns == p.turns
}

// call is what one peer is asked.
type call struct {
	member wire.Member
	yield  wire.Yield
	began  time.Time
	// turns are the peer's when the call began.
	turns uint64
	// whole says that the call asks about all targets that this host keeps.
	whole bool
}

// calls returns the calls that are due; the lock is held.
func (k *Keeper) calls(now time.Time) []call {
	var all []call
	if !k.policy.asks {
		return nil
	}
	hosts := uint64(0)
	for _, p := range k.roster.peers {
		if p.calling {
			continue
		}
		c := call{
			member: p.member,
			began:  now,
			turns:  p.turns,
			whole:  !p.confirmed,
		}
		for name, g := range *k.gates.Load() {
			if number, asks := g.asksAbout(p); asks {
				c.yield.Targets = append(c.yield.Targets, wire.YieldTarget{Target: name, Claim: number})
			}
		}
		probes := !p.silent.IsZero() || !p.confirmed || p.recheck
		if (len(c.yield.Targets) == 0 && !probes) || (now.Sub(p.called) < callPeriod && !p.absent().IsZero()) {
			continue
		}
		if hosts == 0 {
			hosts = k.roster.sum()
		}
		c.yield.From, c.yield.Hosts = k.board.Self, hosts
		p.calling, p.called = true, now
		all = append(all, c)
	}
	return all
}

// asksAbout reports whether a peer is still to be asked about the target, and for which claim.
func (g *gate) asksAbout(p *peer) (number uint64, asks bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.hold {
	case claiming:
		return g.claim.number, !g.claim.has(p)
	case held:
		return 0, !p.confirmed
	default:
		return 0, false
	}
}

// ask calls a peer and draws the conclusions.
func (k *Keeper) ask(ctx context.Context, c call) {
	ctx, cancel := k.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := k.call(ctx, c.member, c.yield)
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.roster.peers[c.member.Name]
	if p != nil {
		p.calling = false
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) || (err == nil && reply.From != c.member.HostID):
		// Nobody listens at the address, or another run of a host: the one that was asked has ended.
		k.roster.end(c.member.HostID, now)
		k.log.Info("host has ended", zap.Stringer("peer", c.member.HostID))
	case err != nil && p != nil:
		if p.recheck && p.failed.IsZero() {
			p.failed = now
		}
	case err == nil && p != nil && p.member.HostID == c.member.HostID && p.turns == c.turns && now.Sub(c.began) <= callTimeout:
		k.roster.back(p)
		k.hear(p, c, reply, now)
	}
}

// hear takes a peer's answer; the lock is held.
func (k *Keeper) hear(p *peer, c call, reply wire.YieldReply, now time.Time) {
	for _, m := range reply.Hosts {
		if m.Name != k.board.Self.Name && m.Datacentre == k.board.Self.Datacentre && k.roster.peers[m.Name] == nil {
			k.roster.meet(m, now, true)
		}
	}
	rows := make(map[string]wire.YieldResult, len(reply.Rows))
	for _, r := range reply.Rows {
		rows[r.Target] = r
	}
	agreed := true
	for _, w := range c.yield.Targets {
		if g := (*k.gates.Load())[w.Target]; g != nil {
			agreed = g.answeredBy(p, w.Claim, rows[w.Target], now) && agreed
		}
	}
	if c.whole && agreed && p.silent.IsZero() {
		p.confirmed = true
	}
}

// answeredBy takes one row of an answer and reports whether the peer leaves the target to this host.
func (g *gate) answeredBy(p *peer, number uint64, r wire.YieldResult, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (g.hold == claiming) != (number != 0) || (g.hold == claiming && g.claim.number != number) {
		// The answer is to a claim that has ended.
		return false
	}
	g.inherit(r, now)
	if r.Refused {
		g.retry = now.Add(retryClaim)
		if g.hold == claiming || !g.keeper.choice.load().keeps(g.keeper.board.Self, g.name) {
			g.release()
		}
		return false
	}
	if g.hold == claiming {
		g.claim.answered[p.member.HostID] = p.turns
		if r.Handed {
			g.handed = now.Add(handedTime)
		}
	}
	return true
}

// inherit takes over the counts and the knowledge of another host; the lock is held.
func (g *gate) inherit(r wire.YieldResult, now time.Time) {
	g.ramp.inherit(r.Learned, r.Handed)
	if !g.keeper.policy.counts {
		return
	}
	for _, left := range r.Flights {
		g.keepRoom(now, orphan{until: now.Add(min(left, flightLimit))})
	}
}

// release ends this host's right or claim; what runs goes on; the lock is held.
func (g *gate) release() {
	g.hold, g.claim = idle, nil
	g.dispatch()
}

// takeFree makes this host the keeper of a target once no other host can send to it; the lock of k is held.
func (k *Keeper) takeFree(g *gate, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hold != claiming || g.pauses != k.policy.pauses() || !k.policy.awake() {
		return
	}
	if k.policy.asks && !k.free(g, now) {
		return
	}
	g.hold, g.claim = held, nil
	if !now.Before(g.handed) {
		g.ramp.restart(now, g.cold(target.State{}), "no keeper handed the target over")
	}
	g.handed, g.successor = time.Time{}, successor{}
	k.count.kept.Inc(1)
	k.say("target is kept here", g)
	g.dispatch()
}

// free reports whether every other host has given the target up, has ended, or is silent for the fencing time, and whether the requests of lost keepers have ended too; the locks are held.
func (k *Keeper) free(g *gate, now time.Time) bool {
	for _, p := range k.roster.peers {
		if g.claim.has(p) {
			continue
		}
		if p.silent.IsZero() || now.Sub(p.silent) < k.policy.silence {
			return false
		}
	}
	if now.Before(g.handed) {
		return true
	}
	begin := g.claim.began
	if k.roster.lastEnd.After(begin) {
		begin = k.roster.lastEnd
	}
	return now.Sub(begin) >= k.policy.lostFlight
}
