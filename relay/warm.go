package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"kingcupcross/roster"
)

const (
	// WarmPeriod is the time between two looks for targets without a connection.
	WarmPeriod = time.Second
	// warmMost bounds the connections that are set up at a look, which costs this host and the targets some time each.
	warmMost = 60
	// warmAtOnce bounds those that are set up at the same time.
	warmAtOnce = 8
)

// Warm sets up connections to targets of shards that have none, so that a hedge doesn't wait for one: ready reports whether an address has one, prepare sets one up.
func (e *Engine) Warm(ctx context.Context, ready func(netip.AddrPort) bool, prepare func(context.Context, netip.AddrPort) error) {
	targets := make(chan *roster.Entry)
	var all sync.WaitGroup
	for range warmAtOnce {
		all.Go(func() {
			for t := range targets {
				// A connection that is set up counts to those that the target accepts.
				r := e.rank(t)
				if !r.Reserve(1) {
					continue
				}
				if err := prepare(ctx, t.Address); err != nil {
					e.log.Debug("connection can't be set up", zap.String("target", t.ID), zap.Error(err))
				}
				r.Release()
			}
		})
	}
	for _, t := range e.unconnected(ready) {
		targets <- t
	}
	close(targets)
	all.Wait()
}

// unconnected returns some targets that may get hedges and have no connection.
func (e *Engine) unconnected(ready func(netip.AddrPort) bool) []*roster.Entry {
	config, now := e.beliefs.Config(), e.clock.Now()
	if config == nil {
		return nil
	}
	var found []*roster.Entry
	seen := map[string]bool{}
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, s := range r.Shards {
			if seen[s] {
				continue
			}
			seen[s] = true
			for _, t := range e.serving(s, now) {
				if len(found) == warmMost {
					return found
				}
				// A cold target has enough to do.
				if !r.Allows(t.Region) || e.beliefs.Out(t.Datacentre) || now.Before(t.ColdUntil) || e.rank(t).Outstanding() > 0 || e.rank(t).Unresponsive(now) || ready(t.Address) {
					continue
				}
				found = append(found, t)
			}
		}
	}
	return found
}
