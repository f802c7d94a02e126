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
	// fanout is the number of hosts of its own data centre to which a host offers what is new.
	fanout = 4
	// offerTimeout ends an offer, and fetchTimeout the fetch of one message's worth.
	offerTimeout = 500 * time.Millisecond
	fetchTimeout = 800 * time.Millisecond
	// maxFetched bounds the bytes of one answer to a fetch, unless a single change is larger.
	maxFetched = 2 << 20
)

// source is a host that has something newer.
type source struct {
	member wire.Member
	heads  wire.Heads
	// origin is the host from which the offer spreads through this data centre.
	origin string
}

// Heard takes note of what another host has; it doesn't block.
func (s *Spread) Heard(m wire.Member, heads wire.Heads) {
	s.want(source{member: m, heads: heads, origin: s.board.Self.Name})
}

// want has the news of a source fetched, one fetch at a time; of several sources the one with the highest number counts.
func (s *Spread) want(f source) {
	if s.wants(&f) {
		s.Spawn(s.work)
	}
}

// wants notes a source and says whether work has to be started for it.
func (s *Spread) wants(f *source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.Heads()
	if f.heads.Settings == own.Settings && f.heads.Settings > 0 {
		s.compare(f.heads.Settings, f.heads.Last)
	}
	if !s.newer(f, own) || (s.wanted != nil && s.wanted.heads.Settings > f.heads.Settings) {
		return false
	}
	s.wanted = f
	start := !s.busy
	s.busy = true
	return start
}

// newer says whether a fetch from f may bring something; where only the maps differ, either side may be the newer one, and one look is enough.
func (s *Spread) newer(f *source, own wire.Heads) bool {
	if f.heads.Settings > own.Settings {
		return true
	}
	both := f.heads.Maps ^ own.Maps
	if both == 0 || s.compared[f.member.Name] == both {
		return false
	}
	s.compared[f.member.Name] = both
	return true
}

