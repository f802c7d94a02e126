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
	// period is the time between two probes that a host makes.
	period = 200 * time.Millisecond
	// probeTimeout ends a probe, and again those that others make on this host's behalf.
	probeTimeout = 300 * time.Millisecond
	// suspicionBase is how long a suspicion stands among up to ten hosts before it becomes death.
	suspicionBase = 800 * time.Millisecond
	// syncTimeout ends an exchange of tables.
	syncTimeout = time.Second
	// markPeriod is the time between two publications of a view in which only settings' numbers changed.
	markPeriod = time.Second
)

// SilenceBound is the shortest time from a host's last sign of life to its death by silence; it is longer than board.PulseLimit, so a host that paused long enough to be taken for dead knows that it paused.
const SilenceBound = probeTimeout + suspicionBase

// Peers keeps the view of the other hosts on the board.
type Peers struct {
	// Heard is told of each host that was heard from, with its settings and shard maps; it must not block.
	Heard func(wire.Member, wire.Heads)
	// Heads returns this host's settings and shard maps.
	Heads func() wire.Heads
	// Spawn runs a part of a period beside the others.
	Spawn func(func())

	clock *timer.Service
	board *board.Board
	call  wire.CallFunc
	// mayAct says whether a host that starts or was paused has heard enough to act.
	mayAct func(*meeting) bool
	hosts  func(context.Context) ([]store.Host, error)
	seeds  []netip.AddrPort
	log    *zap.Logger
	scope  tally.Scope
	// lost brings the addresses whose connections broke.
	lost chan netip.AddrPort

	mu       sync.Mutex
	random   *rand.Rand
	table    *table
	size     int
	news     queue[string]
	marks    queue[string]
	farMarks queue[string]
	links    map[linkKey]wire.Link
	linkNews queue[linkKey]
	bridges  map[string]*bridge
	places   *places
	round    []string
	ticks    uint64
	dirty    bool
	marked   bool
	shown    time.Time
	changes  []wire.Member
	synced   time.Time
	replaced bool
	meeting  *meeting
	listed   listed
}

// New returns the membership part, which reaches other hosts by call; hosts reads the platform's list.
func New(clock *timer.Service, b *board.Board, call wire.CallFunc, hosts func(context.Context) ([]store.Host, error), seeds []netip.AddrPort, log *zap.Logger, scope tally.Scope) *Peers {
	p := &Peers{
		Heard:    func(wire.Member, wire.Heads) {},
		Heads:    func() wire.Heads { return wire.Heads{} },
		Spawn:    func(f func()) { go f() },
		clock:    clock,
		board:    b,
		call:     call,
		hosts:    hosts,
		seeds:    seeds,
		log:      log,
		scope:    scope,
		lost:     make(chan netip.AddrPort, lostBacklog),
		random:   rand.New(rand.NewPCG(b.Self.Incarnation, uint64(clock.Now().UnixNano()))),
		table:    newTable(b.View.Load().Members[b.Self.Name], clock.Now()),
		size:     1,
		news:     queue[string]{},
		marks:    queue[string]{},
		farMarks: queue[string]{},
		links:    map[linkKey]wire.Link{},
		linkNews: queue[linkKey]{},
		bridges:  map[string]*bridge{},
	}
	p.mayAct = p.over
	return p
}

const lostBacklog = 64

// fan runs some calls at once and waits for all.
func (p *Peers) fan(calls []func()) {
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

// Lost notes that the connection to an address was ended by the other side, which calls for a probe at once.
func (p *Peers) Lost(a netip.AddrPort) {
	select {
	case p.lost <- a:
	default:
	}
}

// Run probes until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	tick := p.clock.Every(period)
	defer tick.Stop()
	for {
		p.Step(ctx)
		select {
		case <-tick.C:
		case a := <-p.lost:
			p.probeAddress(ctx, a)
		case <-ctx.Done():
			return nil
		}
	}
}

// Step does the work of one period; Run calls it.
func (p *Peers) Step(ctx context.Context) {
	p.expire()
	p.refresh(ctx)
	p.gather(ctx)
	if m, found := p.next(); found {
		p.Spawn(func() { p.probe(ctx, m) })
	}
	p.bridgeStep(ctx)
	if m, found := p.silent(); found {
		p.Spawn(func() { p.sync(ctx, m.Peers) })
	}
	p.publish()
}

