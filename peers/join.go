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
	// isolatedJoinDelay is how long a starting host tries to reach peers that don't reply before it joins without them.
	isolatedJoinDelay = 3 * time.Second
	// IsolatedRejoinDelay is how long a host that was paused and gets no reply waits before it acts again. By then each peer has either declared it dead and taken over, or was itself paused and is fenced, because the delay is longer than the time to declare a host dead plus board.PauseThreshold.
	IsolatedRejoinDelay = 5 * time.Second
	// maxParallelCalls is the number of hosts that a joining or rejoining host contacts concurrently.
	maxParallelCalls = 8
	// tableSyncGap is the minimum interval between two exchanges of tables caused by different digests.
	tableSyncGap = 5 * time.Second
	// listPeriod is the interval at which the few hosts that read the platform's list do so.
	listPeriod = 5 * time.Second
	// minListRetry is the interval for a host that knows no peer, and the first backoff after a failure.
	minListRetry = time.Second
	// maxListRetry is the maximum backoff after failures.
	maxListRetry = 30 * time.Second
	// listReaders is the number of hosts per data centre that read the platform's list periodically.
	listReaders = 2
)

// joinAttempt is an attempt to reach the peers, at the start or after a pause.
type joinAttempt struct {
	// fenceNumber is the number of the fence that a pause set, or zero at the start.
	fenceNumber uint64
	startedAt   time.Time
	// reached holds the addresses that replied or refused the connection, which proves that the process is gone.
	reached map[netip.AddrPort]bool
	running bool
	// foundActivePeer says that a peer of this data centre replied that isn't fenced itself.
	foundActivePeer bool
	// newestSettings is the highest settings version that a peer reported.
	newestSettings uint64
}

// platformList holds the last list of hosts read from the platform and the schedule of readings.
type platformList struct {
	// nextRead is the time of the next reading.
	nextRead   time.Time
	backoff    time.Duration
	lastReadOK bool
	hosts      []store.Host
}

// startJoin starts or continues a join attempt if this host has not joined yet or was paused.
func (p *Peers) startJoin(ctx context.Context) {
	number, fenced := p.board.PauseDetector.FenceStatus()
	if !fenced && p.board.Joined() {
		return
	}
	if !fenced {
		number = 0
	}
	p.mu.Lock()
	if p.joinAttempt == nil || p.joinAttempt.fenceNumber != number {
		p.joinAttempt = &joinAttempt{fenceNumber: number, startedAt: p.clock.Now(), reached: map[netip.AddrPort]bool{}}
		// The list may have changed during the pause, so it has to be read again.
		p.platformList.nextRead, p.platformList.lastReadOK = time.Time{}, false
	}
	j := p.joinAttempt
	start := !j.running && !p.replaced
	j.running = j.running || start
	p.mu.Unlock()
	if start {
		p.Spawn(func() { p.runJoin(ctx, j) })
	}
}

// runJoin exchanges tables with peers that haven't replied yet; once canAct allows it, it ends the fence and marks the host as joined.
func (p *Peers) runJoin(ctx context.Context, j *joinAttempt) {
	p.mu.Lock()
	unanswered := p.unansweredAddresses(j)
	p.mu.Unlock()
	calls := make([]func(), 0, maxParallelCalls)
	for _, a := range unanswered[:min(maxParallelCalls, len(unanswered))] {
		calls = append(calls, func() { p.joinThrough(ctx, j, a) })
	}
	p.runAll(calls)
	p.mu.Lock()
	j.running = false
	complete := !p.replaced && p.canAct(j)
	p.mu.Unlock()
	if !complete || ctx.Err() != nil {
		return
	}
	if j.fenceNumber > 0 && p.board.PauseDetector.ClearFence(j.fenceNumber) {
		p.log.Info("host rejoined after a pause", zap.Duration("after", p.clock.Since(j.startedAt)), zap.Bool("met", j.foundActivePeer))
	}
	p.board.MarkJoined()
}

// joinThrough exchanges tables with one host. If that host reported this one as suspected or dead, it exchanges them a second time, to deliver the refutation.
func (p *Peers) joinThrough(ctx context.Context, j *joinAttempt, a netip.AddrPort) {
	before := p.refutation()
	t, err := p.exchangeTables(ctx, a)
	if err == nil && p.refutation() != before {
		t, err = p.exchangeTables(ctx, a)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !wire.IsConnectionRefused(err) {
		return
	}
	j.reached[a] = true
	if err == nil {
		j.newestSettings = max(j.newestSettings, t.Heads.Settings)
	}
	if err == nil && t.From.Datacentre == p.board.Self.Datacentre {
		j.foundActivePeer = j.foundActivePeer || !t.Fenced
	}
}

// refutation returns the refutation number of this host's own record.
func (p *Peers) refutation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.rows[p.board.Self.Name].member.Refutation
}

// unansweredAddresses returns the addresses of this data centre's hosts that have neither replied nor refused the connection, in random order; it includes the seeds unless this host was paused.
func (p *Peers) unansweredAddresses(j *joinAttempt) []netip.AddrPort {
	candidates := map[netip.AddrPort]bool{}
	for _, o := range p.table.filter(func(o *wire.Member) bool {
		return o.Datacentre == p.board.Self.Datacentre && (o.State != wire.Dead || !o.Proof)
	}) {
		candidates[o.Peers] = true
	}
	for _, h := range p.platformList.hosts {
		if h.Datacentre == p.board.Self.Datacentre {
			candidates[h.Peers] = true
		}
	}
	if j.fenceNumber == 0 {
		for _, s := range p.seeds {
			candidates[s] = true
		}
	}
	delete(candidates, p.board.Self.Peers)
	unanswered := make([]netip.AddrPort, 0, len(candidates))
	for c := range candidates {
		if !j.reached[c] {
			unanswered = append(unanswered, c)
		}
	}
	p.random.Shuffle(len(unanswered), func(i, j int) { unanswered[i], unanswered[j] = unanswered[j], unanswered[i] })
	return unanswered
}

