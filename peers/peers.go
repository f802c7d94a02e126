package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const (
	// probePeriod is the interval between two probes of a host.
	probePeriod = 200 * time.Millisecond
	// probeTimeout is the timeout of a direct probe, and again of the indirect probes that follow it.
	probeTimeout = 300 * time.Millisecond
	// suspicionBase is the suspicion timeout among up to ten hosts.
	suspicionBase = 800 * time.Millisecond
	// syncTimeout is the timeout of an exchange of tables.
	syncTimeout = time.Second
	// settingsPublishPeriod is the minimum interval between two publications of a view in which only the members' settings versions changed.
	settingsPublishPeriod = time.Second
)

// MinDetectionTime is the shortest time from a host's last sign of life until others declare it dead because it doesn't reply. It is longer than board.PauseThreshold, so a host that was paused long enough to be declared dead notices that it was paused.
const MinDetectionTime = probeTimeout + suspicionBase

// Peers probes the other hosts, exchanges membership records with them and publishes its view of them to the other packages of this host.
type Peers struct {
	// OnContact is called for each host that a message came from, with the versions of its settings and shard maps; it must not block.
	OnContact func(wire.Member, wire.Heads)
	// Heads returns the versions of this host's settings and shard maps.
	Heads func() wire.Heads
	// Spawn starts a function concurrently; tests replace it to run functions in a fixed order.
	Spawn func(func())

	clock *timer.Clock
	board *board.State
	call  wire.CallFunc
	// canAct reports whether a host that starts or was paused has reached enough of its peers to act; it is joinComplete except in tests.
	canAct func(*joinAttempt) bool
	// readPlatformList reads the platform's list of hosts.
	readPlatformList func(context.Context) ([]store.Host, error)
	seeds            []netip.AddrPort
	log              *zap.Logger
	scope            tally.Scope
	// disconnects receives the addresses whose connections the other side closed.
	disconnects chan netip.AddrPort

	// mu guards all fields below.
	mu     sync.Mutex
	random *rand.Rand
	table  *table
	// liveHosts is the number of live hosts in this data centre, including this one, as last published.
	liveHosts int
	// recordQueue holds the names of the hosts whose records are still to be gossiped in this data centre.
	recordQueue queue[string]
	// settingsQueue and remoteSettingsQueue do the same for settings versions of hosts in this data centre and in others.
	settingsQueue       queue[string]
	remoteSettingsQueue queue[string]
	// links holds the last known state of each link, linkQueue the keys of those that are still to be gossiped.
	links     map[linkKey]wire.Link
	linkQueue queue[linkKey]
	// bridges holds the exchanges with the data centres to which this host is a bridge, by data centre.
	bridges  map[string]*bridge
	topology *topology
	// probeOrder holds the names of the hosts that are still to be probed in this round.
	probeOrder []string
	// ticks counts periods.
	ticks uint64
	// recordsChanged says that records or links changed since publishedAt, settingsChanged that settings versions did.
	recordsChanged  bool
	settingsChanged bool
	publishedAt     time.Time
	// unloggedChanges holds the records with a new state that publish has yet to log.
	unloggedChanges []wire.Member
	// tableSyncedAt is the time of the last exchange of tables caused by different digests.
	tableSyncedAt time.Time
	// replaced says that a later process has this host's name.
	replaced     bool
	joinAttempt  *joinAttempt
	platformList platformList
}

// New returns the membership of a host, which calls other hosts through call; hosts reads the platform's list of hosts.
func New(clock *timer.Clock, b *board.State, call wire.CallFunc, hosts func(context.Context) ([]store.Host, error), seeds []netip.AddrPort, log *zap.Logger, scope tally.Scope) *Peers {
	p := &Peers{
		OnContact:           func(wire.Member, wire.Heads) {},
		Heads:               func() wire.Heads { return wire.Heads{} },
		Spawn:               func(f func()) { go f() },
		clock:               clock,
		board:               b,
		call:                call,
		readPlatformList:    hosts,
		seeds:               seeds,
		log:                 log,
		scope:               scope,
		disconnects:         make(chan netip.AddrPort, disconnectBacklog),
		random:              rand.New(rand.NewPCG(b.Self.Incarnation, uint64(clock.Now().UnixNano()))),
		table:               newTable(b.Membership.Load().Members[b.Self.Name], clock.Now()),
		liveHosts:           1,
		recordQueue:         queue[string]{},
		settingsQueue:       queue[string]{},
		remoteSettingsQueue: queue[string]{},
		links:               map[linkKey]wire.Link{},
		linkQueue:           queue[linkKey]{},
		bridges:             map[string]*bridge{},
	}
	p.canAct = p.joinComplete
	return p
}

// disconnectBacklog is the capacity of Peers.disconnects. Further disconnects are dropped, since each member is probed in every round anyway.
const disconnectBacklog = 64

// runAll runs the calls concurrently and waits for all of them.
func (p *Peers) runAll(calls []func()) {
	var group sync.WaitGroup
	for _, f := range calls {
		group.Add(1)
		p.Spawn(func() {
			defer group.Done()
			f()
		})
	}
	group.Wait()
}

// HandleDisconnect reports that the other side closed the connection to an address, so that the member there is probed at once.
func (p *Peers) HandleDisconnect(a netip.AddrPort) {
	select {
	case p.disconnects <- a:
	default:
	}
}

// Run probes the other hosts until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	tick := p.clock.Every(probePeriod)
	defer tick.Stop()
	for {
		p.Step(ctx)
		select {
		case <-tick.C:
		case a := <-p.disconnects:
			p.probeAddress(ctx, a)
		case <-ctx.Done():
			return nil
		}
	}
}

