package peers

import (
	"context"
	"net/netip"

	"kingcupcross/wire"
)

// indirectProbes is the number of other members that are asked to probe a member that didn't reply.
const indirectProbes = 3

// probe probes a member directly and, without a reply, through other members; it declares the member dead if the connection was refused, and suspects it if nobody got a reply.
func (p *Peers) probe(ctx context.Context, m wire.Member) {
	fenceNumber, _ := p.board.PauseDetector.FenceStatus()
	err := p.exchangeGossip(ctx, m, p.localGossip())
	p.scope.Counter("probes").Inc(1)
	if err == nil || ctx.Err() != nil {
		return
	}
	if wire.IsConnectionRefused(err) {
		p.markDead(m.HostID)
		return
	}
	alive, refused := p.probeIndirectly(ctx, m)
	switch {
	case refused:
		p.markDead(m.HostID)
	case alive || p.pausedSince(fenceNumber) || ctx.Err() != nil:
		// If this host was paused meanwhile, the calls may have timed out although the member replied.
	default:
		p.markSuspect(m.HostID)
	}
}

// pausedSince reports whether this host was paused since the last fence had that number, or is still fenced.
func (p *Peers) pausedSince(number uint64) bool {
	current, fenced := p.board.PauseDetector.FenceStatus()
	return current != number || fenced || !p.board.PauseDetector.MaySend()
}

// exchangeGossip sends a message to a member and merges its reply.
func (p *Peers) exchangeGossip(ctx context.Context, m wire.Member, g wire.Gossip) error {
	ctx, cancel := p.clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply wire.Gossip
	if err := p.call(ctx, m.Peers, ServiceName+".Probe", g, &reply); err != nil {
		return err
	}
	p.handleGossip(&reply)
	if reply.From.HostID != m.HostID {
		// Another process replied at the address, so the process that listened there is gone.
		p.markDead(m.HostID)
	}
	return nil
}

// probeIndirectly asks some other members to probe m; alive says that one got a reply, refused that one was refused the connection.
func (p *Peers) probeIndirectly(ctx context.Context, m wire.Member) (alive, refused bool) {
	p.mu.Lock()
	others := p.table.filter(func(o *wire.Member) bool {
		return p.isLocalPeer(o) && o.State == wire.Alive && o.Name != m.Name
	})
	p.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	p.mu.Unlock()
	others = others[:min(indirectProbes, len(others))]
	replies := make([]wire.RelayReply, len(others))
	calls := make([]func(), 0, len(others))
	for i, o := range others {
		calls = append(calls, func() {
			ctx, cancel := p.clock.WithTimeout(ctx, 2*probeTimeout)
			defer cancel()
			r := wire.Relay{Host: m.HostID, Address: m.Peers}
			if err := p.call(ctx, o.Peers, ServiceName+".Relay", r, &replies[i]); err != nil {
				replies[i] = wire.RelayReply{}
			}
		})
	}
	p.runAll(calls)
	for _, r := range replies {
		alive = alive || r.Alive
		refused = refused || r.Refused
	}
	return alive, refused
}

// probeAddress probes the local member at an address whose connection was closed.
func (p *Peers) probeAddress(ctx context.Context, a netip.AddrPort) {
	p.mu.Lock()
	found := p.table.filter(func(m *wire.Member) bool { return m.Peers == a && p.isLocalPeer(m) })
	p.mu.Unlock()
	for _, m := range found {
		p.Spawn(func() { p.probe(ctx, m) })
	}
}

// markDead declares a host dead because there is proof that its process is gone.
func (p *Peers) markDead(h wire.HostID) {
	p.setState(h, wire.Dead, true)
}

// markSuspect suspects a host that replied neither to direct nor to indirect probes.
func (p *Peers) markSuspect(h wire.HostID) {
	p.setState(h, wire.Suspect, false)
}

// setState stores a state that this host found a member to be in, unless the known record supersedes it or belongs to another process.
func (p *Peers) setState(h wire.HostID, state wire.HostState, proof bool) {
	p.mu.Lock()
	r := p.table.rows[h.Name]
	if r == nil || r.member.Incarnation != h.Incarnation {
		p.mu.Unlock()
		return
	}
	m := r.member
	m.State, m.Proof = state, proof
	switch {
	case m.Supersedes(&r.member):
		p.storeRecord(m, true)
	case state == wire.Suspect && r.member.State == wire.Leaving && r.deathAt.IsZero():
		// A leaving host stays in that state until it is dead; the timeout covers one that ended without proof.
		r.deathAt = p.clock.Now().Add(p.suspicionTimeout())
	}
	p.mu.Unlock()
	p.publish()
}
