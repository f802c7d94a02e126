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
	// reconcilePeriod is the interval between calls of reconcile when nothing changes.
	reconcilePeriod = 200 * time.Millisecond
	// statePollPeriod is the interval at which the state endpoints of kept targets are read.
	statePollPeriod = time.Second
	// callRetryPeriod is the interval between calls to a peer that doesn't answer.
	callRetryPeriod = time.Second
	// callTimeout limits a call to a peer.
	callTimeout = time.Second
	// handOverValidity is how long after a hand-over the target may be taken over because of it. It is shorter than the fencing time.
	handOverValidity = maxDetectionTime
	// claimRetryDelay is the delay after a refused claim before the next one.
	claimRetryDelay = time.Second
)

// claim is one attempt of this host to become the keeper of a target.
type claim struct {
	number    uint64
	startedAt time.Time
	// releases holds the incarnations of peers that have given the target up for this claim, with the peer's silences at that time.
	releases map[wire.HostID]uint64
}

// Run keeps the targets assigned to this host and polls their states until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	reconcile, poll := k.clock.Every(reconcilePeriod), k.clock.Every(statePollPeriod)
	defer reconcile.Stop()
	defer poll.Stop()
	for {
		changed := k.board.Membership.Changed()
		k.reconcile(ctx)
		select {
		case <-reconcile.C:
		case <-changed:
		case <-poll.C:
			k.checkTargets(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile brings the kept targets in line with the newest view and shard maps: it drops targets that are gone, claims those that are assigned to this host, asks the peers to give them up, and takes those that are free.
func (k *Keeper) reconcile(ctx context.Context) {
	now := k.clock.Now()
	table := k.tables.current()
	k.mu.Lock()
	k.tracker.applyView(k.board.Membership.Load(), now)
	k.hostCounts.Store(k.tracker.countHosts(now, k.guards.confirmReturned))
	k.removeGone(table)
	k.startClaims(table, now)
	calls := k.dueCalls(now)
	k.mu.Unlock()
	for _, c := range calls {
		k.spawn(func() { k.callPeer(ctx, c) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range *k.gates.Load() {
		k.takeIfFree(g, now)
	}
	k.hostCounts.Store(k.tracker.countHosts(now, k.guards.confirmReturned))
}

// removeGone gives up targets that no map names any more or whose address changed, which means another process. The lock is held.
func (k *Keeper) removeGone(table *Table) {
	for name, g := range *k.gates.Load() {
		if _, t := table.target(name); (t == nil || !g.matches(*t)) && g.releaseGone() {
			k.removeGate(name)
		}
	}
}

// releaseGone gives up a target that is gone and reports whether none of its slots is in use any more.
func (g *gate) releaseGone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownership != notHeld {
		g.release()
	}
	return g.busy(g.keeper.clock.Now()) == 0
}

// startClaims claims the targets that are assigned to this host and not held yet. The lock is held.
func (k *Keeper) startClaims(table *Table, now time.Time) {
	if k.draining.Load() || !k.guards.running() || !k.board.Joined() {
		return
	}
	for _, name := range table.assignedTo(k.board.Self) {
		service, t := table.target(name)
		if t == nil {
			continue
		}
		g := k.getOrCreateGate(service, *t)
		g.mu.Lock()
		g.target = *t
		k.startClaim(g, now)
		g.mu.Unlock()
	}
}

// startClaim starts a claim unless this host already claims or holds the target. Both locks are held.
func (k *Keeper) startClaim(g *gate, now time.Time) {
	pauses := k.guards.pauseCount()
	if g.ownership != notHeld && g.pauseCount == pauses {
		return
	}
	if g.ownership != notHeld {
		// Ownership from before a pause has lapsed, and another host may have kept the target since.
		g.handedUntil, g.successor = time.Time{}, claimID{}
		g.release()
	}
	if now.Before(g.retryAt) {
		return
	}
	k.lastClaim++
	g.ownership, g.pauseCount = claiming, pauses
	g.claim = &claim{number: k.lastClaim, startedAt: now, releases: map[wire.HostID]uint64{}}
	k.counters.claims.Inc(1)
	g.dispatchAfter(handOverWait)
}

// hasRelease reports whether a peer has given the target up and not been silent since.
func (c *claim) hasRelease(p *peer) bool {
	silences, answered := c.releases[p.member.HostID]
	return answered && silences == p.silences
}

// peerCall is one Yield call to a peer.
type peerCall struct {
	peer      wire.Member
	request   wire.Yield
	startedAt time.Time
	// silences is the peer's value when the call began.
	silences uint64
	// allTargets is set if the call asks about every target that this host keeps.
	allTargets bool
}

// dueCalls returns the calls to make now. The lock is held.
func (k *Keeper) dueCalls(now time.Time) []peerCall {
	var all []peerCall
	if !k.guards.askPeers {
		return nil
	}
	hosts := uint64(0)
	for _, p := range k.tracker.peers {
		if p.calling {
			continue
		}
		c := peerCall{
			peer:       p.member,
			startedAt:  now,
			silences:   p.silences,
			allTargets: !p.confirmed,
		}
		for name, g := range *k.gates.Load() {
			if number, needed := g.needsAnswer(p); needed {
				c.request.Targets = append(c.request.Targets, wire.YieldTarget{Target: name, Claim: number})
			}
		}
		probe := !p.silentSince.IsZero() || !p.confirmed || p.needsRecheck
		if (len(c.request.Targets) == 0 && !probe) || (now.Sub(p.calledAt) < callRetryPeriod && !p.absentSince().IsZero()) {
			continue
		}
		if hosts == 0 {
			hosts = k.tracker.hash()
		}
		c.request.From, c.request.Hosts = k.board.Self, hosts
		p.calling, p.calledAt = true, now
		all = append(all, c)
	}
	return all
}

// needsAnswer reports whether a peer must still answer for the target, and the number of the claim, which is zero if this host already keeps it.
func (g *gate) needsAnswer(p *peer) (number uint64, needed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.ownership {
	case claiming:
		return g.claim.number, !g.claim.hasRelease(p)
	case held:
		return 0, !p.confirmed
	default:
		return 0, false
	}
}

// callPeer calls a peer and applies its answer or its failure.
func (k *Keeper) callPeer(ctx context.Context, c peerCall) {
	ctx, cancel := k.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := k.callYield(ctx, c.peer, c.request)
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.tracker.peers[c.peer.Name]
	if p != nil {
		p.calling = false
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) || (err == nil && reply.From != c.peer.HostID):
		// Nothing listens at the address, or another incarnation of the host answered: the called incarnation has ended.
		k.tracker.removeEnded(c.peer.HostID, now)
		k.log.Info("peer process has exited", zap.Stringer("peer", c.peer.HostID))
	case err != nil && p != nil:
		if p.needsRecheck && p.failedSince.IsZero() {
			p.failedSince = now
		}
	case err == nil && p != nil && p.member.HostID == c.peer.HostID && p.silences == c.silences && now.Sub(c.startedAt) <= callTimeout:
		k.tracker.markAlive(p)
		k.applyReply(p, c, reply, now)
	}
}

// applyReply applies a peer's answer. The lock is held.
func (k *Keeper) applyReply(p *peer, c peerCall, reply wire.YieldReply, now time.Time) {
	for _, m := range reply.Hosts {
		if m.Name != k.board.Self.Name && m.Datacentre == k.board.Self.Datacentre && k.tracker.peers[m.Name] == nil {
			k.tracker.observe(m, now, true)
		}
	}
	rows := make(map[string]wire.YieldResult, len(reply.Rows))
	for _, r := range reply.Rows {
		rows[r.Target] = r
	}
	agreed := true
	for _, w := range c.request.Targets {
		if g := (*k.gates.Load())[w.Target]; g != nil {
			agreed = g.applyRow(p, w.Claim, rows[w.Target], now) && agreed
		}
	}
	if c.allTargets && agreed && p.silentSince.IsZero() {
		p.confirmed = true
	}
}

// applyRow applies a peer's answer for one target and reports whether the peer leaves the target to this host.
func (g *gate) applyRow(p *peer, number uint64, r wire.YieldResult, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (g.ownership == claiming) != (number != 0) || (g.ownership == claiming && g.claim.number != number) {
		// The answer belongs to a claim that has ended.
		return false
	}
	g.inherit(r, now)
	if r.Refused {
		g.retryAt = now.Add(claimRetryDelay)
		if g.ownership == claiming || !g.keeper.tables.current().isAssigned(g.keeper.board.Self, g.name) {
			g.release()
		}
		return false
	}
	if g.ownership == claiming {
		g.claim.releases[p.member.HostID] = p.silences
		if r.Handed {
			g.handedUntil = now.Add(handOverValidity)
		}
	}
	return true
}

// inherit takes over the running requests and the knowledge that another host reports. The lock is held.
func (g *gate) inherit(r wire.YieldResult, now time.Time) {
	g.limiter.inherit(r.Learned, r.Handed)
	if !g.keeper.guards.countInherited {
		return
	}
	for _, left := range r.Flights {
		g.reserve(now, reservation{until: now.Add(min(left, maxRequestTime))})
	}
}

// release gives up this host's ownership or claim. Requests in flight go on. The lock is held.
func (g *gate) release() {
	g.ownership, g.claim = notHeld, nil
	g.dispatch()
}

// takeIfFree makes this host the keeper of a claimed target once no other host can send to it. The keeper's lock is held.
func (k *Keeper) takeIfFree(g *gate, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownership != claiming || g.pauseCount != k.guards.pauseCount() || !k.guards.running() {
		return
	}
	if k.guards.askPeers && !k.isFree(g, now) {
		return
	}
	g.ownership, g.claim = held, nil
	if !now.Before(g.handedUntil) {
		g.limiter.reset(now, g.coldLimit(target.State{}), "no keeper handed the target over")
	}
	g.handedUntil, g.successor = time.Time{}, claimID{}
	k.counters.targetsTaken.Inc(1)
	k.logChange("target taken over", g)
	g.dispatch()
}

// isFree reports whether no other host can have requests at the target: each has given it up, has ended or has been silent for the fencing time, and the requests of keepers that ended have ended too. A valid hand-over makes the last wait unnecessary, since it lists those requests. Both locks are held.
func (k *Keeper) isFree(g *gate, now time.Time) bool {
	for _, p := range k.tracker.peers {
		if g.claim.hasRelease(p) {
			continue
		}
		if p.silentSince.IsZero() || now.Sub(p.silentSince) < k.guards.fencingTime {
			return false
		}
	}
	if now.Before(g.handedUntil) {
		return true
	}
	begin := g.claim.startedAt
	if k.tracker.lastEndAt.After(begin) {
		begin = k.tracker.lastEndAt
	}
	return now.Sub(begin) >= k.guards.lostRequestTime
}
