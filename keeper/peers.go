package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/board"
	"kingcupcross/wire"
)

// peer is another host of this data centre that may be alive.
type peer struct {
	member wire.Member
	// knownSince is when the peer became known. silentSince is the time since which it counts as dead without proof, and zero while it counts as alive.
	knownSince  time.Time
	silentSince time.Time
	// settled is set once the peer counts in the shares of limits.
	settled bool
	// silences counts how often the peer became silent. Answers from before a silence are no longer valid.
	silences uint64
	// confirmed is set once the peer has answered for all targets kept here since it appeared or reappeared.
	confirmed bool
	// needsRecheck is set while the peer must be asked whether it is alive, because another one became silent. failedSince is the time since which it fails to answer.
	needsRecheck bool
	failedSince  time.Time
	// indirect is set while the peer is known only through another host and not from the view.
	indirect bool
	// calling is set while a call to the peer is in progress, and calledAt is when the last one began.
	calling  bool
	calledAt time.Time
}

// peerTracker tracks the other hosts of this data centre and what is certain about them. The keeper's lock guards it.
type peerTracker struct {
	self      wire.Member
	startedAt time.Time
	peers     map[string]*peer
	// endedIncarnations holds the incarnations of hosts that have certainly ended, with the time at which this became known.
	endedIncarnations map[wire.HostID]time.Time
	// lastEndAt is when an incarnation of a host last became known to have ended.
	lastEndAt time.Time
	// lingeringHosts holds settled hosts that ended without having confirmed the targets kept here, with the time by which their requests have ended. Until then they count in the shares.
	lingeringHosts map[string]time.Time
	// requestTime returns the longest time that a request may run.
	requestTime func() time.Duration
}

// newPeerTracker returns a tracker that knows no peers.
func newPeerTracker(self wire.Member, now time.Time, requestTime func() time.Duration) *peerTracker {
	return &peerTracker{
		self:              self,
		startedAt:         now,
		peers:             map[string]*peer{},
		endedIncarnations: map[wire.HostID]time.Time{},
		lingeringHosts:    map[string]time.Time{},
		requestTime:       requestTime,
	}
}

// endedRetention is how long it is at least remembered that an incarnation of a host has ended.
const endedRetention = time.Hour

// applyView updates the peers from a view.
func (r *peerTracker) applyView(v *board.Membership, now time.Time) {
	for _, m := range v.Members {
		if m.Datacentre == r.self.Datacentre && m.Name != r.self.Name {
			r.observe(m, now, false)
		}
	}
	for name, p := range r.peers {
		if _, inView := v.Members[name]; !inView && (!p.indirect || now.Sub(p.knownSince) > endedRetention) {
			// The membership drops a silent host only after the platform or an operator has removed it.
			r.removeEnded(p.member.HostID, now)
		}
	}
	for id, at := range r.endedIncarnations {
		if now.Sub(at) > endedRetention {
			delete(r.endedIncarnations, id)
		}
	}
	r.settleNew(now)
}

// observe updates or adds a peer that appears in the view or, if indirect is set, that another host named or that called this host. It returns nil if that incarnation has ended or a later one is known.
func (r *peerTracker) observe(m wire.Member, now time.Time, indirect bool) *peer {
	if _, ended := r.endedIncarnations[m.HostID]; ended {
		return nil
	}
	p := r.peers[m.Name]
	if p != nil && p.member.Incarnation > m.Incarnation {
		return nil
	}
	if p == nil {
		p = &peer{knownSince: now, indirect: indirect}
		r.peers[m.Name] = p
	} else if p.member.Incarnation < m.Incarnation {
		// A new incarnation of a host proves that the previous one has ended.
		r.recordEnd(p, now)
		p.confirmed, p.silentSince, p.failedSince = false, time.Time{}, time.Time{}
	}
	if !indirect {
		p.indirect = false
	}
	r.applyState(p, m, now)
	return p
}

// applyState updates a peer from its entry in the view.
func (r *peerTracker) applyState(p *peer, m wire.Member, now time.Time) {
	sameIncarnation := p.member.HostID == m.HostID
	wasLeaving := sameIncarnation && p.member.State == wire.Leaving
	changed := !sameIncarnation || p.member.State != m.State
	p.member = m
	switch {
	case m.State == wire.Dead && m.Proof:
		r.removeEnded(m.HostID, now)
	case m.State != wire.Dead:
		p.silentSince = time.Time{}
		if changed && m.State == wire.Suspect {
			r.recheckAll()
		}
	case wasLeaving:
		// A leaving host has stopped sending by the time that it counts as dead.
		r.removeEnded(m.HostID, now)
	case p.silentSince.IsZero():
		r.markSilent(p, now)
		if changed {
			r.recheckAll()
		}
	}
}

