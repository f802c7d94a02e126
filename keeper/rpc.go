package keeper

import (
	"context"

	"kingcupcross/wire"
)

// ServiceName is the name under which the keeper's Service is registered for calls between hosts.
const ServiceName = "Keeper"

// Service serves other hosts' calls to this host's keeper over net/rpc.
type Service struct {
	keeper *Keeper
}

// NewService returns the net/rpc service of k.
func NewService(k *Keeper) *Service {
	return &Service{keeper: k}
}

// Ask serves Keeper.Ask.
func (s *Service) Ask(q wire.Ask, r *wire.AskReply) error {
	*r = s.keeper.Ask(context.Background(), q)
	return nil
}

// Rest serves Keeper.Rest.
func (s *Service) Rest(q wire.Rest, r *wire.AskReply) error {
	*r = s.keeper.Rest(context.Background(), q)
	return nil
}

// Drop serves Keeper.Drop.
func (s *Service) Drop(q wire.Drop, _ *wire.Empty) error {
	s.keeper.Drop(q)
	return nil
}

// Send serves Keeper.Send.
func (s *Service) Send(q wire.Send, r *wire.OrderReply) error {
	*r = s.keeper.Send(context.Background(), q)
	return nil
}

// Yield serves Keeper.Yield.
func (s *Service) Yield(q wire.Yield, r *wire.YieldReply) error {
	*r = s.keeper.Yield(q)
	return nil
}

// Sign receives a leaving signal that another host has seen.
func (s *Service) Sign(q wire.LeavingSignal, _ *wire.Empty) error {
	s.keeper.HandleLeavingSignal(q)
	return nil
}

// Client calls the keepers on all hosts. Calls to this host's own keeper don't use the network.
type Client struct {
	self   string
	local  *Keeper
	dialer *wire.Dialer
}

// NewClient returns the client of all keepers for the host self and connects self's keeper local, which may be nil, to the others.
func NewClient(self string, local *Keeper, dialer *wire.Dialer) *Client {
	if local == nil {
		return &Client{self: self, dialer: dialer}
	}
	local.callYield = func(ctx context.Context, m wire.Member, q wire.Yield) (r wire.YieldReply, err error) {
		err = dialer.Call(ctx, m.Peers, ServiceName+".Yield", q, &r)
		return r, err
	}
	local.sendSignal = func(ctx context.Context, m wire.Member, s wire.LeavingSignal) error {
		return dialer.Call(ctx, m.Peers, ServiceName+".Sign", s, &wire.Empty{})
	}
	return &Client{self: self, local: local, dialer: dialer}
}

// Table returns the keepers of all targets for the newest view and shard maps.
func (l *Client) Table() *Table {
	return l.local.Table()
}

// Ask calls Keeper.Ask at the host m. The error is a wire.CallError if no answer came.
func (l *Client) Ask(ctx context.Context, m wire.Member, q wire.Ask) (r wire.AskReply, err error) {
	if m.Name == l.self {
		return l.local.Ask(ctx, q), nil
	}
	if err := l.dialer.Call(ctx, m.Peers, ServiceName+".Ask", q, &r); err != nil {
		// A late reply may still be written to r.
		return wire.AskReply{}, err
	}
	return r, nil
}

// Rest calls Keeper.Rest at the host m. The error is a wire.CallError if no answer came.
func (l *Client) Rest(ctx context.Context, m wire.Member, q wire.Rest) (r wire.AskReply, err error) {
	if m.Name == l.self {
		return l.local.Rest(ctx, q), nil
	}
	if err := l.dialer.Call(ctx, m.Peers, ServiceName+".Rest", q, &r); err != nil {
		// A late reply may still be written to r.
		return wire.AskReply{}, err
	}
	return r, nil
}

// Drop calls Keeper.Drop at the host m.
func (l *Client) Drop(ctx context.Context, m wire.Member, q wire.Drop) error {
	if m.Name == l.self {
		l.local.Drop(q)
		return nil
	}
	return l.dialer.Call(ctx, m.Peers, ServiceName+".Drop", q, &wire.Empty{})
}

// Send calls Keeper.Send at the host m. The error is a wire.CallError if no answer came.
func (l *Client) Send(ctx context.Context, m wire.Member, s wire.Send) (r wire.OrderReply, err error) {
	if m.Name == l.self {
		return l.local.Send(ctx, s), nil
	}
	if err := l.dialer.Call(ctx, m.Peers, ServiceName+".Send", s, &r); err != nil {
		// A late reply may still be written to r.
		return wire.OrderReply{}, err
	}
	return r, nil
}
