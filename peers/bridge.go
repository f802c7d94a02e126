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
	// bridgesPerPair is the number of hosts of a data centre that exchange records with one other data centre.
	bridgesPerPair = 2
	// bridgeExchangeTicks is the number of periods between two exchanges by a bridge.
	bridgeExchangeTicks = 2
	// maxBridgeFailures is the number of consecutive failed exchanges, each with another host, after which a bridge declares the link down.
	maxBridgeFailures = 4
	// maxUnsentRecords is the number of unsent records above which the whole table is sent instead.
	maxUnsentRecords = 60
)

// linkKey identifies a link by its bridge and the data centre at the other end.
type linkKey string

// linkKeyOf returns the key of a link.
func linkKeyOf(l *wire.Link) linkKey {
	return linkKey(l.Host.Name + "\x00" + l.Datacentre)
}

// bridge is the state of this host's exchanges with another data centre.
type bridge struct {
	datacentre string
	// unsentRecords and unsentSettings hold the names of the hosts whose records and settings versions have yet to be sent.
	unsentRecords  map[string]bool
	unsentSettings map[string]bool
	// needsFullTable says that whole tables have to be exchanged first.
	needsFullTable bool
	// failures counts consecutive failed exchanges.
	failures   int
	exchanging bool
}

// pairKey returns the rendezvous hashing key of two data centres, which is the same in either order.
func pairKey(a, b string) string {
	return min(a, b) + "\x00" + max(a, b)
}

// topology caches the hosts of the other data centres and the bridges to them for one version of the table, so that they aren't computed in each period.
type topology struct {
	version uint64
	// members holds the hosts of each other data centre that aren't dead, in rendezvous order, so its preferred bridges come first.
	members map[string][]wire.Member
	// bridges holds this data centre's bridges to each other data centre.
	bridges map[string][]wire.Member
}

// otherDatacentres returns the topology for the current version of the table.
func (p *Peers) otherDatacentres() *topology {
	if p.topology != nil && p.topology.version == p.table.recordVersion {
		return p.topology
	}
	own := p.board.Self.Datacentre
	t := &topology{
		version: p.table.recordVersion,
		members: map[string][]wire.Member{},
		bridges: map[string][]wire.Member{},
	}
	for _, m := range p.table.filter(func(m *wire.Member) bool { return m.Datacentre != own && m.State != wire.Dead }) {
		t.members[m.Datacentre] = append(t.members[m.Datacentre], m)
	}
	local := p.table.filter(func(m *wire.Member) bool { return m.Datacentre == own && isLive(m) })
	for datacentre, members := range t.members {
		key := pairKey(own, datacentre)
		t.members[datacentre] = rankByRendezvous(members, key)
		ranked := rankByRendezvous(local, key)
		t.bridges[datacentre] = ranked[:min(bridgesPerPair, len(ranked))]
	}
	p.topology = t
	return t
}

