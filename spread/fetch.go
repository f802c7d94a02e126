package spread

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcross/peers"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

const (
	// fanout is the degree of the distribution tree: the number of hosts of its own data centre to which a host offers newer settings and maps.
	fanout = 4
	// offerTimeout and fetchTimeout are the timeouts of one Offer and of one Fetch call.
	offerTimeout = 500 * time.Millisecond
	fetchTimeout = 800 * time.Millisecond
	// maxFetchBytes limits the size of the reply to a Fetch call, unless a single change or map is larger.
	maxFetchBytes = 2 << 20
)

// source is a host that may have newer settings or maps, as its heads show.
type source struct {
	member wire.Member
	heads  wire.Heads
	// origin is the name of the host at the root of the tree that distributes the offer in this data centre.
	origin string
}

// OnPeerHeads starts a fetch from another host if its heads show that it may have newer settings or maps; it doesn't block.
func (s *Distributor) OnPeerHeads(m wire.Member, heads wire.Heads) {
	s.requestFetch(source{member: m, heads: heads, origin: s.board.Self.Name})
}

// requestFetch starts a fetch from a source that may have newer settings or maps, unless one is running, which then goes on with this source.
func (s *Distributor) requestFetch(from source) {
	if s.noteSource(&from) {
		s.Spawn(s.fetchAll)
	}
}

// noteSource makes a source the next one to fetch from, unless it has nothing newer or one with a higher change number is waiting already, and reports whether fetchAll has to be started.
// It also detects a conflict if the source has another change under this host's number.
func (s *Distributor) noteSource(from *source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.Heads()
	if from.heads.Settings == own.Settings && from.heads.Settings > 0 {
		s.detectConflict(from.heads.Settings, from.heads.Last)
	}
	if !s.mayBeNewer(from, own) || (s.nextSource != nil && s.nextSource.heads.Settings > from.heads.Settings) {
		return false
	}
	s.nextSource = from
	mustStart := !s.fetching
	s.fetching = true
	return mustStart
}

// mayBeNewer reports whether a fetch from the source may bring newer settings or maps.
// If only the maps differ, either side may be the newer one, and one fetch per pair of checksums is enough.
func (s *Distributor) mayBeNewer(from *source, own wire.Heads) bool {
	if from.heads.Settings > own.Settings {
		return true
	}
	difference := from.heads.Maps ^ own.Maps
	if difference == 0 || s.compared[from.member.Name] == difference {
		return false
	}
	s.compared[from.member.Name] = difference
	return true
}

