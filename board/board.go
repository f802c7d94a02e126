package board

import (
	"sync/atomic"

	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// Maps holds the newest shard map of each service, by the service's name.
type Maps map[string]*shard.Map

// View holds the hosts that this host knows, by name.
type View struct {
	Members map[string]wire.Member
}

// Phase is the stage of this host's life.
type Phase uint32

// Phases of a host, in their order.
const (
	Starting Phase = iota
	Ready
	// Leaving turns the balancer and the peers away but still takes work.
	Leaving
	// Closed takes no new work.
	Closed
)

// Board is the state that the parts of one host share.
type Board struct {
	// Self is this host as its peers are to see it; its state stands in View.
	Self  wire.Member
	Tree  *Cell[tree.Tree]
	Maps  *Cell[Maps]
	View  *Cell[View]
	Pulse *Pulse
	phase atomic.Uint32
}

// New returns the board of the host self, which knows itself only.
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

// Phase returns the stage of this host's life.
func (b *Board) Phase() Phase {
	return Phase(b.phase.Load())
}

// Advance moves the host to a later phase and never back.
func (b *Board) Advance(p Phase) {
	for {
		old := b.phase.Load()
		if old >= uint32(p) || b.phase.CompareAndSwap(old, uint32(p)) {
			return
		}
	}
}

// SelfOut reports whether this host's data centre has been taken out.
func (b *Board) SelfOut() bool {
	return b.Tree.Load().Out(b.Self.Region, b.Self.Datacentre)
}

// Map returns the newest shard map of a service, or nil.
func (b *Board) Map(service string) *shard.Map {
	return (*b.Maps.Load())[service]
}

// PutMap keeps a shard map if it is newer than the one on the board, and reports whether it was.
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
