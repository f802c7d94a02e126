package peers

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"kingcupcross/wire"
)

const (
	// maxNews, maxMarks and maxLinks bound what one message carries.
	maxNews  = 12
	maxMarks = 12
	maxLinks = 8
	// resend times the logarithm of the data centre's size is the number of messages that one record rides on.
	resend = 2
	// markSends is the number of messages that a mark rides on: the next change brings the next mark.
	markSends = 6
)

// queue holds what is still to be told, by key, with the number of times that it was.
type queue[K cmp.Ordered] map[K]int

// add puts an entry first again.
func (q queue[K]) add(k K) {
	q[k] = 0
}

// take returns up to n entries, those told least often first, and drops each that was told limit times.
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

// sends is the number of messages that one record rides on among n hosts.
func sends(n int) int {
	return resend * (1 + bits.Len(uint(n)))
}

// gossip builds a message to a host of this data centre.
func (p *Peers) gossip() wire.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.greeting()
	limit := sends(p.size)
	g.News = p.records(p.news.take(maxNews, limit))
	g.Marks = p.marksOf(p.marks.take(maxMarks, markSends))
	g.Marks = append(g.Marks, p.marksOf(p.farMarks.take(maxMarks-len(g.Marks), markSends))...)
	for _, key := range p.linkNews.take(maxLinks, limit) {
		g.Links = append(g.Links, p.links[key])
	}
	return g
}

// greeting is a message without news.
func (p *Peers) greeting() wire.Gossip {
	_, fenced := p.board.Pulse.Fences()
	return wire.Gossip{
		From:   p.self(),
		Fenced: fenced,
		Digest: p.table.digest,
		Heads:  p.Heads(),
	}
}

// self returns this host's own record.
func (p *Peers) self() wire.Member {
	own := &p.table.rows[p.board.Self.Name].member
	if settings := p.Heads().Settings; settings != own.Settings {
		own.Settings = settings
		p.marked = true
	}
	return travelling(*own)
}

func (p *Peers) records(names []string) []wire.Member {
	var all []wire.Member
	for _, name := range names {
		if r := p.table.rows[name]; r != nil {
			all = append(all, travelling(r.member))
		}
	}
	return all
}

func (p *Peers) marksOf(names []string) []wire.Mark {
	var all []wire.Mark
	for _, name := range names {
		if r := p.table.rows[name]; r != nil {
			all = append(all, wire.Mark{Host: r.member.HostID, Settings: r.member.Settings})
		}
	}
	return all
}

// travelling returns a record without what holds for this host only.
func travelling(m wire.Member) wire.Member {
	m.Since = time.Time{}
	return m
}

// hear takes in a message of another host.
func (p *Peers) hear(g *wire.Gossip) {
	p.mu.Lock()
	p.merge(g.From, true, true)
	for _, m := range g.News {
		p.merge(m, false, true)
	}
	for _, m := range g.Marks {
		p.mark(m.Host, m.Settings)
	}
	if g.From.Datacentre == p.board.Self.Datacentre {
		for _, l := range g.Links {
			p.mergeLink(l)
		}
	}
	differs := g.Digest != p.table.digest && len(p.news) == 0 && len(g.News) == 0
	p.mu.Unlock()
	p.publish()
	if differs {
		p.reconcile(g.From)
	}
	p.Heard(g.From, g.Heads)
}

// merge takes in one record; direct says that it came from the host itself, and tell that this data centre's hosts may not know it yet.
func (p *Peers) merge(m wire.Member, direct, tell bool) {
	if m.Name == p.board.Self.Name {
		p.refute(&m)
		return
	}
	if m.Name == "" || m.State < wire.Alive || m.State > wire.Dead || !m.Peers.IsValid() {
		return
	}
	r := p.table.rows[m.Name]
	if r != nil && !m.Supersedes(&r.member) {
		p.mark(m.HostID, m.Settings)
		if direct && r.member.Incarnation == m.Incarnation && r.member.State != m.State {
			// The host lives and doesn't know yet what is said of it: the answer tells it.
			p.news.add(m.Name)
		}
		return
	}
	if r == nil && m.State == wire.Dead {
		// News of the death of a host that was never known, or is forgotten.
		return
	}
	p.accept(m, tell)
}

// accept puts a record in force and on its way.
func (p *Peers) accept(m wire.Member, tell bool) {
	now := p.clock.Now()
	old := p.table.rows[m.Name]
	changed := old == nil || old.member.State != m.State || old.member.Incarnation != m.Incarnation
	r := p.table.put(m, now)
	if m.State == wire.Suspect {
		r.verdict = now.Add(p.suspicion())
	}
	p.spreadNews(&r.member, tell)
	p.dirty = true
	if changed && (m.State != wire.Suspect || old == nil) {
		p.changes = append(p.changes, r.member)
	}
}

// spreadNews queues a record for this data centre, where tell says so, and for the others that this host tells unless it is a mere suspicion.
func (p *Peers) spreadNews(m *wire.Member, tell bool) {
	if tell {
		p.news.add(m.Name)
	}
	if m.State == wire.Suspect {
		return
	}
	for _, b := range p.bridges {
		b.pending[m.Name] = true
	}
}

// mark notes which settings change a host has in force.
func (p *Peers) mark(h wire.HostID, settings uint64) {
	r := p.table.rows[h.Name]
	if r == nil || r.member.Incarnation != h.Incarnation || settings <= r.member.Settings {
		return
	}
	r.member.Settings = settings
	p.marked = true
	if r.member.Datacentre != p.board.Self.Datacentre {
		p.farMarks.add(h.Name)
		return
	}
	p.marks.add(h.Name)
	for _, b := range p.bridges {
		b.marks[h.Name] = true
	}
}

// refute answers news of this host's own suspicion or death with a record that supersedes it.
func (p *Peers) refute(m *wire.Member) {
	own := &p.table.rows[m.Name].member
	switch {
	case m.Incarnation > own.Incarnation:
		// A later run has this name: this one was replaced while it was paused or cut off, and may not act again.
		p.replaced = true
		p.board.Pulse.Fence()
	case m.Incarnation == own.Incarnation && m.State != own.State && m.Supersedes(own):
		own.Refutation = m.Refutation + 1
		p.spreadNews(own, true)
		p.dirty = true
		p.scope.Counter("refutations").Inc(1)
	}
}
