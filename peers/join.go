package peers

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"kingcupcross/store"
	"kingcupcross/wire"
)

const (
	// joinBound is how long a fresh host looks for peers that don't answer before it takes itself for the only one.
	joinBound = 3 * time.Second
	// LoneBound is how long a host that was paused and gets no answer waits before it acts again: longer than any peer takes to declare it dead and longer than board.PulseLimit after that, so each has either taken over or is fenced itself.
	LoneBound = 5 * time.Second
	// meetAtOnce is the number of hosts that a host that joins or rejoins asks at once.
	meetAtOnce = 8
	// syncGap is the time between two exchanges of tables that differing digests call for.
	syncGap = 5 * time.Second
	// listPeriod is the time between two readings of the platform's list by the few hosts that read it.
	listPeriod = 5 * time.Second
	// listHurry is that time for a host that knows no peer, and the first wait after a failure.
	listHurry = time.Second
	// listSlowest is the longest wait after failures.
	listSlowest = 30 * time.Second
	// listReaders is the number of hosts of a data centre that read the platform's list.
	listReaders = 2
)

// meeting is an attempt to hear from the peers, at the start or after a pause.
type meeting struct {
	// fence is the number of the pause, or zero at the start.
	fence uint64
	since time.Time
	// met holds the addresses that answered, or refused and so are gone.
	met  map[netip.AddrPort]bool
	busy bool
	// woken says that a peer of this data centre answered that wasn't paused itself.
	woken bool
	// settings is the highest number of a settings change that a peer was found to have.
	settings uint64
}

// listed is what the platform's list said last.
type listed struct {
	next  time.Time
	wait  time.Duration
	good  bool
	hosts []store.Host
}

// gather holds a meeting where this host has not joined yet or was paused.
func (p *Peers) gather(ctx context.Context) {
	number, fenced := p.board.Pulse.Fences()
	if !fenced && p.board.Joined() {
		return
	}
	if !fenced {
		number = 0
	}
	p.mu.Lock()
	if p.meeting == nil || p.meeting.fence != number {
		p.meeting = &meeting{fence: number, since: p.clock.Now(), met: map[netip.AddrPort]bool{}}
		// What the list said before a pause counts for nothing.
		p.listed.next, p.listed.good = time.Time{}, false
	}
	m := p.meeting
	start := !m.busy && !p.replaced
	m.busy = m.busy || start
	p.mu.Unlock()
	if start {
		p.Spawn(func() { p.meet(ctx, m) })
	}
}

// meet asks peers for their tables and ends the meeting where the answers, or the time that has passed, allow it.
func (p *Peers) meet(ctx context.Context, m *meeting) {
	p.mu.Lock()
	absent := p.absent(m)
	p.mu.Unlock()
	calls := make([]func(), 0, meetAtOnce)
	for _, a := range absent[:min(meetAtOnce, len(absent))] {
		calls = append(calls, func() { p.meetOne(ctx, m, a) })
	}
	p.fan(calls)
	p.mu.Lock()
	m.busy = false
	over := !p.replaced && p.mayAct(m)
	p.mu.Unlock()
	if !over || ctx.Err() != nil {
		return
	}
	if m.fence > 0 && p.board.Pulse.RejoinAfter(m.fence) {
		p.log.Info("host rejoined", zap.Duration("after", p.clock.Since(m.since)), zap.Bool("met", m.woken))
	}
	p.board.Join()
}

// meetOne exchanges tables with one host; where that told this host of its own death, once more, so that the other knows that it lives.
func (p *Peers) meetOne(ctx context.Context, m *meeting, a netip.AddrPort) {
	before := p.refutation()
	t, err := p.sync(ctx, a)
	if err == nil && p.refutation() != before {
		t, err = p.sync(ctx, a)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !wire.IsConnectionRefused(err) {
		return
	}
	m.met[a] = true
	if err == nil {
		m.settings = max(m.settings, t.Heads.Settings)
	}
	if err == nil && t.From.Datacentre == p.board.Self.Datacentre {
		m.woken = m.woken || !t.Fenced
	}
}

func (p *Peers) refutation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.rows[p.board.Self.Name].member.Refutation
}

