package coord

import (
	"context"
	"time"

	"kingcupcross/pool"
	"kingcupcross/rank"
	"kingcupcross/relay"
)

// helper returns the host that answers for the shards of another data centre of the region: the strongest that can be reached.
func (c *Coord) helper(datacentre string) (Member, bool) {
	var own []Member
	for _, m := range c.Members() {
		if m.Datacentre == datacentre && m.Name != c.Self.Name {
			own = append(own, m)
		}
	}
	now := c.clock.Now()
	for _, m := range Coordinators(own, c.Self.Region, nil) {
		if c.rank(m).Estimate(now, 1000) < avoid {
			return m, true
		}
	}
	return Member{}, false
}

// HasHelper reports whether another host can answer for the shards of a data centre; only coordinators ask others, since a host with its own load knows the targets itself.
func (c *Coord) HasHelper(datacentre string) bool {
	if !c.answersForOthers() {
		return false
	}
	_, found := c.helper(datacentre)
	return found
}

// AskHelper has another host answer for some shards; where none can be reached, nothing was sent.
func (c *Coord) AskHelper(ctx context.Context, datacentre string, r *relay.Request, deadline time.Time) (*relay.Answer, error) {
	to, found := c.helper(datacentre)
	if !found {
		return nil, &pool.Error{Err: errSilent}
	}
	now := c.clock.Now()
	r.Origin, r.Least = c.Self.Name, r.Version
	r.Share, r.ShareFor = c.loans.share(to.Name, c.own(), now)
	r.Reserve += c.helperWay.reserve()
	k := c.rank(to)
	f := k.Begin(now)
	a, err := c.exchange(ctx, to, r, deadline)
	ended := c.clock.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		k.End(f, ended, rank.Dropped)
		return nil, err
	case err != nil || a.Aside:
		k.End(f, ended, rank.Dead)
	default:
		k.End(f, ended, rank.Answered)
		c.helperWay.learn(ended.Sub(now) - a.Took)
	}
	return a, err
}
