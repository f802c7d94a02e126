package peers

import (
	"context"

	"kingcupcross/wire"
)

// Remote names this part in calls between hosts.
const Remote = "Peers"

// Service answers other hosts' calls to this part.
type Service struct {
	peers *Peers
}

// NewService returns the part of the net/rpc server that answers for p.
func NewService(p *Peers) *Service {
	return &Service{peers: p}
}

// Probe takes in the news of a message and answers with this host's.
func (s *Service) Probe(g wire.Gossip, answer *wire.Gossip) error {
	p := s.peers
	p.hear(&g)
	if g.From.Datacentre == p.board.Self.Datacentre {
		*answer = p.gossip()
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	*answer = p.greeting()
	if r := p.table.rows[g.From.Name]; r != nil && r.member.State != g.From.State {
		// The asker isn't thought to be what it is: it has to learn that to refute it.
		answer.News = []wire.Member{travelling(r.member)}
	}
	return nil
}

// Sync takes in a table and answers with this host's.
func (s *Service) Sync(t wire.Table, answer *wire.Table) error {
	s.peers.hearTable(&t)
	*answer = s.peers.whole()
	return nil
}

// Relay probes a host on behalf of another one.
func (s *Service) Relay(r wire.Relay, answer *wire.RelayReply) error {
	m := wire.Member{HostID: r.Host, Peers: r.Address}
	err := s.peers.exchange(context.Background(), m, s.peers.gossip())
	*answer = wire.RelayReply{Alive: err == nil, Refused: wire.IsConnectionRefused(err)}
	return nil
}
