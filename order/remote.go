package order

import (
	"kingcupcross/wire"
)

// Remote names this part in calls between hosts.
const Remote = "Order"

// Service answers other hosts' calls to this host's book.
type Service struct {
	book *Book
}

// NewService returns the part of the net/rpc server that answers for b.
func NewService(b *Book) *Service {
	return &Service{book: b}
}

// Run answers the call of that name.
func (s *Service) Run(o wire.Order, r *wire.OrderReply) error {
	if o.Ticket.Host != s.book.board.Self.HostID && s.book.guards.mints() {
		*r = s.book.stray(o)
		return nil
	}
	*r = s.book.own(o)
	return nil
}

// Tell answers the call of that name.
func (s *Service) Tell(o wire.Order, r *wire.TellReply) error {
	*r = s.book.tell(o)
	return nil
}

// Adopt answers the call of that name.
func (s *Service) Adopt(p wire.Adopt, _ *wire.Empty) error {
	return s.book.adopt(p)
}

// Claim answers the call of that name.
func (s *Service) Claim(c wire.Claim, r *wire.ClaimReply) error {
	*r = s.book.claims.write(c)
	return nil
}
