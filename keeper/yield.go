package keeper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/wire"
)

// Yield gives up the targets that another host claims. It refuses those that are assigned to this host, provided that this host's view already includes the other host.
func (k *Keeper) Yield(q wire.Yield) wire.YieldReply {
	now := k.clock.Now()
	table := k.tables.current()
	k.mu.Lock()
	defer k.mu.Unlock()
	callerKnown := k.canKeep(q.From)
	k.observeCaller(q.From, now)
	reply := wire.YieldReply{From: k.board.Self.HostID}
	if k.tracker.hash() != q.Hosts {
		reply.Hosts = k.tracker.members()
	}
	for _, w := range q.Targets {
		if g := (*k.gates.Load())[w.Target]; g != nil {
			assignedHere := callerKnown && table.isAssigned(k.board.Self, w.Target) && !k.draining.Load()
			reply.Rows = append(reply.Rows, g.yieldTo(q.From, w.Claim, assignedHere, now))
		} else if process := k.leavingSignals[w.Target]; process != 0 {
			reply.Rows = append(reply.Rows, wire.YieldResult{
				Target: w.Target,
				Learned: wire.TargetHistory{
					Process: process,
					Leaving: process,
				},
			})
		}
	}
	return reply
}

// observeCaller records that the calling host is alive. The lock is held.
func (k *Keeper) observeCaller(m wire.Member, now time.Time) {
	if m.Datacentre != k.board.Self.Datacentre || m.Name == k.board.Self.Name {
		return
	}
	delete(k.tracker.endedIncarnations, m.HostID)
	p := k.tracker.peers[m.Name]
	if p == nil || p.member.Incarnation < m.Incarnation {
		p = k.tracker.observe(m, now, true)
	}
	if p != nil && p.member.HostID == m.HostID {
		k.tracker.markAlive(p)
	}
}

// canKeep reports whether this host's view shows that incarnation of a host, or a later one, as able to keep targets. The lock is held.
func (k *Keeper) canKeep(m wire.Member) bool {
	seen, known := k.board.Membership.Load().Members[m.Name]
	return known && seen.Incarnation >= m.Incarnation && (seen.State == wire.Alive || seen.State == wire.Suspect)
}

// yieldTo gives the target up for a claim of another host, or refuses if it is assigned to this host. Claim number zero means that the other host already keeps the target and asks for confirmation.
func (g *gate) yieldTo(from wire.Member, number uint64, assignedHere bool, now time.Time) wire.YieldResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	lapsed := g.pauseCount != g.keeper.guards.pauseCount() || !g.keeper.guards.running()
	r := wire.YieldResult{Target: g.name, Learned: g.limiter.history()}
	claimant := claimID{host: from.HostID, number: number}
	switch {
	case g.ownership == held && assignedHere && !lapsed:
		r.Refused = true
		return r
	case g.ownership == claiming && number == 0:
		// The caller keeps the target that this host claims. This host asks it in turn and sends nothing until then.
		r.Flights = g.remainingTimes(now)
		return r
	case g.ownership == claiming && assignedHere && !lapsed && hasPriority(g.keeper.board.Self, from, g.name):
		r.Refused = true
		return r
	case g.ownership != notHeld && !lapsed:
		r.Handed = g.ownership == held || now.Before(g.handedUntil)
		g.successor = claimID{}
		if r.Handed {
			g.successor = claimant
			g.keeper.counters.targetsHandedOver.Inc(1)
			g.keeper.logChange("target handed over", g)
		}
	case now.Before(g.handedUntil) && !lapsed:
		// The target was handed over to this host, whose claim was then refused: the hand-over passes on to the next claimant.
		r.Handed = true
		g.successor = claimant
	case number != 0 && g.successor == claimant:
		// The same claim asks again because the answer to it was lost.
		r.Handed = true
	}
	g.handedUntil = time.Time{}
	if g.ownership != notHeld {
		g.release()
	}
	r.Flights = g.remainingTimes(now)
	return r
}

// remainingTimes returns how long each request that may run at the target may still take. The lock is held.
func (g *gate) remainingTimes(now time.Time) []time.Duration {
	var times []time.Duration
	for _, p := range g.inFlight {
		left := p.deadline.Sub(now)
		if p.id == "" {
			// An order that has started may run past its deadline.
			left = maxRequestTime
		}
		if left > 0 {
			times = append(times, left)
		}
	}
	for _, r := range g.reservations {
		if left := r.until.Sub(now); left > 0 {
			times = append(times, left)
		}
	}
	return times
}

// hasPriority reports whether host a wins over host b if both claim the target at once.
func hasPriority(a, b wire.Member, target string) bool {
	targetHash := xxhash.Sum64String(target)
	x, y := rendezvousWeight(xxhash.Sum64String(a.Name), targetHash), rendezvousWeight(xxhash.Sum64String(b.Name), targetHash)
	return x > y || (x == y && a.Name > b.Name)
}
