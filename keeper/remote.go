package keeper

import (
	"context"

	"kingcupcross/wire"
)

// Remote names this part in calls between hosts.
const Remote = "Keeper"

// Service answers other hosts' calls to this host's keeper.
type Service struct {
	keeper *Keeper
}

// NewService returns the part of the net/rpc server that answers for k.
func NewService(k *Keeper) *Service {
	return &Service{keeper: k}
}

// Ask answers the call of that name.
func (s *Service) Ask(q wire.Ask, r *wire.AskReply) error {
	*r = s.keeper.Ask(context.Background(), q)
	return nil
}

// Rest answers the call of that name.
func (s *Service) Rest(q wire.Rest, r *wire.AskReply) error {
	*r = s.keeper.Rest(context.Background(), q)
	return nil
}

// Drop answers the call of that name.
func (s *Service) Drop(q wire.Drop, _ *wire.Empty) error {
	s.keeper.Drop(q)
	return nil
}

// Send answers the call of that name.
func (s *Service) Send(q wire.Send, r *wire.OrderReply) error {
	*r = s.keeper.Send(context.Background(), q)
	return nil
}

// Yield answers the call of that name.
func (s *Service) Yield(q wire.Yield, r *wire.YieldReply) error {
	*r = s.keeper.Yield(q)
	return nil
}

// Sign answers the call of that name.
func (s *Service) Sign(q wire.LeavingSignal, _ *wire.Empty) error {
	s.keeper.Sign(q)
	return nil
}

// Links reaches the keepers of all targets, this host's own without a call.
type Links struct {
	self   string
	own    *Keeper
	dialer *wire.Dialer
}

// NewLinks returns the way to all keepers from the host self and lets its own keeper call the others.
func NewLinks(self string, own *Keeper, dialer *wire.Dialer) *Links {
	if own == nil {
		return &Links{self: self, dialer: dialer}
	}
	own.call = func(ctx context.Context, m wire.Member, q wire.Yield) (r wire.YieldReply, err error) {
		err = dialer.Call(ctx, m.Peers, Remote+".Yield", q, &r)
		return r, err
	}
	own.tell = func(ctx context.Context, m wire.Member, s wire.LeavingSignal) error {
		return dialer.Call(ctx, m.Peers, Remote+".Sign", s, &wire.Empty{})
	}
	return &Links{self: self, own: own, dialer: dialer}
}

// Table returns the keepers of all targets by the newest view and maps.
func (l *Links) Table() *Table {
	return l.own.Table()
}

// Ask calls the keeper m; the error is a wire.CallError where no answer came.
func (l *Links) Ask(ctx context.Context, m wire.Member, q wire.Ask) (r wire.AskReply, err error) {
	if m.Name == l.self {
		return l.own.Ask(ctx, q), nil
	}
	if err := l.dialer.Call(ctx, m.Peers, Remote+".Ask", q, &r); err != nil {
		// A late reply may still be written to r.
		return wire.AskReply{}, err
	}
	return r, nil
}

// Rest asks the keeper m for the parts that were not done.
func (l *Links) Rest(ctx context.Context, m wire.Member, q wire.Rest) (r wire.AskReply, err error) {
	if m.Name == l.self {
		return l.own.Rest(ctx, q), nil
	}
	if err := l.dialer.Call(ctx, m.Peers, Remote+".Rest", q, &r); err != nil {
		return wire.AskReply{}, err
	}
	return r, nil
}

// Drop cancels parts at the keeper m.
func (l *Links) Drop(ctx context.Context, m wire.Member, q wire.Drop) error {
	if m.Name == l.self {
		l.own.Drop(q)
		return nil
	}
	return l.dialer.Call(ctx, m.Peers, Remote+".Drop", q, &wire.Empty{})
}

// Send sends an order through the keeper m; the error is a wire.CallError where no answer came.
func (l *Links) Send(ctx context.Context, m wire.Member, s wire.Send) (r wire.OrderReply, err error) {
	if m.Name == l.self {
		return l.own.Send(ctx, s), nil
	}
	if err := l.dialer.Call(ctx, m.Peers, Remote+".Send", s, &r); err != nil {
		// A late reply may still be written to r.
		return wire.OrderReply{}, err
	}
	return r, nil
}
