package keeper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/wire"
)

// Yield gives up targets for another host, except those that this host is to keep by what it knows of that host.
func (k *Keeper) Yield(q wire.Yield) wire.YieldReply {
	now := k.clock.Now()
	table := k.choice.load()
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.knows(q.From)
	k.metBy(q.From, now)
	reply := wire.YieldReply{From: k.board.Self.HostID}
	if k.roster.sum() != q.Hosts {
		reply.Hosts = k.roster.members()
	}
	for _, w := range q.Targets {
		if g := (*k.gates.Load())[w.Target]; g != nil {
			mine := known && table.keeps(k.board.Self, w.Target) && !k.leaving.Load()
			reply.Rows = append(reply.Rows, g.yield(q.From, w.Claim, mine, now))
		} else if process := k.signs[w.Target]; process != 0 {
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

// metBy notes the host that makes a call, which proves that it lives; the lock is held.
func (k *Keeper) metBy(m wire.Member, now time.Time) {
	if m.Datacentre != k.board.Self.Datacentre || m.Name == k.board.Self.Name {
		return
	}
	delete(k.roster.ended, m.HostID)
	p := k.roster.peers[m.Name]
	if p == nil || p.member.Incarnation < m.Incarnation {
		p = k.roster.meet(m, now, true)
	}
	if p != nil && p.member.HostID == m.HostID {
		k.roster.back(p)
	}
}

// knows reports whether this host's view shows that run of a host as one that can keep targets; the lock is held.
func (k *Keeper) knows(m wire.Member) bool {
	seen, known := k.board.View.Load().Members[m.Name]
	return known && seen.Incarnation >= m.Incarnation && (seen.State == wire.Alive || seen.State == wire.Suspect)
}

// yield gives one target up for a claim unless it is mine.
func (g *gate) yield(from wire.Member, number uint64, mine bool, now time.Time) wire.YieldResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	lapsed := g.pauses != g.keeper.policy.pauses() || !g.keeper.policy.awake()
	r := wire.YieldResult{Target: g.name, Learned: g.ramp.learned()}
	to := successor{host: from.HostID, claim: number}
	switch {
	case g.hold == held && mine && !lapsed:
		r.Refused = true
		return r
	case g.hold == claiming && number == 0:
		// This host asks the keeper as well; until then it sends nothing.
		r.Flights = g.flights(now)
		return r
	case g.hold == claiming && mine && !lapsed && outranks(g.keeper.board.Self, from, g.name):
		r.Refused = true
		return r
	case g.hold != idle && !lapsed:
		r.Handed = g.hold == held || now.Before(g.handed)
		g.successor = successor{}
		if r.Handed {
			g.successor = to
			g.keeper.count.yielded.Inc(1)
			g.keeper.say("target is handed over", g)
		}
	case now.Before(g.handed) && !lapsed:
		// The right came to this host, whose claim was then refused: it goes on to the next.
		r.Handed = true
		g.successor = to
	case number != 0 && g.successor == to:
		// The answer to the same claim was lost on its way.
		r.Handed = true
	}
	g.handed = time.Time{}
	if g.hold != idle {
		g.release()
	}
	r.Flights = g.flights(now)
	return r
}

// flights returns the times that are left to the requests that may run at the target; the lock is held.
func (g *gate) flights(now time.Time) []time.Duration {
	var all []time.Duration
	for _, p := range g.flying {
		left := p.deadline.Sub(now)
		if p.id == "" {
			// An order that has begun may run longer than its deadline.
			left = flightLimit
		}
		if left > 0 {
			all = append(all, left)
		}
	}
	for _, o := range g.orphans {
		if left := o.until.Sub(now); left > 0 {
			all = append(all, left)
		}
	}
	return all
}

// outranks decides between two hosts that claim the same target at once.
func outranks(a, b wire.Member, target string) bool {
	sum := xxhash.Sum64String(target)
	x, y := weigh(xxhash.Sum64String(a.Name), sum), weigh(xxhash.Sum64String(b.Name), sum)
	return x > y || (x == y && a.Name > b.Name)
}
