package order

import (
	"context"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/wire"
)

const (
	// successorCount is the number of hosts that receive the records of a leaving host.
	successorCount = 2
	// maxSuccessorsAsked is the number of hosts that are asked for the records of a host that has left.
	// It is larger than successorCount since hosts that joined later may rank before the ones that received the records.
	maxSuccessorsAsked = 4
)

// forward sends the order to the host that issued its ticket, the only one that may run it, and returns its reply, or fault.Unknown if there is none by the deadline.
func (b *Book) forward(ctx context.Context, o wire.Order) wire.OrderReply {
	reply := make(chan wire.OrderReply, 1)
	ctx, cancel := b.clock.WithTimeout(ctx, o.Left)
	defer cancel()
	go func() { reply <- b.askIssuer(ctx, o) }()
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "%s hasn't answered: ask again with the same ticket or key", o.Ticket.Host).WithRetry(outcomeRetryAfter)}
	}
}

// askIssuer calls the host that issued the ticket and, if that fails, asks the host's possible successors for the outcome.
func (b *Book) askIssuer(ctx context.Context, o wire.Order) wire.OrderReply {
	issuer, known := b.board.Membership.Load().Members[o.Ticket.Host.Name]
	current := known && issuer.Incarnation == o.Ticket.Host.Incarnation
	if current {
		forwarded := o
		forwarded.Left = nextHopBudget(o.Left)
		var reply wire.OrderReply
		if b.dialer.Call(ctx, issuer.Peers, ServiceName+".Run", forwarded, &reply) == nil {
			return reply
		}
	}
	if reply, found := b.askSuccessors(ctx, o); found {
		return reply
	}
	f := fault.New(fault.Unknown, "%s, which minted the ticket, can't be reached: the order may have run and won't run elsewhere", o.Ticket.Host)
	if current || !known {
		// The host may be unreachable for a while or not be in this host's view yet.
		f = f.WithRetry(fault.Describe(fault.NoReplica).Retry)
	}
	return wire.OrderReply{Fault: f}
}

// askSuccessors asks the hosts to which the issuing host would have handed its records when it left.
func (b *Book) askSuccessors(ctx context.Context, o wire.Order) (wire.OrderReply, bool) {
	ranked := rankSuccessors(b.board.Membership.Load(), o.Ticket.Host, o.Ticket.Datacentre)
	for _, m := range ranked[:min(maxSuccessorsAsked, len(ranked))] {
		if m.Name == b.board.Self.Name {
			if adopted := b.adoptedOutcome(o); adopted.Known {
				return adopted.Reply, true
			}
			continue
		}
		var answer wire.TellReply
		if b.dialer.Call(ctx, m.Peers, ServiceName+".Tell", o, &answer) == nil && answer.Known {
			return answer.Reply, true
		}
	}
	return wire.OrderReply{}, false
}

// rankSuccessors returns the hosts of a data centre that aren't dead in their order as successors of a host, by rendezvous hashing.
// When one of them leaves, the others keep their order, so that records that were handed over twice are found by the same rule.
func rankSuccessors(v *board.Membership, of wire.HostID, datacentre string) []wire.Member {
	var ranked []wire.Member
	for _, m := range v.Members {
		if m.Datacentre == datacentre && m.HostID != of && m.State != wire.Dead {
			ranked = append(ranked, m)
		}
	}
	weights := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		weights[m.Name] = xxhash.Sum64String(m.Name + "\x00" + of.String())
	}
	slices.SortFunc(ranked, func(a, b wire.Member) int {
		if weights[a.Name] != weights[b.Name] {
			if weights[a.Name] > weights[b.Name] {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return ranked
}

// answerForeign answers a forwarded order whose ticket another host or an earlier incarnation of this host issued: from adopted records, or with fault.Unknown if there are none.
func (b *Book) answerForeign(o wire.Order) wire.OrderReply {
	if adopted := b.adoptedOutcome(o); adopted.Known {
		return adopted.Reply
	}
	return wire.OrderReply{Fault: fault.New(fault.Unknown, "%s, which minted the ticket, is gone", o.Ticket.Host)}
}