// absent returns the addresses of this data centre's hosts, in random order, that have neither answered nor refused; seeds count until the host has joined.
func (p *Peers) absent(m *meeting) []netip.AddrPort {
	set := map[netip.AddrPort]bool{}
	for _, o := range p.table.pick(func(o *wire.Member) bool {
		return o.Datacentre == p.board.Self.Datacentre && (o.State != wire.Dead || !o.Proof)
	}) {
		set[o.Peers] = true
	}
	for _, h := range p.listed.hosts {
		if h.Datacentre == p.board.Self.Datacentre {
			set[h.Peers] = true
		}
	}
	if m.fence == 0 {
		for _, a := range p.seeds {
			set[a] = true
		}
	}
	delete(set, p.board.Self.Peers)
	all := make([]netip.AddrPort, 0, len(set))
	for a := range set {
		if !m.met[a] {
			all = append(all, a)
		}
	}
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// over says whether the host may act: it met a peer that was awake, or all hosts that could act in its place, and has the settings that those have, or met nobody for so long that each of them has taken over or was paused too.
func (p *Peers) over(m *meeting) bool {
	bound := joinBound
	if m.fence > 0 {
		bound = LoneBound
	}
	all := len(p.absent(m)) == 0 && (p.listed.good || len(m.met) > 0)
	current := p.Heads().Settings >= m.settings
	return (current && (m.woken || all)) || p.clock.Since(m.since) >= bound
}

// refresh reads the platform's list, which names hosts that this one may not know; the list lags, so it is believed in nothing else.
func (p *Peers) refresh(ctx context.Context) {
	if p.listDue() {
		p.Spawn(func() { p.readList(ctx) })
	}
}

// listDue says whether this host is to read the list now.
func (p *Peers) listDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Before(p.listed.next) {
		return false
	}
	p.listed.next = now.Add(p.jitter(listPeriod))
	if p.size > 1 && p.board.Joined() && !p.reads() {
		return false
	}
	// The reading sets the next time when it is done.
	p.listed.next = now.Add(listSlowest)
	return true
}

// reads says whether this host is one of its data centre's readers of the list.
func (p *Peers) reads() bool {
	for _, m := range First(p.board.View.Load().Members, p.board.Self.Datacentre, "hosts", listReaders) {
		if m.Name == p.board.Self.Name {
			return true
		}
	}
	return false
}

// jitter returns a time between half of d and d, so that hosts don't act in step.
func (p *Peers) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Int64N(int64(d/2)))
}

func (p *Peers) readList(ctx context.Context) {
	hosts, err := p.hosts(ctx)
	p.mu.Lock()
	p.listed.good = err == nil
	wait := listPeriod
	switch {
	case err != nil:
		p.listed.wait = min(max(2*p.listed.wait, listHurry), listSlowest)
		wait = p.listed.wait
	case p.size <= 1:
		wait = listHurry
		fallthrough
	default:
		p.listed.wait = 0
		p.listed.hosts = hosts
	}
	p.listed.next = p.clock.Now().Add(p.jitter(wait))
	strangers := p.strangers()
	p.mu.Unlock()
	calls := make([]func(), 0, len(strangers))
	for _, a := range strangers {
		calls = append(calls, func() { p.sync(ctx, a) })
	}
	p.fan(calls)
}

// strangers returns some addresses of the list at which this host knows nobody living.
func (p *Peers) strangers() []netip.AddrPort {
	known := map[netip.AddrPort]bool{p.board.Self.Peers: true}
	for _, m := range p.table.pick(func(m *wire.Member) bool { return m.State != wire.Dead }) {
		known[m.Peers] = true
	}
	var all []netip.AddrPort
	for _, h := range p.listed.hosts {
		if h.State == store.Live && !known[h.Peers] {
			all = append(all, h.Peers)
		}
	}
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(meetAtOnce, len(all))]
}

// reconcile exchanges tables with a host whose digest differs though neither has news.
func (p *Peers) reconcile(m wire.Member) {
	p.mu.Lock()
	now := p.clock.Now()
	due := now.Sub(p.synced) >= syncGap
	if due {
		p.synced = now
	}
	p.mu.Unlock()
	if due {
		p.Spawn(func() { p.sync(context.Background(), m.Peers) })
	}
}

// sync exchanges whole tables with the host at an address.
func (p *Peers) sync(ctx context.Context, a netip.AddrPort) (wire.Table, error) {
	ctx, cancel := p.clock.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var answer wire.Table
	if err := p.call(ctx, a, Remote+".Sync", p.whole(), &answer); err != nil {
		return answer, err
	}
	p.scope.Counter("syncs").Inc(1)
	p.hearTable(&answer)
	return answer, nil
}

// whole returns all that this host knows.
func (p *Peers) whole() wire.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.greeting()
	t := wire.Table{From: g.From, Fenced: g.Fenced, Heads: g.Heads}
	for _, m := range p.table.pick(func(m *wire.Member) bool { return m.Name != g.From.Name }) {
		t.Members = append(t.Members, travelling(m))
	}
	return t
}

// hearTable takes in all that another host knows.
func (p *Peers) hearTable(t *wire.Table) {
	p.mu.Lock()
	p.merge(t.From, true, true)
	// What a neighbour's table holds is on its way already, or the neighbours' digests differ as well.
	tell := t.From.Datacentre != p.board.Self.Datacentre
	for _, m := range t.Members {
		p.merge(m, false, tell)
	}
	p.mu.Unlock()
	p.publish()
	p.Heard(t.From, t.Heads)
}