// markSilent records that a peer gives no sign of life.
func (r *peerTracker) markSilent(p *peer, now time.Time) {
	p.silentSince, p.confirmed = now, false
	p.silences++
}

// markAlive records a sign of life directly from a peer. If the view still shows the peer as dead, its silence starts again with the next applyView.
func (r *peerTracker) markAlive(p *peer) {
	p.silentSince, p.failedSince, p.needsRecheck = time.Time{}, time.Time{}, false
}

// recheckAll has all peers asked whether they are alive: if one is silent, this host may be cut off from many and must find out soon from how many.
func (r *peerTracker) recheckAll() {
	for _, p := range r.peers {
		p.needsRecheck = true
	}
}

// recordEnd records that a peer's incarnation has ended. A settled peer that had not confirmed the targets kept here may have kept them across a partition, and its requests may run on for a while.
func (r *peerTracker) recordEnd(p *peer, now time.Time) {
	r.endedIncarnations[p.member.HostID] = now
	r.lastEndAt = now
	if p.settled && !p.confirmed {
		r.lingeringHosts[p.member.String()] = now.Add(r.requestTime())
	}
}

// removeEnded removes a peer if the incarnation, which has certainly ended, is its current one.
func (r *peerTracker) removeEnded(id wire.HostID, now time.Time) {
	if p := r.peers[id.Name]; p != nil && p.member.HostID == id {
		r.recordEnd(p, now)
		delete(r.peers, id.Name)
	}
}

// settleNew lets new peers count in the shares once every host has had time to learn of them. During a partition this isn't certain, so no peer settles then.
func (r *peerTracker) settleNew(now time.Time) {
	for _, p := range r.peers {
		if !p.absentSince().IsZero() || p.needsRecheck {
			return
		}
	}
	for _, p := range r.peers {
		if now.Sub(p.knownSince) >= settleTime {
			p.settled = true
		}
	}
}

// countHosts returns the counts from which shares are computed. If confirmReturned is set, a peer counts as reachable only after it has confirmed the targets kept here.
func (r *peerTracker) countHosts(now time.Time, confirmReturned bool) *hostCounts {
	c := &hostCounts{reachable: 1, total: 1}
	first, anySettled, lastSilence := r.self.Name, r.hasSettled(), time.Time{}
	c.hasLowestName = true
	anyAlive := false
	for _, p := range r.peers {
		reachable := p.absentSince().IsZero() || (p.silentSince.IsZero() && !confirmReturned)
		anyAlive = anyAlive || reachable
		if since := p.absentSince(); since.After(lastSilence) {
			lastSilence = since
		}
		if anySettled && !p.settled {
			continue
		}
		c.total++
		reachable = reachable && (p.confirmed || !p.settled || !confirmReturned)
		if reachable {
			c.reachable++
		}
		if p.member.Name < first {
			first, c.hasLowestName = p.member.Name, reachable
		}
	}
	for name, until := range r.lingeringHosts {
		if now.Before(until) {
			c.total++
		} else {
			delete(r.lingeringHosts, name)
		}
	}
	if !lastSilence.IsZero() && !anyAlive {
		c.aloneSince = lastSilence
	}
	if !anySettled && !lastSilence.IsZero() {
		// A host that started during a partition doesn't count itself, because the others may not know it.
		c.reachable--
	}
	return c
}

// absentSince returns the time since which the peer gives no sign of life, or zero.
func (p *peer) absentSince() time.Time {
	if p.silentSince.IsZero() {
		return p.failedSince
	}
	return p.silentSince
}

// hasSettled reports whether any peer counts in the shares.
func (r *peerTracker) hasSettled() bool {
	for _, p := range r.peers {
		if p.settled {
			return true
		}
	}
	return false
}

// members returns this host and its peers, sorted by name.
func (r *peerTracker) members() []wire.Member {
	all := []wire.Member{r.self}
	for _, p := range r.peers {
		all = append(all, p.member)
	}
	slices.SortFunc(all, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// hash returns a hash of the hosts' names and incarnations, by which two hosts compare the hosts that they know.
func (r *peerTracker) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range r.members() {
		d.WriteString(m.String())
		d.WriteString("\x00")
	}
	return d.Sum64()
}
