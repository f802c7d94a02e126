package board

import (
	"sync/atomic"

	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// Maps holds the newest shard map of each service, by service name.
type Maps map[string]*shard.Map

// View holds the membership records of all hosts that this host knows, including its own, by host name.
type View struct {
	Members map[string]wire.Member
}

// Phase is a stage in the lifecycle of a host.
type Phase uint32

// Phases of a host, in order.
const (
	Starting Phase = iota
	Ready
	// Leaving tells the load balancer and the peers to send no more work, but still accepts it.
	Leaving
	// Closed refuses new work.
	Closed
)

// Board holds what the packages of one host share.
type Board struct {
	// Self is this host's own record; its State field isn't kept up to date, the current state is in the view.
	Self  wire.Member
	Tree  *Cell[tree.Tree]
	Maps  *Cell[Maps]
	View  *Cell[View]
	Pulse *Pulse
	phase atomic.Uint32
	// joined says that this host has reached its peers or found that it has none.
	joined atomic.Bool
}

// New returns the initial state of the host self: no settings, no shard maps, and no other hosts in its view.
func New(clock *timer.Service, self wire.Member) *Board {
	self.State = wire.Alive
	return &Board{
		Self:  self,
		Tree:  NewCell(tree.Empty()),
		Maps:  NewCell(&Maps{}),
		Pulse: NewPulse(clock),
		View:  NewCell(&View{Members: map[string]wire.Member{self.Name: self}}),
	}
}

// Phase returns the current phase of this host.
func (b *Board) Phase() Phase {
	return Phase(b.phase.Load())
}

// Advance moves the host to phase p unless it has reached it already.
func (b *Board) Advance(p Phase) {
	for {
		old := b.phase.Load()
		if old >= uint32(p) || b.phase.CompareAndSwap(old, uint32(p)) {
			return
		}
	}
}

// Join records that this host has reached its peers or found that it has none.
func (b *Board) Join() {
	b.joined.Store(true)
}

// Joined reports whether this host has joined; until then a host that knows no peers must not assume that it is the only one.
func (b *Board) Joined() bool {
	return b.joined.Load()
}

// SelfOut reports whether this host's data centre is out of service.
func (b *Board) SelfOut() bool {
	return b.Tree.Load().Out(b.Self.Region, b.Self.Datacentre)
}

// Map returns the newest shard map of a service, or nil.
func (b *Board) Map(service string) *shard.Map {
	return (*b.Maps.Load())[service]
}

// PutMap stores a shard map if it is newer than the stored one of its service, and reports whether it did.
func (b *Board) PutMap(m *shard.Map) bool {
	return b.Maps.Update(func(old *Maps) *Maps {
		if !m.Newer((*old)[m.Service]) {
			return nil
		}
		next := make(Maps, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		next[m.Service] = m
		return &next
	})
}
