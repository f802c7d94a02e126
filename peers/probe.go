package peers

import (
	"context"
	"net/netip"

	"kingcupcross/wire"
)

// helpers is the number of members that probe on behalf of a host that got no answer.
const helpers = 3

// probe asks a member for a sign of life, directly and then through others.
func (p *Peers) probe(ctx context.Context, m wire.Member) {
	number, _ := p.board.Pulse.Fences()
	err := p.exchange(ctx, m, p.gossip())
	p.scope.Counter("probes").Inc(1)
	if err == nil || ctx.Err() != nil {
		return
	}
	if wire.IsConnectionRefused(err) {
		p.bury(m.HostID)
		return
	}
	alive, refused := p.relay(ctx, m)
	switch {
	case refused:
		p.bury(m.HostID)
	case alive || p.slept(number) || ctx.Err() != nil:
		// Where this host itself was paused meanwhile, its own clock ended the calls, not the other's silence.
	default:
		p.suspect(m.HostID)
	}
}

// slept says whether this host was paused since it counted number fences.
func (p *Peers) slept(number uint64) bool {
	now, fenced := p.board.Pulse.Fences()
	return now != number || fenced || !p.board.Pulse.Awake()
}

// exchange sends a message to a member and takes in the answer.
func (p *Peers) exchange(ctx context.Context, m wire.Member, g wire.Gossip) error {
	ctx, cancel := p.clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer wire.Gossip
	if err := p.call(ctx, m.Peers, Remote+".Probe", g, &answer); err != nil {
		return err
	}
	p.hear(&answer)
	if answer.From.HostID != m.HostID {
		// Another process answers at the address, so the run that listened there is gone.
		p.bury(m.HostID)
	}
	return nil
}

// relay has some members probe m.
func (p *Peers) relay(ctx context.Context, m wire.Member) (alive, refused bool) {
	p.mu.Lock()
	others := p.table.pick(func(o *wire.Member) bool {
		return p.neighbour(o) && o.State == wire.Alive && o.Name != m.Name
	})
	p.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	p.mu.Unlock()
	others = others[:min(helpers, len(others))]
	answers := make([]wire.RelayReply, len(others))
	calls := make([]func(), 0, len(others))
	for i, o := range others {
		calls = append(calls, func() {
			ctx, cancel := p.clock.WithTimeout(ctx, 2*probeTimeout)
			defer cancel()
			r := wire.Relay{Host: m.HostID, Address: m.Peers}
			if err := p.call(ctx, o.Peers, Remote+".Relay", r, &answers[i]); err != nil {
				answers[i] = wire.RelayReply{}
			}
		})
	}
	p.fan(calls)
	for _, a := range answers {
		alive = alive || a.Alive
		refused = refused || a.Refused
	}
	return alive, refused
}

// probeAddress probes the member at an address, whose connection broke.
func (p *Peers) probeAddress(ctx context.Context, a netip.AddrPort) {
	p.mu.Lock()
	found := p.table.pick(func(m *wire.Member) bool { return m.Peers == a && p.neighbour(m) })
	p.mu.Unlock()
	for _, m := range found {
		p.Spawn(func() { p.probe(ctx, m) })
	}
}

// bury notes the proof that a run of a host is gone.
func (p *Peers) bury(h wire.HostID) {
	p.judge(h, wire.Dead, true)
}

// suspect notes that a member answers nobody.
func (p *Peers) suspect(h wire.HostID) {
	p.judge(h, wire.Suspect, false)
}

// judge puts this host's own finding on a member in force, unless the member has refuted it or a later run is known.
func (p *Peers) judge(h wire.HostID, state wire.HostState, proof bool) {
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
		p.accept(m, true)
	case state == wire.Suspect && r.member.State == wire.Leaving && r.verdict.IsZero():
		// A leaving host stays leaving until it is gone, but not for ever where its end was silent.
		r.verdict = p.clock.Now().Add(p.suspicion())
	}
	p.mu.Unlock()
	p.publish()
}