// work fetches until no source is wanted.
func (s *Spread) work() {
	for {
		s.mu.Lock()
		f := s.wanted
		s.wanted = nil
		if f == nil {
			s.busy = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if s.fetch(*f) {
			s.offer(f.origin)
		}
	}
}

// fetch takes what a source has beyond this host's heads and reports whether anything was new.
func (s *Spread) fetch(f source) (news bool) {
	for more := true; more; {
		ask := wire.Fetch{Heads: s.Heads(), Maps: map[string]shard.Snapshot{}}
		for service, m := range *s.board.Maps.Load() {
			ask.Maps[service] = m.Snapshot()
		}
		var got wire.FetchReply
		ctx, cancel := s.clock.WithTimeout(context.Background(), fetchTimeout)
		err := s.call(ctx, f.member.Peers, Remote+".Fetch", ask, &got)
		cancel()
		if err != nil {
			s.scope.Counter("fetchfailed").Inc(1)
			return news
		}
		s.scope.Counter("fetches").Inc(1)
		applied, err := s.take(ask, &got)
		news = news || applied
		if err != nil {
			s.log.Debug("fetch refused", zap.String("peer", f.member.Name), zap.Error(err))
			return news
		}
		more = got.More && applied
	}
	return news
}

// take puts the answer to a fetch in force, in order.
func (s *Spread) take(ask wire.Fetch, got *wire.FetchReply) (news bool, err error) {
	if got.Split {
		s.mu.Lock()
		s.compare(ask.Heads.Settings, got.ID)
		s.mu.Unlock()
		return false, nil
	}
	if got.Tree != nil {
		if news, err = s.install(got.Tree); err != nil {
			return news, err
		}
	}
	for _, raw := range got.Changes {
		applied, err := s.apply(raw)
		if err != nil {
			return news, err
		}
		news = news || applied
	}
	for _, raw := range got.Maps {
		newer, err := s.putMap(raw)
		if err != nil {
			return news, err
		}
		news = news || newer
	}
	if !got.More && s.board.Tree.Load().N > 0 {
		s.mapsKnown.Store(true)
	}
	return news, nil
}

// offer tells a few hosts what this host has: its children in the tree that spreads from the origin, and other data centres' hosts where this one is the bridge.
func (s *Spread) offer(origin string) {
	view := s.board.View.Load().Members
	heads := s.Heads()
	to := children(peers.First(view, s.board.Self.Datacentre, "", len(view)), origin, s.board.Self.Name)
	to = append(to, s.across(view)...)
	for _, m := range to {
		s.Spawn(func() {
			ctx, cancel := s.clock.WithTimeout(context.Background(), offerTimeout)
			defer cancel()
			o := wire.Offer{From: s.board.Self, Heads: heads, Origin: origin}
			s.scope.Counter("offers").Inc(1)
			if err := s.call(ctx, m.Peers, Remote+".Offer", o, &wire.Empty{}); err != nil {
				s.scope.Counter("offerfailed").Inc(1)
			}
		})
	}
}

// across returns the hosts of other data centres that this host is to tell.
func (s *Spread) across(view map[string]wire.Member) []wire.Member {
	self := s.board.Self
	var to []wire.Member
	for _, datacentre := range datacentres(view) {
		if datacentre == self.Datacentre {
			continue
		}
		for _, m := range peers.Bridges(view, self.Datacentre, datacentre) {
			if m.Name == self.Name {
				to = append(to, peers.Bridges(view, datacentre, self.Datacentre)...)
			}
		}
	}
	return to
}

func datacentres(view map[string]wire.Member) []string {
	var all []string
	for _, m := range view {
		if !slices.Contains(all, m.Datacentre) {
			all = append(all, m.Datacentre)
		}
	}
	slices.Sort(all)
	return all
}

// children returns the places of the tree below self, where all members stand in the order of their names from the origin on: that of position p are fanout*p+1 and the next ones.
func children(members []wire.Member, origin, self string) []wire.Member {
	slices.SortFunc(members, func(a, b wire.Member) int { return cmp.Compare(a.Name, b.Name) })
	find := func(name string) int {
		return slices.IndexFunc(members, func(m wire.Member) bool { return m.Name == name })
	}
	n, root, own := len(members), find(origin), find(self)
	if own < 0 {
		// A host that isn't living here itself has no place in the tree.
		return nil
	}
	if root < 0 {
		root = own
	}
	position := (own - root + n) % n
	var below []wire.Member
	for i := fanout*position + 1; i <= fanout*(position+1) && i < n; i++ {
		below = append(below, members[(root+i)%n])
	}
	return below
}

// Remote names this part in calls between hosts.
const Remote = "Spread"

// Service answers other hosts' calls to this part.
type Service struct {
	spread *Spread
}

// NewService returns the part of the net/rpc server that answers for s.
func NewService(s *Spread) *Service {
	return &Service{spread: s}
}

// Offer takes note of what another host has.
func (s *Service) Offer(o wire.Offer, _ *wire.Empty) error {
	origin := o.Origin
	if o.From.Datacentre != s.spread.board.Self.Datacentre {
		origin = s.spread.board.Self.Name
	}
	s.spread.want(source{member: o.From, heads: o.Heads, origin: origin})
	return nil
}

// Fetch answers with the changes and shard maps that the asker doesn't have.
func (s *Service) Fetch(f wire.Fetch, r *wire.FetchReply) error {
	p := s.spread
	p.mu.Lock()
	t := p.board.Tree.Load()
	id, known := p.tail.id(f.Heads.Settings)
	switch {
	case f.Heads.Settings == 0 && t.N > 0:
		raw, err := t.Encode()
		if err != nil {
			p.mu.Unlock()
			return err
		}
		r.Tree = raw
	case known && id != f.Heads.Last:
		r.Split, r.ID = true, id
	default:
		r.Changes, r.More = p.tail.after(f.Heads.Settings, maxFetched)
	}
	p.mu.Unlock()
	return p.addMaps(f, r)
}

// addMaps adds the maps that are newer than the asker's, as far as they fit.
func (s *Spread) addMaps(f wire.Fetch, r *wire.FetchReply) error {
	left := maxFetched
	for service, m := range *s.board.Maps.Load() {
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
