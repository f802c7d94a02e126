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
	// PreconnectPeriod is the interval between two rounds of connection setup.
	PreconnectPeriod = time.Second
	// maxPreconnects limits the connections set up per round, because each one costs this host and the target some time.
	maxPreconnects = 60
	// preconnectWorkers is the number of connections set up concurrently.
	preconnectWorkers = 8
)

// Preconnect sets up connections to shard targets that have none, so that a hedge does not wait for a connection. isConnected reports whether an address has a connection, connect sets one up.
func (e *Engine) Preconnect(ctx context.Context, isConnected func(netip.AddrPort) bool, connect func(context.Context, netip.AddrPort) error) {
	targets := make(chan *roster.Entry)
	var workers sync.WaitGroup
	for range preconnectWorkers {
		workers.Go(func() {
			for t := range targets {
				// A connection that is being set up counts towards the target's connection limit.
				r := e.estimatorOf(t)
				if !r.Reserve(1) {
					continue
				}
				if err := connect(ctx, t.Address); err != nil {
					e.log.Debug("connection setup failed", zap.String("target", t.ID), zap.Error(err))
				}
				r.Release()
			}
		})
	}
	for _, t := range e.unconnected(isConnected) {
		targets <- t
	}
	close(targets)
	workers.Wait()
}

// unconnected returns up to maxPreconnects targets that may receive hedges and have no connection.
func (e *Engine) unconnected(isConnected func(netip.AddrPort) bool) []*roster.Entry {
	config, now := e.state.Config(), e.clock.Now()
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
			for _, t := range e.usableTargets(s, now) {
				if len(found) == maxPreconnects {
					return found
				}
				// A cold target is busy starting up and would be slowed down.
				if !r.Allows(t.Region) || e.state.DatacentreOut(t.Datacentre) || now.Before(t.ColdUntil) || e.estimatorOf(t).Outstanding() > 0 || e.estimatorOf(t).Unresponsive(now) || e.rateStateOf(t, now) == rateClosed || isConnected(t.Address) {
					continue
				}
				found = append(found, t)
			}
		}
	}
	return found
}
