package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/board"
	"kingcupcross/wire"
)

// peer is one other host of this data centre that may live.
type peer struct {
	member wire.Member
	// since is when the peer became known, and silent since when it counts as dead without proof; zero means that it is present.
	since  time.Time
	silent time.Time
	// settled says that the peer counts in the shares.
	settled bool
	// turns counts how often the peer became silent: what it said before counts no more.
	turns uint64
	// confirmed says that the peer has answered about all targets kept here since it came or came back.
	confirmed bool
	// recheck says that the peer is to be asked for a sign of life, as another one has become silent, and failed is since when it gives none.
	recheck bool
	failed  time.Time
	// heard says that another host told of the peer, which the view doesn't show.
	heard bool
	// calling says that a call to the peer is under way, and called is when the last one began.
	calling bool
	called  time.Time
}

// roster holds the other hosts of this data centre with what is proved of them; its owner's lock guards it.
type roster struct {
	self  wire.Member
	began time.Time
	peers map[string]*peer
	// ended holds the runs of hosts that are proved to have ended, with the time of the proof.
	ended map[wire.HostID]time.Time
	// lastEnd is the time of the last proof.
	lastEnd time.Time
	// linger holds settled hosts that ended while it was not certain what they kept, with the time at which their requests have ended.
	linger map[string]time.Time
	// flight returns the longest time that a request runs.
	flight func() time.Duration
}

func newRoster(self wire.Member, now time.Time, flight func() time.Duration) *roster {
	return &roster{
		self:   self,
		began:  now,
		peers:  map[string]*peer{},
		ended:  map[wire.HostID]time.Time{},
		linger: map[string]time.Time{},
		flight: flight,
	}
}

// endedMemory is how long the proof of a host's end is remembered at least.
const endedMemory = time.Hour

// follow takes over a view.
func (r *roster) follow(v *board.View, now time.Time) {
	for _, m := range v.Members {
		if m.Datacentre == r.self.Datacentre && m.Name != r.self.Name {
			r.meet(m, now, false)
		}
	}
	for name, p := range r.peers {
		if _, known := v.Members[name]; !known && (!p.heard || now.Sub(p.since) > endedMemory) {
			// The membership forgets a silent host only once the platform or an operator has removed it.
			r.end(p.member.HostID, now)
		}
	}
	for id, at := range r.ended {
		if now.Sub(at) > endedMemory {
			delete(r.ended, id)
		}
	}
	r.settle(now)
}

// meet notes a host that the view shows, or that another host told of.
func (r *roster) meet(m wire.Member, now time.Time, heard bool) *peer {
	if _, ended := r.ended[m.HostID]; ended {
		return nil
	}
	p := r.peers[m.Name]
	if p != nil && p.member.Incarnation > m.Incarnation {
		return nil
	}
	if p == nil {
		p = &peer{since: now, heard: heard}
		r.peers[m.Name] = p
	} else if p.member.Incarnation < m.Incarnation {
		// A new run of a host proves that the one before has ended.
		r.note(p, now)
		p.confirmed, p.silent, p.failed = false, time.Time{}, time.Time{}
	}
	if !heard {
		p.heard = false
	}
	r.followState(p, m, now)
	return p
}

func (r *roster) followState(p *peer, m wire.Member, now time.Time) {
	same := p.member.HostID == m.HostID
	wasLeaving := same && p.member.State == wire.Leaving
	turned := !same || p.member.State != m.State
	p.member = m
	switch {
	case m.State == wire.Dead && m.Proof:
		r.end(m.HostID, now)
	case m.State != wire.Dead:
		p.silent = time.Time{}
		if turned && m.State == wire.Suspect {
			r.recheckAll()
		}
	case wasLeaving:
		// A leaving host sends nothing by the time that it counts as dead.
		r.end(m.HostID, now)
	case p.silent.IsZero():
		r.silence(p, now)
		if turned {
			r.recheckAll()
		}
	}
}

// silence notes that a peer gives no sign of life.
func (r *roster) silence(p *peer, now time.Time) {
	p.silent, p.confirmed = now, false
	p.turns++
}

// back notes a sign of life that came straight from a peer; where the view goes on taking it for dead, the time of its silence begins anew.
func (r *roster) back(p *peer) {
	p.silent, p.failed, p.recheck = time.Time{}, time.Time{}, false
}

// recheckAll has all peers asked for a sign of life: where one is silent this host may be cut off from many, and must know soon of how many.
func (r *roster) recheckAll() {
	for _, p := range r.peers {
		p.recheck = true
	}
}

// note remembers that a peer's run has ended; what it may have kept as the other side of a cut runs on for a while.
func (r *roster) note(p *peer, now time.Time) {
	r.ended[p.member.HostID] = now
	r.lastEnd = now
	if p.settled && !p.confirmed {
		r.linger[p.member.String()] = now.Add(r.flight())
	}
}

// end removes a host that is proved to have ended.
func (r *roster) end(id wire.HostID, now time.Time) {
	if p := r.peers[id.Name]; p != nil && p.member.HostID == id {
		r.note(p, now)
		delete(r.peers, id.Name)
	}
}

// settle lets new hosts count once all have had the time to learn of them; during a cut nobody can be sure of that.
func (r *roster) settle(now time.Time) {
	for _, p := range r.peers {
		if !p.absent().IsZero() || p.recheck {
			return
		}
	}
	for _, p := range r.peers {
		if now.Sub(p.since) >= settleTime {
			p.settled = true
		}
	}
}

// census counts the hosts for the shares.
func (r *roster) census(now time.Time, confirms bool) *census {
	c := &census{present: 1, all: 1}
	first, known, silent := r.self.Name, r.hasSettled(), time.Time{}
	c.first = true
	anyPresent := false
	for _, p := range r.peers {
		here := p.absent().IsZero() || (p.silent.IsZero() && !confirms)
		anyPresent = anyPresent || here
		if since := p.absent(); since.After(silent) {
			silent = since
		}
		if known && !p.settled {
			continue
		}
		c.all++
		here = here && (p.confirmed || !p.settled || !confirms)
		if here {
			c.present++
		}
		if p.member.Name < first {
			first, c.first = p.member.Name, here
		}
	}
	for name, until := range r.linger {
		if now.Before(until) {
			c.all++
		} else {
			delete(r.linger, name)
		}
	}
	if !silent.IsZero() && !anyPresent {
		c.alone = silent
	}
	if !known && !silent.IsZero() {
		// A host that began during a cut doesn't count itself: the others may not know it.
		c.present--
	}
	return c
}

// absent returns since when the peer gives no sign of life, or the zero time.
func (p *peer) absent() time.Time {
	if p.silent.IsZero() {
		return p.failed
	}
	return p.silent
}

// hasSettled reports whether any peer counts in the shares.
func (r *roster) hasSettled() bool {
	for _, p := range r.peers {
		if p.settled {
			return true
		}
	}
	return false
}

// members returns the peers and this host in the order of their names.
func (r *roster) members() []wire.Member {
	all := []wire.Member{r.self}
	for _, p := range r.peers {
		all = append(all, p.member)
	}
	slices.SortFunc(all, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// sum returns a sum of the hosts' names and runs, which is the same where all know the same hosts.
func (r *roster) sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range r.members() {
		d.WriteString(m.String())
		d.WriteString("\x00")
	}
	return d.Sum64()
}
