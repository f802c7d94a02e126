package peers

import (
	"context"

	"kingcupcross/wire"
)

// ServiceName is the net/rpc service name of this package in calls between hosts.
const ServiceName = "Peers"

// Service serves other hosts' membership calls.
type Service struct {
	peers *Peers
}

// NewService returns the net/rpc service that serves calls for p.
func NewService(p *Peers) *Service {
	return &Service{peers: p}
}

// Probe merges a message and replies with this host's gossip.
func (s *Service) Probe(g wire.Gossip, reply *wire.Gossip) error {
	p := s.peers
	p.handleGossip(&g)
	if g.From.Datacentre == p.board.Self.Datacentre {
		*reply = p.localGossip()
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	*reply = p.gossipHeader()
	if r := p.table.rows[g.From.Name]; r != nil && r.member.State != g.From.State {
		// This host has the sender in another state; the sender has to know, so that it can refute it.
		reply.News = []wire.Member{withoutLocalState(r.member)}
	}
	return nil
}

// Sync merges a table and replies with this host's.
func (s *Service) Sync(t wire.Table, reply *wire.Table) error {
	s.peers.mergeTable(&t)
	*reply = s.peers.fullTable()
	return nil
}

// Relay probes a host on behalf of another one and replies with the result.
func (s *Service) Relay(r wire.Relay, reply *wire.RelayReply) error {
	m := wire.Member{HostID: r.Host, Peers: r.Address}
	err := s.peers.exchangeGossip(context.Background(), m, s.peers.localGossip())
	*reply = wire.RelayReply{Alive: err == nil, Refused: wire.IsConnectionRefused(err)}
	return nil
}
