package coord

import (
	"context"
	"time"

	"kingcupcross/pool"
	"kingcupcross/rank"
	"kingcupcross/relay"
)

// shardProxy returns the host that answers for the shards of another data centre of the region: the first in the order of Coordinators that is reachable.
func (c *Coord) shardProxy(datacentre string) (Member, bool) {
	var candidates []Member
	for _, m := range c.Members() {
		if m.Datacentre == datacentre && m.Name != c.Self.Name {
			candidates = append(candidates, m)
		}
	}
	now := c.clock.Now()
	for _, m := range Coordinators(candidates, c.Self.Region, nil) {
		if c.estimatorOf(m).Estimate(now, 1000) < maxPeerLatency {
			return m, true
		}
	}
	return Member{}, false
}

// HasShardProxy reports whether a host of a data centre can answer for the shards there. Only a host that serves others asks one: a host that handles just its own load knows the targets itself.
func (c *Coord) HasShardProxy(datacentre string) bool {
	if !c.servesOtherHosts() {
		return false
	}
	_, found := c.shardProxy(datacentre)
	return found
}

// AskShardProxy has a host of another data centre answer for some shards. Where none can be reached, it returns an error that says that nothing was sent.
func (c *Coord) AskShardProxy(ctx context.Context, datacentre string, r *relay.Request, deadline time.Time) (*relay.Answer, error) {
	to, found := c.shardProxy(datacentre)
	if !found {
		return nil, &pool.Error{Err: errUnresponsive}
	}
	now := c.clock.Now()
	r.Origin, r.MinVersion = c.Self.Name, r.Version
	r.LimitsShare, r.LimitsShareTTL = c.quota.grantToProxy(to.Name, c.ownShare(), now)
	r.TransitTime += c.proxyTransit.reserve()
	k := c.estimatorOf(to)
	f := k.Begin(now)
	a, err := c.sendWithProbes(ctx, to, r, deadline)
	ended := c.clock.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		k.End(f, ended, rank.Abandoned)
		return nil, err
	case err != nil || a.Declined:
		k.End(f, ended, rank.Unreachable)
	default:
		k.End(f, ended, rank.Answered)
		c.proxyTransit.record(ended.Sub(now) - a.Took)
	}
	return a, err
}
