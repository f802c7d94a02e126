package order

import (
	"kingcupcross/wire"
)

// ServiceName is the net/rpc service name of this package.
const ServiceName = "Order"

// Service handles other hosts' RPCs to this host's Book.
type Service struct {
	book *Book
}

// NewService returns the net/rpc service for b.
func NewService(b *Book) *Service {
	return &Service{book: b}
}

// Run handles an order that another host forwards to the one that issued its ticket.
func (s *Service) Run(o wire.Order, r *wire.OrderReply) error {
	if o.Ticket.Host != s.book.board.Self.HostID && s.book.guards.onlyIssuerRuns() {
		*r = s.book.answerForeign(o)
		return nil
	}
	*r = s.book.runLocal(o)
	return nil
}

// Tell returns the outcome of an order from adopted records.
func (s *Service) Tell(o wire.Order, r *wire.TellReply) error {
	*r = s.book.adoptedOutcome(o)
	return nil
}

// Adopt takes over one page of the records of a host that is leaving.
func (s *Service) Adopt(p wire.Adopt, _ *wire.Empty) error {
	return s.book.adopt(p)
}

// Claim adds a claim to this host's next write of its document.
func (s *Service) Claim(c wire.Claim, r *wire.ClaimReply) error {
	*r = s.book.claims.enqueue(c)
	return nil
}
