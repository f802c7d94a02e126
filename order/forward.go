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
	// successors is the number of hosts that a leaving host's record is handed to.
	successors = 2
	// asked is the number of hosts that are asked for the record of a host that is gone: more than successors, since hosts may have joined meanwhile.
	asked = 4
)

// forward asks the minting host, the only one that may run the order, and gives the final answer at the deadline at the latest.
func (b *Book) forward(ctx context.Context, o wire.Order) wire.OrderReply {
	answer := make(chan wire.OrderReply, 1)
	ctx, cancel := b.clock.WithTimeout(ctx, o.Left)
	defer cancel()
	go func() { answer <- b.ask(ctx, o) }()
	select {
	case r := <-answer:
		return r
	case <-ctx.Done():
		return wire.OrderReply{Fault: fault.New(fault.Unknown, "%s hasn't answered: ask again with the same ticket or key", o.Ticket.Host).WithRetry(askAgain)}
	}
}

func (b *Book) ask(ctx context.Context, o wire.Order) wire.OrderReply {
	m, known := b.board.View.Load().Members[o.Ticket.Host.Name]
	runs := known && m.Incarnation == o.Ticket.Host.Incarnation
	if runs {
		hop := o
		hop.Left = afterHop(o.Left)
		var reply wire.OrderReply
		if b.dialer.Call(ctx, m.Peers, Remote+".Run", hop, &reply) == nil {
			return reply
		}
	}
	if told, found := b.askHeirs(ctx, o); found {
		return told
	}
	f := fault.New(fault.Unknown, "%s, which minted the ticket, can't be reached: the order may have run and won't run elsewhere", o.Ticket.Host)
	if runs || !known {
		// The host may only be cut off or not yet known here.
		f = f.WithRetry(fault.Describe(fault.NoReplica).Retry)
	}
	return wire.OrderReply{Fault: f}
}

// askHeirs asks the hosts that a leaving host would have handed its record to.
func (b *Book) askHeirs(ctx context.Context, o wire.Order) (wire.OrderReply, bool) {
	ranked := rank(b.board.View.Load(), o.Ticket.Host, o.Ticket.Datacentre)
	for _, m := range ranked[:min(asked, len(ranked))] {
		if m.Name == b.board.Self.Name {
			if told := b.tell(o); told.Known {
				return told.Reply, true
			}
			continue
		}
		var told wire.TellReply
		if b.dialer.Call(ctx, m.Peers, Remote+".Tell", o, &told) == nil && told.Known {
			return told.Reply, true
		}
	}
	return wire.OrderReply{}, false
}

// rank orders the living hosts of a data centre as successors of a host: when one of them leaves, the others keep their order, so that a record passed on twice is found by the same rule.
func rank(v *board.View, of wire.HostID, datacentre string) []wire.Member {
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

// stray answers a forwarded order that isn't for this run of the host.
func (b *Book) stray(o wire.Order) wire.OrderReply {
	if told := b.tell(o); told.Known {
		return told.Reply
	}
	return wire.OrderReply{Fault: fault.New(fault.Unknown, "%s, which minted the ticket, is gone", o.Ticket.Host)}
}