// startExchanges starts, every bridgeExchangeTicks periods, an exchange with each data centre to which this host is a bridge.
func (p *Peers) startExchanges(ctx context.Context) {
	p.mu.Lock()
	if p.ticks%bridgeExchangeTicks != 0 {
		p.mu.Unlock()
		return
	}
	t := p.otherDatacentres()
	self := p.board.Self.Name
	var due []*bridge
	for datacentre := range t.members {
		isBridge := slices.ContainsFunc(t.bridges[datacentre], func(m wire.Member) bool { return m.Name == self })
		if !isBridge {
			delete(p.bridges, datacentre)
			continue
		}
		b := p.bridges[datacentre]
		if b == nil {
			b = &bridge{
				datacentre:     datacentre,
				unsentRecords:  map[string]bool{},
				unsentSettings: map[string]bool{},
				needsFullTable: true,
			}
			p.bridges[datacentre] = b
		}
		if !b.exchanging {
			b.exchanging = true
			due = append(due, b)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(due, func(a, b *bridge) int { return cmp.Compare(a.datacentre, b.datacentre) })
	for _, b := range due {
		p.Spawn(func() { p.runExchange(ctx, b) })
	}
}

// runExchange makes one exchange with another data centre: alternating between its bridges or, after failures, with a host further down the rendezvous order.
func (p *Peers) runExchange(ctx context.Context, b *bridge) {
	p.mu.Lock()
	ranked := p.otherDatacentres().members[b.datacentre]
	if len(ranked) == 0 {
		b.exchanging = false
		p.mu.Unlock()
		return
	}
	m := ranked[(int(p.ticks/bridgeExchangeTicks)%bridgesPerPair+b.failures)%len(ranked)]
	sendTable := b.needsFullTable || len(b.unsentRecords) > maxUnsentRecords
	records, settings := takeNames(b.unsentRecords, 2*maxRecords), takeNames(b.unsentSettings, 4*maxSettings)
	g := p.gossipHeader()
	g.News, g.Marks = p.recordsOf(records), p.settingsOf(settings)
	p.mu.Unlock()
	var err error
	if sendTable {
		_, err = p.exchangeTables(ctx, m.Peers)
	} else {
		err = p.exchangeGossip(ctx, m, g)
	}
	if wire.IsConnectionRefused(err) {
		p.markDead(m.HostID)
	}
	p.finishExchange(b, err == nil, sendTable, records, settings)
}

// takeNames removes up to n names from a set and returns them; they are put back if their message fails.
func takeNames(set map[string]bool, n int) []string {
	names := slices.Sorted(maps.Keys(set))
	names = names[:min(n, len(names))]
	for _, name := range names {
		delete(set, name)
	}
	return names
}

// putBack adds the names that takeNames removed back to a set.
func putBack(set map[string]bool, names []string) {
	for _, name := range names {
		set[name] = true
	}
}

// finishExchange records the result of an exchange, puts back what a failed one didn't send, and announces in this data centre when the link goes up or down.
func (p *Peers) finishExchange(b *bridge, ok, sentTable bool, records, settings []string) {
	p.mu.Lock()
	b.exchanging = false
	if ok {
		b.failures = 0
		b.needsFullTable = b.needsFullTable && !sentTable
	} else {
		b.failures++
		putBack(b.unsentRecords, records)
		putBack(b.unsentSettings, settings)
	}
	l := wire.Link{Host: p.board.Self.HostID, Datacentre: b.datacentre, Down: b.failures >= maxBridgeFailures}
	old := p.links[linkKeyOf(&l)]
	if l.Down != old.Down && (ok || l.Down) && p.board.PauseDetector.MaySend() {
		l.Version = old.Version + 1
		p.mergeLink(l)
	}
	p.mu.Unlock()
	p.publish()
}

// mergeLink stores the state of a link that its bridge announced, if it is newer than the known one, and enqueues it for other hosts.
func (p *Peers) mergeLink(l wire.Link) {
	key := linkKeyOf(&l)
	old, known := p.links[key]
	if known && (old.Host.Incarnation > l.Host.Incarnation || (old.Host == l.Host && old.Version >= l.Version)) {
		return
	}
	p.links[key] = l
	p.linkQueue.add(key)
	p.recordsChanged = true
	p.log.Info("link state changed", zap.String("bridge", l.Host.Name), zap.String("datacentre", l.Datacentre), zap.Bool("down", l.Down))
}

// unreachableDatacentres returns the data centres to which all of this data centre's bridges announced that their link is down.
func (p *Peers) unreachableDatacentres() map[string]bool {
	unreachable := map[string]bool{}
	for datacentre, bridges := range p.otherDatacentres().bridges {
		allDown := len(bridges) > 0
		for _, m := range bridges {
			l, known := p.links[linkKeyOf(&wire.Link{Host: m.HostID, Datacentre: datacentre})]
			allDown = allDown && known && l.Host == m.HostID && l.Down
		}
		if allDown {
			unreachable[datacentre] = true
		}
	}
	return unreachable
}