// joinComplete reports whether the host may act. It may if its settings are as new as those of the peers it reached and one of them isn't fenced, or all hosts that could act in its place were reached; or if it has waited so long that each of them has taken over or was paused too.
func (p *Peers) joinComplete(j *joinAttempt) bool {
	delay := isolatedJoinDelay
	if j.fenceNumber > 0 {
		delay = IsolatedRejoinDelay
	}
	reachedAll := len(p.unansweredAddresses(j)) == 0 && (p.platformList.lastReadOK || len(j.reached) > 0)
	settingsCurrent := p.Heads().Settings >= j.newestSettings
	return (settingsCurrent && (j.foundActivePeer || reachedAll)) || p.clock.Since(j.startedAt) >= delay
}

// startListRead reads the platform's list if a reading is due. The list is only used to find hosts that this one doesn't know, because it lags behind.
func (p *Peers) startListRead(ctx context.Context) {
	if p.listDue() {
		p.Spawn(func() { p.readList(ctx) })
	}
}

// listDue reports whether this host has to read the list now, and schedules the next check.
func (p *Peers) listDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Before(p.platformList.nextRead) {
		return false
	}
	p.platformList.nextRead = now.Add(p.jitter(listPeriod))
	if p.liveHosts > 1 && p.board.Joined() && !p.isListReader() {
		return false
	}
	// readList sets the time of the next reading when it is done.
	p.platformList.nextRead = now.Add(maxListRetry)
	return true
}

// isListReader reports whether this host is one of the listReaders of its data centre.
func (p *Peers) isListReader() bool {
	for _, m := range SelectByRendezvous(p.board.Membership.Load().Members, p.board.Self.Datacentre, "hosts", listReaders) {
		if m.Name == p.board.Self.Name {
			return true
		}
	}
	return false
}

// jitter returns a random duration between d/2 and d, so that hosts don't act at the same time.
func (p *Peers) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Int64N(int64(d/2)))
}

// readList reads the platform's list, schedules the next reading and exchanges tables with hosts that this one doesn't know.
func (p *Peers) readList(ctx context.Context) {
	hosts, err := p.readPlatformList(ctx)
	p.mu.Lock()
	p.platformList.lastReadOK = err == nil
	wait := listPeriod
	switch {
	case err != nil:
		p.platformList.backoff = min(max(2*p.platformList.backoff, minListRetry), maxListRetry)
		wait = p.platformList.backoff
	case p.liveHosts <= 1:
		wait = minListRetry
		fallthrough
	default:
		p.platformList.backoff = 0
		p.platformList.hosts = hosts
	}
	p.platformList.nextRead = p.clock.Now().Add(p.jitter(wait))
	unknown := p.unknownAddresses()
	p.mu.Unlock()
	calls := make([]func(), 0, len(unknown))
	for _, a := range unknown {
		calls = append(calls, func() { p.exchangeTables(ctx, a) })
	}
	p.runAll(calls)
}

// unknownAddresses returns a random selection of up to maxParallelCalls addresses from the list at which this host knows no live member.
func (p *Peers) unknownAddresses() []netip.AddrPort {
	known := map[netip.AddrPort]bool{p.board.Self.Peers: true}
	for _, m := range p.table.filter(func(m *wire.Member) bool { return m.State != wire.Dead }) {
		known[m.Peers] = true
	}
	var unknown []netip.AddrPort
	for _, h := range p.platformList.hosts {
		if h.State == store.Live && !known[h.Peers] {
			unknown = append(unknown, h.Peers)
		}
	}
	p.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown[:min(maxParallelCalls, len(unknown))]
}

// startTableSync exchanges tables with a host whose digest differs although neither side has records left to send; at most once per tableSyncGap.
func (p *Peers) startTableSync(m wire.Member) {
	p.mu.Lock()
	now := p.clock.Now()
	due := now.Sub(p.tableSyncedAt) >= tableSyncGap
	if due {
		p.tableSyncedAt = now
	}
	p.mu.Unlock()
	if due {
		p.Spawn(func() { p.exchangeTables(context.Background(), m.Peers) })
	}
}

// exchangeTables sends this host's table to the host at an address and merges the table that it returns.
func (p *Peers) exchangeTables(ctx context.Context, a netip.AddrPort) (wire.Table, error) {
	ctx, cancel := p.clock.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply wire.Table
	if err := p.call(ctx, a, ServiceName+".Sync", p.fullTable(), &reply); err != nil {
		return reply, err
	}
	p.scope.Counter("syncs").Inc(1)
	p.mergeTable(&reply)
	return reply, nil
}

// fullTable returns a message with all records of this host.
func (p *Peers) fullTable() wire.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gossipHeader()
	t := wire.Table{From: g.From, Fenced: g.Fenced, Heads: g.Heads}
	for _, m := range p.table.filter(func(m *wire.Member) bool { return m.Name != g.From.Name }) {
		t.Members = append(t.Members, withoutLocalState(m))
	}
	return t
}

// mergeTable merges all records of another host into this host's table.
func (p *Peers) mergeTable(t *wire.Table) {
	p.mu.Lock()
	p.mergeRecord(t.From, true, true)
	// Records from a host of this data centre needn't be gossiped within it: they are being spread already, or the other hosts' digests differ too and they exchange tables.
	gossip := t.From.Datacentre != p.board.Self.Datacentre
	for _, m := range t.Members {
		p.mergeRecord(m, false, gossip)
	}
	p.mu.Unlock()
	p.publish()
	p.OnContact(t.From, t.Heads)
}
