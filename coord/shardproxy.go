package coord

import (
	"context"
	"time"

	"kingcupcross/pool"
	"kingcupcross/rank"
	"kingcupcross/relay"
)

// shardProxy returns the host that answers for the shards of another data centre of the region: the first in the order of Coordinators whose latency estimate is below maxPeerLatency.
func (c *Coord) shardProxy(datacentre string) (Member, bool) {
	var candidates []Member
	for _, m := range c.Members() {
		if m.Datacentre == datacentre && m.Name != c.Self.Name {
			candidates = append(candidates, m)
		}
	}
	now := c.clock.Now()
	for _, m := range Coordinators(candidates, c.Self.Region, nil) {
		// With 1000 slots, requests in flight hardly raise the estimate.
		if c.estimatorOf(m).Estimate(now, 1000) < maxPeerLatency {
			return m, true
		}
	}
	return Member{}, false
}

// HasShardProxy reports whether this host should ask a host of another data centre to answer for the shards there. It is false on a host that answers only its own requests, because that host knows the targets itself.
func (c *Coord) HasShardProxy(datacentre string) bool {
	if !c.servesOtherHosts() {
		return false
	}
	_, found := c.shardProxy(datacentre)
	return found
}

// AskShardProxy asks a host of another data centre to answer for some shards. If none is reachable, it returns a pool.Error without Sent.
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
	a, err := c.sendWithPings(ctx, to, r, deadline)
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