// expire turns suspicions that stood for their time into deaths and drops records whose time is over.
func (p *Peers) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticks++
	now := p.clock.Now()
	awake := p.board.Pulse.Awake()
	for _, r := range p.table.rows {
		if r.verdict.IsZero() || now.Before(r.verdict) {
			continue
		}
		if !awake {
			// This host was paused: an answer to the suspicion may wait in its own buffers.
			r.verdict = now.Add(p.suspicion())
			continue
		}
		m := r.member
		m.State = wire.Dead
		p.accept(m, true)
	}
	p.table.forget(now)
}

// next returns the member to probe: each member of the data centre once a round, in an order that is shuffled anew for each.
func (p *Peers) next() (wire.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 2 {
		for len(p.round) > 0 {
			name := p.round[0]
			p.round = p.round[1:]
			if r := p.table.rows[name]; r != nil && r.member.State != wire.Dead {
				return r.member, true
			}
		}
		for _, m := range p.table.pick(p.neighbour) {
			p.round = append(p.round, m.Name)
		}
		p.random.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	return wire.Member{}, false
}

// neighbour says whether m is another host of this data centre that isn't dead.
func (p *Peers) neighbour(m *wire.Member) bool {
	return m.Datacentre == p.board.Self.Datacentre && m.Name != p.board.Self.Name && m.State != wire.Dead
}

// silentTicks is the number of periods between two tries at a host that is dead by silence.
const silentTicks = 5

// silent returns now and then a host of this data centre that is dead by silence: it may have been cut off and be back.
func (p *Peers) silent() (wire.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ticks%silentTicks != 0 {
		return wire.Member{}, false
	}
	dead := p.table.pick(func(m *wire.Member) bool {
		return m.Datacentre == p.board.Self.Datacentre && m.State == wire.Dead && !m.Proof
	})
	if len(dead) == 0 {
		return wire.Member{}, false
	}
	return dead[p.random.IntN(len(dead))], true
}

// suspicion is the time that a suspicion stands; it grows with the time that news takes to travel.
func (p *Peers) suspicion() time.Duration {
	stands := suspicionBase
	for n := p.size; n > 10; n /= 10 {
		stands += suspicionBase
	}
	return stands
}

// publish puts the table on the board if it changed: a change of state at once, settings' numbers in batches.
func (p *Peers) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.dirty && (!p.marked || now.Sub(p.shown) < markPeriod) {
		return
	}
	p.dirty, p.marked, p.shown = false, false, now
	cut := p.cutOff()
	members := make(map[string]wire.Member, len(p.table.rows))
	p.size = 0
	for name, r := range p.table.rows {
		m := r.member
		if m.Datacentre == p.board.Self.Datacentre && living(&m) {
			p.size++
		}
		if cut[m.Datacentre] && living(&m) {
			m.State = wire.Unreachable
		}
		members[name] = m
	}
	p.board.View.Update(func(*board.View) *board.View { return &board.View{Members: members} })
	p.scope.Gauge("hosts").Update(float64(p.size))
	for _, m := range p.changes {
		p.log.Info("host changed", zap.Stringer("peer", m.HostID), zap.Stringer("state", m.State), zap.Bool("proof", m.Proof))
	}
	p.changes = nil
}

// Leave marks this host as leaving and tells all of its data centre, and a host of each other one, before it returns.
func (p *Peers) Leave(ctx context.Context) {
	p.mu.Lock()
	own := p.table.rows[p.board.Self.Name].member
	own.State = wire.Leaving
	p.spreadNews(&p.table.put(own, p.clock.Now()).member, true)
	p.dirty = true
	told := p.table.pick(p.neighbour)
	for _, members := range p.elsewhere().members {
		told = append(told, members[0])
	}
	g := p.greeting()
	p.mu.Unlock()
	p.publish()
	calls := make([]func(), 0, len(told))
	for _, m := range told {
		calls = append(calls, func() { p.tell(ctx, m, g) })
	}
	p.fan(calls)
}

func (p *Peers) tell(ctx context.Context, m wire.Member, g wire.Gossip) {
	ctx, cancel := p.clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer wire.Gossip
	if err := p.call(ctx, m.Peers, Remote+".Probe", g, &answer); err != nil {
		p.scope.Counter("untold").Inc(1)
	}
}
