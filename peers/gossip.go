package peers

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"kingcupcross/wire"
)

const (
	// maxRecords, maxSettings and maxLinks limit the membership records, settings versions and link states in one message.
	maxRecords  = 12
	maxSettings = 12
	maxLinks    = 8
	// sendFactor is the factor of recordSends on the logarithm of the data centre's number of hosts.
	sendFactor = 2
	// settingsSends is the number of messages that carry one settings version; it needs no more, because the next change sends a newer one.
	settingsSends = 6
)

// queue holds the keys of the entries that are still to be gossiped, with the number of messages that have carried each.
type queue[K cmp.Ordered] map[K]int

// add inserts an entry, or resets its count so that it is sent first again.
func (q queue[K]) add(k K) {
	q[k] = 0
}

// take returns up to n entries, those sent least often first, counts them as sent and removes those that were sent limit times.
func (q queue[K]) take(n, limit int) []K {
	if len(q) == 0 {
		return nil
	}
	keys := make([]K, 0, len(q))
	for k := range q {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Or(cmp.Compare(q[a], q[b]), cmp.Compare(a, b)) })
	keys = keys[:min(n, len(keys))]
	for _, k := range keys {
		q[k]++
		if q[k] >= limit {
			delete(q, k)
		}
	}
	return keys
}

// recordSends returns the number of messages that carry one record among n hosts.
func recordSends(n int) int {
	return sendFactor * (1 + bits.Len(uint(n)))
}

// localGossip builds a message to a host of this data centre, with the entries that are due from each queue.
func (p *Peers) localGossip() wire.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gossipHeader()
	limit := recordSends(p.liveHosts)
	g.News = p.recordsOf(p.recordQueue.take(maxRecords, limit))
	g.Marks = p.settingsOf(p.settingsQueue.take(maxSettings, settingsSends))
	g.Marks = append(g.Marks, p.settingsOf(p.remoteSettingsQueue.take(maxSettings-len(g.Marks), settingsSends))...)
	for _, key := range p.linkQueue.take(maxLinks, limit) {
		g.Links = append(g.Links, p.links[key])
	}
	return g
}

// gossipHeader returns a message without gossiped records.
func (p *Peers) gossipHeader() wire.Gossip {
	_, fenced := p.board.PauseDetector.FenceStatus()
	return wire.Gossip{
		From:   p.selfRecord(),
		Fenced: fenced,
		Digest: p.table.digest,
		Heads:  p.Heads(),
	}
}

// selfRecord returns this host's own record with its current settings version.
func (p *Peers) selfRecord() wire.Member {
	own := &p.table.rows[p.board.Self.Name].member
	if settings := p.Heads().Settings; settings != own.Settings {
		own.Settings = settings
		p.settingsChanged = true
	}
	return withoutLocalState(*own)
}

// recordsOf returns the records of the named hosts, as sent to other hosts.
func (p *Peers) recordsOf(names []string) []wire.Member {
	var records []wire.Member
	for _, name := range names {
		if r := p.table.rows[name]; r != nil {
			records = append(records, withoutLocalState(r.member))
		}
	}
	return records
}

// settingsOf returns the settings versions of the named hosts, as sent to other hosts.
func (p *Peers) settingsOf(names []string) []wire.AppliedSettings {
	var versions []wire.AppliedSettings
	for _, name := range names {
		if r := p.table.rows[name]; r != nil {
			versions = append(versions, wire.AppliedSettings{Host: r.member.HostID, Settings: r.member.Settings})
		}
	}
	return versions
}

// withoutLocalState returns a record without the fields that only hold for this host.
func withoutLocalState(m wire.Member) wire.Member {
	m.Since = time.Time{}
	return m
}