// Step does the work of one period; Run calls it, and tests do so directly.
func (p *Peers) Step(ctx context.Context) {
	p.expireSuspicions()
	p.startListRead(ctx)
	p.startJoin(ctx)
	if m, found := p.nextToProbe(); found {
		p.Spawn(func() { p.probe(ctx, m) })
	}
	p.startExchanges(ctx)
	if m, found := p.nextSilent(); found {
		p.Spawn(func() { p.exchangeTables(ctx, m.Peers) })
	}
	p.publish()
}

// expireSuspicions declares members dead whose suspicion timeout has passed, and removes expired records.
func (p *Peers) expireSuspicions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticks++
	now := p.clock.Now()
	maySend := p.board.PauseDetector.MaySend()
	for _, r := range p.table.rows {
		if r.deathAt.IsZero() || now.Before(r.deathAt) {
			continue
		}
		if !maySend {
			// This host was paused, so a refutation may still be in its receive buffers.
			r.deathAt = now.Add(p.suspicionTimeout())
			continue
		}
		m := r.member
		m.State = wire.Dead
		p.storeRecord(m, true)
	}
	p.table.removeExpired(now)
}

// nextToProbe returns the member to probe: each member of the data centre once per round, in an order that is shuffled for every round.
func (p *Peers) nextToProbe() (wire.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 2 {
		for len(p.probeOrder) > 0 {
			name := p.probeOrder[0]
			p.probeOrder = p.probeOrder[1:]
			if r := p.table.rows[name]; r != nil && r.member.State != wire.Dead {
				return r.member, true
			}
		}
		for _, m := range p.table.filter(p.isLocalPeer) {
			p.probeOrder = append(p.probeOrder, m.Name)
		}
		p.random.Shuffle(len(p.probeOrder), func(i, j int) { p.probeOrder[i], p.probeOrder[j] = p.probeOrder[j], p.probeOrder[i] })
	}
	return wire.Member{}, false
}

// isLocalPeer reports whether m is another host of this data centre that isn't dead.
func (p *Peers) isLocalPeer(m *wire.Member) bool {
	return m.Datacentre == p.board.Self.Datacentre && m.Name != p.board.Self.Name && m.State != wire.Dead
}

// silentRetryTicks is the number of periods between two attempts to reach a host that was declared dead without proof.
const silentRetryTicks = 5

// nextSilent returns, every silentRetryTicks periods, a random host of this data centre that was declared dead without proof: it may have been unreachable and be back.
func (p *Peers) nextSilent() (wire.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ticks%silentRetryTicks != 0 {
		return wire.Member{}, false
	}
	dead := p.table.filter(func(m *wire.Member) bool {
		return m.Datacentre == p.board.Self.Datacentre && m.State == wire.Dead && !m.Proof
	})
	if len(dead) == 0 {
		return wire.Member{}, false
	}
	return dead[p.random.IntN(len(dead))], true
}

// suspicionTimeout returns the time from a suspicion to the declaration of death; it grows with the logarithm of the number of hosts, as the time that records take to spread does.
func (p *Peers) suspicionTimeout() time.Duration {
	timeout := suspicionBase
	for n := p.liveHosts; n > 10; n /= 10 {
		timeout += suspicionBase
	}
	return timeout
}

// publish publishes the table as the host's view of the other hosts: at once if a member changed, at most once per settingsPublishPeriod if only settings versions did.
func (p *Peers) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.recordsChanged && (!p.settingsChanged || now.Sub(p.publishedAt) < settingsPublishPeriod) {
		return
	}
	p.recordsChanged, p.settingsChanged, p.publishedAt = false, false, now
	unreachable := p.unreachableDatacentres()
	members := make(map[string]wire.Member, len(p.table.rows))
	p.liveHosts = 0
	for name, r := range p.table.rows {
		m := r.member
		if m.Datacentre == p.board.Self.Datacentre && isLive(&m) {
			p.liveHosts++
		}
		if unreachable[m.Datacentre] && isLive(&m) {
			m.State = wire.Unreachable
		}
		members[name] = m
	}
	p.board.Membership.Update(func(*board.Membership) *board.Membership { return &board.Membership{Members: members} })
	p.scope.Gauge("hosts").Update(float64(p.liveHosts))
	for _, m := range p.unloggedChanges {
		p.log.Info("host state changed", zap.Stringer("peer", m.HostID), zap.Stringer("state", m.State), zap.Bool("proof", m.Proof))
	}
	p.unloggedChanges = nil
}

// Leave marks this host as leaving and notifies all hosts of its data centre and one host of each other one before it returns.
func (p *Peers) Leave(ctx context.Context) {
	p.mu.Lock()
	own := p.table.rows[p.board.Self.Name].member
	own.State = wire.Leaving
	p.enqueueRecord(&p.table.put(own, p.clock.Now()).member, true)
	p.recordsChanged = true
	recipients := p.table.filter(p.isLocalPeer)
	for _, members := range p.otherDatacentres().members {
		recipients = append(recipients, members[0])
	}
	g := p.gossipHeader()
	p.mu.Unlock()
	p.publish()
	calls := make([]func(), 0, len(recipients))
	for _, m := range recipients {
		calls = append(calls, func() { p.notify(ctx, m, g) })
	}
	p.runAll(calls)
}

// notify sends a message to a member and ignores its reply.
func (p *Peers) notify(ctx context.Context, m wire.Member, g wire.Gossip) {
	ctx, cancel := p.clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply wire.Gossip
	if err := p.call(ctx, m.Peers, ServiceName+".Probe", g, &reply); err != nil {
		p.scope.Counter("untold").Inc(1)
	}
}
