package board

import (
	"sync/atomic"

	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// ShardMaps holds the newest shard map of each service, by service name.
type ShardMaps map[string]*shard.Map

// Membership holds the membership records of all hosts that this host knows, including its own, by host name.
type Membership struct {
	Members map[string]wire.Member
}

// Phase is a stage in the lifecycle of a host.
type Phase uint32

// Phases of a host, in order.
const (
	// Starting is the phase until the host has settings and shard maps and knows its peers.
	Starting Phase = iota
	// Ready accepts the requests of callers.
	Ready
	// Leaving tells the load balancer and the peers to send no more work, but still accepts it.
	Leaving
	// Closed refuses new work.
	Closed
)

// State holds what the packages of one host share.
type State struct {
	// Self is this host's own record; its State field isn't kept up to date, the current state is in the view.
	Self wire.Member
	// Tree holds the settings of all services and regions.
	Tree          *Observable[tree.Tree]
	ShardMaps     *Observable[ShardMaps]
	Membership    *Observable[Membership]
	PauseDetector *PauseDetector
	phase         atomic.Uint32
	// joined says that this host has reached its peers, found that it has none, or stopped waiting for them.
	joined atomic.Bool
}

// New returns the initial state of the host self: no settings, no shard maps, and no other hosts in its view.
func New(clock *timer.Clock, self wire.Member) *State {
	self.State = wire.Alive
	return &State{
		Self:          self,
		Tree:          NewObservable(tree.Empty()),
		ShardMaps:     NewObservable(&ShardMaps{}),
		PauseDetector: NewPauseDetector(clock),
		Membership:    NewObservable(&Membership{Members: map[string]wire.Member{self.Name: self}}),
	}
}

// Phase returns the current phase of this host.
func (b *State) Phase() Phase {
	return Phase(b.phase.Load())
}

// Advance moves the host to phase p unless it has reached it already.
func (b *State) Advance(p Phase) {
	for {
		old := b.phase.Load()
		if old >= uint32(p) || b.phase.CompareAndSwap(old, uint32(p)) {
			return
		}
	}
}

// MarkJoined records that this host has reached its peers, found that it has none, or stopped waiting for them.
func (b *State) MarkJoined() {
	b.joined.Store(true)
}

// Joined reports whether this host has joined; until then a host that knows no peers must not assume that it is the only one.
func (b *State) Joined() bool {
	return b.joined.Load()
}

// SelfOutOfService reports whether this host's data centre is out of service.
func (b *State) SelfOutOfService() bool {
	return b.Tree.Load().DatacentreOut(b.Self.Region, b.Self.Datacentre)
}

// ShardMap returns the newest shard map of a service, or nil.
func (b *State) ShardMap(service string) *shard.Map {
	return (*b.ShardMaps.Load())[service]
}

// PutShardMap stores a shard map if it is newer than the stored one of its service, and reports whether it did.
func (b *State) PutShardMap(m *shard.Map) bool {
	return b.ShardMaps.Update(func(old *ShardMaps) *ShardMaps {
		if !m.Supersedes((*old)[m.Service]) {
			return nil
		}
		next := make(ShardMaps, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		next[m.Service] = m
		return &next
	})
}