// handleGossip merges the contents of a message from another host.
func (p *Peers) handleGossip(g *wire.Gossip) {
	p.mu.Lock()
	p.mergeRecord(g.From, true, true)
	for _, m := range g.News {
		p.mergeRecord(m, false, true)
	}
	for _, m := range g.Marks {
		p.noteSettings(m.Host, m.Settings)
	}
	if g.From.Datacentre == p.board.Self.Datacentre {
		for _, l := range g.Links {
			p.mergeLink(l)
		}
	}
	outOfSync := g.Digest != p.table.digest && len(p.recordQueue) == 0 && len(g.News) == 0
	p.mu.Unlock()
	p.publish()
	if outOfSync {
		p.startTableSync(g.From)
	}
	p.OnContact(g.From, g.Heads)
}

// mergeRecord stores a received record if it supersedes the known one; direct says that it came from the host it describes, and gossip that it has to be spread in this data centre.
func (p *Peers) mergeRecord(m wire.Member, direct, gossip bool) {
	if m.Name == p.board.Self.Name {
		p.handleRecordOfSelf(&m)
		return
	}
	if m.Name == "" || m.State < wire.Alive || m.State > wire.Dead || !m.Peers.IsValid() {
		return
	}
	r := p.table.rows[m.Name]
	if r != nil && !m.Supersedes(&r.member) {
		p.noteSettings(m.HostID, m.Settings)
		if direct && r.member.Incarnation == m.Incarnation && r.member.State != m.State {
			// The host is alive and doesn't know yet that it is suspected or declared dead: send it the record.
			p.recordQueue.add(m.Name)
		}
		return
	}
	if r == nil && m.State == wire.Dead {
		// The dead host was never known, or its record has expired.
		return
	}
	p.storeRecord(m, gossip)
}

// storeRecord puts a record into the table and enqueues it for other hosts.
func (p *Peers) storeRecord(m wire.Member, gossip bool) {
	now := p.clock.Now()
	old := p.table.rows[m.Name]
	stateChanged := old == nil || old.member.State != m.State || old.member.Incarnation != m.Incarnation
	r := p.table.put(m, now)
	if m.State == wire.Suspect {
		r.deathAt = now.Add(p.suspicionTimeout())
	}
	p.enqueueRecord(&r.member, gossip)
	p.recordsChanged = true
	if stateChanged && (m.State != wire.Suspect || old == nil) {
		p.unloggedChanges = append(p.unloggedChanges, r.member)
	}
}

// enqueueRecord queues a record for this data centre if gossip is set and, unless it is only a suspicion, for the data centres to which this host is a bridge.
func (p *Peers) enqueueRecord(m *wire.Member, gossip bool) {
	if gossip {
		p.recordQueue.add(m.Name)
	}
	if m.State == wire.Suspect {
		return
	}
	for _, b := range p.bridges {
		b.unsentRecords[m.Name] = true
	}
}

// noteSettings stores the settings version that a host has in force and enqueues it for other hosts.
func (p *Peers) noteSettings(h wire.HostID, settings uint64) {
	r := p.table.rows[h.Name]
	if r == nil || r.member.Incarnation != h.Incarnation || settings <= r.member.Settings {
		return
	}
	r.member.Settings = settings
	p.settingsChanged = true
	if r.member.Datacentre != p.board.Self.Datacentre {
		p.remoteSettingsQueue.add(h.Name)
		return
	}
	p.settingsQueue.add(h.Name)
	for _, b := range p.bridges {
		b.unsentSettings[h.Name] = true
	}
}

// handleRecordOfSelf handles a received record of this host: it refutes a suspicion or death with a record that supersedes it, and fences this host if a later process has its name.
func (p *Peers) handleRecordOfSelf(m *wire.Member) {
	own := &p.table.rows[m.Name].member
	switch {
	case m.Incarnation > own.Incarnation:
		// A later process has this name: this one was replaced while it was paused or unreachable, and must not act again.
		p.replaced = true
		p.board.PauseDetector.Fence()
	case m.Incarnation == own.Incarnation && m.State != own.State && m.Supersedes(own):
		own.Refutation = m.Refutation + 1
		p.enqueueRecord(own, true)
		p.recordsChanged = true
		p.scope.Counter("refutations").Inc(1)
	}
}
