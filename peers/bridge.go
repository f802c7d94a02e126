package peers

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"kingcupcross/wire"
)

const (
	// bridgesPerPair is the number of hosts of a data centre that exchange news with another data centre.
	bridgesPerPair = 2
	// bridgeTicks is the number of periods between two exchanges of a bridge.
	bridgeTicks = 2
	// bridgeMisses is the number of exchanges in a row that fail, each with another host, before a bridge says that the link is down.
	bridgeMisses = 4
	// maxPending is the number of records from which a whole table is sent in their place.
	maxPending = 60
)

// linkKey names a link by the bridge and the data centre at the other end.
type linkKey string

func keyOf(l *wire.Link) linkKey {
	return linkKey(l.Host.Name + "\x00" + l.Datacentre)
}

// bridge is this host's end of the link to another data centre.
type bridge struct {
	datacentre string
	// pending and marks name the records that the other end hasn't been told.
	pending map[string]bool
	marks   map[string]bool
	// whole says that the tables have to be exchanged first.
	whole  bool
	missed int
	busy   bool
}

// pair is the rendezvous key of two data centres, the same from both.
func pair(a, b string) string {
	return min(a, b) + "\x00" + max(a, b)
}

// places maps the data centres as one version of the table gives it, so that it isn't worked out anew each period.
type places struct {
	version uint64
	// members holds the hosts of each other data centre that aren't known to be gone, the first bridges first.
	members map[string][]wire.Member
	// bridges holds this data centre's bridges to each other one.
	bridges map[string][]wire.Member
}

// elsewhere returns the other data centres.
func (p *Peers) elsewhere() *places {
	if p.places != nil && p.places.version == p.table.version {
		return p.places
	}
	own := p.board.Self.Datacentre
	all := &places{
		version: p.table.version,
		members: map[string][]wire.Member{},
		bridges: map[string][]wire.Member{},
	}
	for _, m := range p.table.pick(func(m *wire.Member) bool { return m.Datacentre != own && m.State != wire.Dead }) {
		all.members[m.Datacentre] = append(all.members[m.Datacentre], m)
	}
	near := p.table.pick(func(m *wire.Member) bool { return m.Datacentre == own && living(m) })
	for datacentre, members := range all.members {
		key := pair(own, datacentre)
		all.members[datacentre] = rank(members, key)
		ranked := rank(near, key)
		all.bridges[datacentre] = ranked[:min(bridgesPerPair, len(ranked))]
	}
	p.places = all
	return all
}

// bridgeStep makes the exchanges with other data centres for which this host is chosen.
func (p *Peers) bridgeStep(ctx context.Context) {
	p.mu.Lock()
	if p.ticks%bridgeTicks != 0 {
		p.mu.Unlock()
		return
	}
	others := p.elsewhere()
	self := p.board.Self.Name
	var due []*bridge
	for datacentre := range others.members {
		mine := slices.ContainsFunc(others.bridges[datacentre], func(m wire.Member) bool { return m.Name == self })
		if !mine {
			delete(p.bridges, datacentre)
			continue
		}
		b := p.bridges[datacentre]
		if b == nil {
			b = &bridge{
				datacentre: datacentre,
				pending:    map[string]bool{},
				marks:      map[string]bool{},
				whole:      true,
			}
			p.bridges[datacentre] = b
		}
		if !b.busy {
			b.busy = true
			due = append(due, b)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(due, func(a, b *bridge) int { return cmp.Compare(a.datacentre, b.datacentre) })
	for _, b := range due {
		p.Spawn(func() { p.cross(ctx, b) })
	}
}

// cross makes one exchange of a bridge: with the other side's first host for the pair or, after misses, with one further down its order.
func (p *Peers) cross(ctx context.Context, b *bridge) {
	p.mu.Lock()
	ranked := p.elsewhere().members[b.datacentre]
	if len(ranked) == 0 {
		b.busy = false
		p.mu.Unlock()
		return
	}
	m := ranked[(int(p.ticks/bridgeTicks)%bridgesPerPair+b.missed)%len(ranked)]
	whole := b.whole || len(b.pending) > maxPending
	names, marks := unload(b.pending, 2*maxNews), unload(b.marks, 4*maxMarks)
	g := p.greeting()
	g.News, g.Marks = p.records(names), p.marksOf(marks)
	p.mu.Unlock()
	var err error
	if whole {
		_, err = p.sync(ctx, m.Peers)
	} else {
		err = p.exchange(ctx, m, g)
	}
	if wire.IsConnectionRefused(err) {
		p.bury(m.HostID)
	}
	p.crossed(b, err == nil, whole, names, marks)
}

// unload takes up to n names out of a set; they are put back where their message fails.
func unload(set map[string]bool, n int) []string {
	names := slices.Sorted(maps.Keys(set))
	names = names[:min(n, len(names))]
	for _, name := range names {
		delete(set, name)
	}
	return names
}

func putBack(set map[string]bool, names []string) {
	for _, name := range names {
		set[name] = true
	}
}

// crossed notes how an exchange ended, and tells this data centre where the link went up or down.
func (p *Peers) crossed(b *bridge, good, whole bool, names, marks []string) {
	p.mu.Lock()
	b.busy = false
	if good {
		b.missed = 0
		b.whole = b.whole && !whole
	} else {
		b.missed++
		putBack(b.pending, names)
		putBack(b.marks, marks)
	}
	l := wire.Link{Host: p.board.Self.HostID, Datacentre: b.datacentre, Down: b.missed >= bridgeMisses}
	old := p.links[keyOf(&l)]
	if l.Down != old.Down && (good || l.Down) && p.board.Pulse.Awake() {
		l.Version = old.Version + 1
		p.mergeLink(l)
	}
	p.mu.Unlock()
	p.publish()
}

// mergeLink takes in what a bridge says of its link.
func (p *Peers) mergeLink(l wire.Link) {
	key := keyOf(&l)
	old, known := p.links[key]
	if known && (old.Host.Incarnation > l.Host.Incarnation || (old.Host == l.Host && old.Version >= l.Version)) {
		return
	}
	p.links[key] = l
	p.linkNews.add(key)
	p.dirty = true
	p.log.Info("link changed", zap.String("bridge", l.Host.Name), zap.String("datacentre", l.Datacentre), zap.Bool("down", l.Down))
}

// cutOff returns the data centres to which all of this data centre's bridges have lost the link.
func (p *Peers) cutOff() map[string]bool {
	cut := map[string]bool{}
	for datacentre, bridges := range p.elsewhere().bridges {
		down := len(bridges) > 0
		for _, m := range bridges {
			l, known := p.links[keyOf(&wire.Link{Host: m.HostID, Datacentre: datacentre})]
			down = down && known && l.Host == m.HostID && l.Down
		}
		if down {
			cut[datacentre] = true
		}
	}
	return cut
}