// fetchAll fetches from the next source, and offers what was new to other hosts, until no source is waiting.
func (s *Distributor) fetchAll() {
	for {
		s.mu.Lock()
		f := s.nextSource
		s.nextSource = nil
		if f == nil {
			s.fetching = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if s.fetch(*f) {
			s.offer(f.origin)
		}
	}
}

// fetch fetches and applies everything that a source has beyond this host's heads, and reports whether anything was new.
func (s *Distributor) fetch(from source) (anyApplied bool) {
	for more := true; more; {
		request := wire.Fetch{Heads: s.Heads(), Maps: map[string]shard.Snapshot{}}
		for service, m := range *s.board.ShardMaps.Load() {
			request.Maps[service] = m.Snapshot()
		}
		var response wire.FetchReply
		ctx, cancel := s.clock.WithTimeout(context.Background(), fetchTimeout)
		err := s.call(ctx, from.member.Peers, ServiceName+".Fetch", request, &response)
		cancel()
		if err != nil {
			s.scope.Counter("fetchfailed").Inc(1)
			return anyApplied
		}
		s.scope.Counter("fetches").Inc(1)
		applied, err := s.applyFetched(request, &response)
		anyApplied = anyApplied || applied
		if err != nil {
			s.log.Debug("failed to apply fetched changes", zap.String("peer", from.member.Name), zap.Error(err))
			return anyApplied
		}
		more = response.More && applied
	}
	return anyApplied
}

// applyFetched applies the reply to a fetch, in order, and reports whether anything was new.
func (s *Distributor) applyFetched(request wire.Fetch, response *wire.FetchReply) (anyApplied bool, err error) {
	if response.Split {
		s.mu.Lock()
		s.detectConflict(request.Heads.Settings, response.ID)
		s.mu.Unlock()
		return false, nil
	}
	if response.Tree != nil {
		if anyApplied, err = s.installTree(response.Tree); err != nil {
			return anyApplied, err
		}
	}
	for _, raw := range response.Changes {
		applied, err := s.applyChange(raw)
		if err != nil {
			return anyApplied, err
		}
		anyApplied = anyApplied || applied
	}
	for _, raw := range response.Maps {
		newer, err := s.applyMap(raw)
		if err != nil {
			return anyApplied, err
		}
		anyApplied = anyApplied || newer
	}
	if !response.More && s.board.Tree.Load().ChangeNumber > 0 {
		s.mapsKnown.Store(true)
	}
	return anyApplied, nil
}

// offer sends this host's heads to its children in the distribution tree rooted at origin, and to hosts of other data centres if this host is a bridge to them.
func (s *Distributor) offer(origin string) {
	view := s.board.Membership.Load().Members
	heads := s.Heads()
	recipients := children(peers.SelectByRendezvous(view, s.board.Self.Datacentre, "", len(view)), origin, s.board.Self.Name)
	recipients = append(recipients, s.bridgesToTell(view)...)
	for _, m := range recipients {
		s.Spawn(func() {
			ctx, cancel := s.clock.WithTimeout(context.Background(), offerTimeout)
			defer cancel()
			o := wire.Offer{From: s.board.Self, Heads: heads, Origin: origin}
			s.scope.Counter("offers").Inc(1)
			if err := s.call(ctx, m.Peers, ServiceName+".Offer", o, &wire.Empty{}); err != nil {
				s.scope.Counter("offerfailed").Inc(1)
			}
		})
	}
}

// bridgesToTell returns the bridge hosts of other data centres to which this host, as a bridge, sends offers.
func (s *Distributor) bridgesToTell(view map[string]wire.Member) []wire.Member {
	self := s.board.Self
	var bridges []wire.Member
	for _, datacentre := range datacentres(view) {
		if datacentre == self.Datacentre {
			continue
		}
		for _, m := range peers.Bridges(view, self.Datacentre, datacentre) {
			if m.Name == self.Name {
				bridges = append(bridges, peers.Bridges(view, datacentre, self.Datacentre)...)
			}
		}
	}
	return bridges
}

// datacentres returns the sorted names of all data centres in a view.
func datacentres(view map[string]wire.Member) []string {
	var names []string
	for _, m := range view {
		if !slices.Contains(names, m.Datacentre) {
			names = append(names, m.Datacentre)
		}
	}
	slices.Sort(names)
	return names
}

// children returns the children of self in the distribution tree.
// The tree is a complete tree of degree fanout over all members in the order of their names, rotated so that the origin is the root: the children of position p are the positions from fanout*p+1 on.
func children(members []wire.Member, origin, self string) []wire.Member {
	slices.SortFunc(members, func(a, b wire.Member) int { return cmp.Compare(a.Name, b.Name) })
	indexOf := func(name string) int {
		return slices.IndexFunc(members, func(m wire.Member) bool { return m.Name == name })
	}
	n, root, own := len(members), indexOf(origin), indexOf(self)
	if own < 0 {
		// A host that isn't in its own view as a living member has no place in the tree.
		return nil
	}
	if root < 0 {
		root = own
	}
	position := (own - root + n) % n
	var result []wire.Member
	for i := fanout*position + 1; i <= fanout*(position+1) && i < n; i++ {
		result = append(result, members[(root+i)%n])
	}
	return result
}

// ServiceName is the net/rpc service name of this package.
const ServiceName = "Spread"

// Service handles other hosts' RPCs to this package.
type Service struct {
	distributor *Distributor
}

// NewService returns the net/rpc service for s.
func NewService(s *Distributor) *Service {
	return &Service{distributor: s}
}

// Offer starts a fetch from the offering host if it may have newer settings or maps; for an offer from another data centre, this host becomes the root of the distribution tree in its own.
func (s *Service) Offer(o wire.Offer, _ *wire.Empty) error {
	root := o.Origin
	if o.From.Datacentre != s.distributor.board.Self.Datacentre {
		root = s.distributor.board.Self.Name
	}
	s.distributor.requestFetch(source{member: o.From, heads: o.Heads, origin: root})
	return nil
}

// Fetch returns the changes and shard maps that the calling host doesn't have: the whole tree if it has no settings, or the id of this host's change if the histories conflict.
func (s *Service) Fetch(f wire.Fetch, r *wire.FetchReply) error {
	d := s.distributor
	d.mu.Lock()
	t := d.board.Tree.Load()
	id, known := d.tail.id(f.Heads.Settings)
	switch {
	case f.Heads.Settings == 0 && t.ChangeNumber > 0:
		raw, err := t.Encode()
		if err != nil {
			d.mu.Unlock()
			return err
		}
		r.Tree = raw
	case known && id != f.Heads.Last:
		r.Split, r.ID = true, id
	default:
		r.Changes, r.More = d.tail.after(f.Heads.Settings, maxFetchBytes)
	}
	d.mu.Unlock()
	return d.addMaps(f, r)
}

// addMaps adds the maps that are newer than the calling host's, up to maxFetchBytes but at least one.
func (s *Distributor) addMaps(f wire.Fetch, r *wire.FetchReply) error {
	left := maxFetchBytes
	for service, m := range *s.board.ShardMaps.Load() {
		if !f.Maps[service].Less(m.Snapshot()) {
			continue
		}
		raw, err := json.Marshal(m)
		if err != nil {
			return err
		}
		if left -= len(raw); left < 0 && len(r.Maps) > 0 {
			r.More = true
			return nil
		}
		r.Maps = append(r.Maps, raw)
	}
	return nil
}
