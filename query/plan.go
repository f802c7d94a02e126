package query

import (
	"time"

	"kingcupcross/shard"
	"kingcupcross/wire"
)

// slowRatio is how many times slower a preferred replica must be before another takes its place.
const slowRatio = 2

// try is one replica that a shard was asked of, with the keeper that it went through.
type try struct {
	target int
	keeper wire.HostID
	// moved says that the keeper did not have the target, so that it may be asked again.
	moved bool
}

// candidate is a replica that can be asked.
type candidate struct {
	target int
	keeper wire.Member
	rank   int
}

// planner chooses replicas on one map and one table of keepers.
type planner struct {
	engine  *Engine
	service *service
	m       *shard.Map
	now     time.Time
	keeper  func(target string) (wire.Member, bool)
	// ways holds the candidate of each target once it was looked up.
	ways map[int]*candidate
}

func (e *Engine) planner(s *service, m *shard.Map) *planner {
	return &planner{
		engine:  e,
		service: s,
		m:       m,
		now:     e.clock.Now(),
		keeper:  e.table(),
		ways:    make(map[int]*candidate, len(m.Targets)),
	}
}

// Ranks of replicas: the nearer, the better.
const (
	ownDatacentre = iota
	ownRegion
	elsewhere
)

// way returns how a target is reached, or nil where it can't or mustn't be.
func (p *planner) way(t int) *candidate {
	if c, known := p.ways[t]; known {
		return c
	}
	p.ways[t] = p.lookUp(t)
	return p.ways[t]
}

func (p *planner) lookUp(t int) *candidate {
	target := p.m.Targets[t]
	k, found := p.keeper(target.Name)
	if !found || p.engine.board.Tree.Load().DatacentreOut(k.Region, target.Datacentre) {
		return nil
	}
	self := p.engine.board.Self
	c := &candidate{target: t, keeper: k, rank: elsewhere}
	switch {
	case target.Datacentre == self.Datacentre:
		c.rank = ownDatacentre
	case k.Region == self.Region:
		c.rank = ownRegion
	}
	return c
}

// replica chooses among the replicas of shard s that weren't tried: the nearest, unless another is known to be much faster; equals take turns by shard.
func (p *planner) replica(s int, tried []try) *candidate {
	replicas := p.m.Shards[s]
	var first, second *candidate
	for i := range replicas {
		c := p.way(replicas[(s+i)%len(replicas)])
		switch {
		case c == nil || wasTried(tried, c):
		case first == nil || c.rank < first.rank:
			first, second = c, first
		case second == nil:
			second = c
		}
	}
	if second != nil && !p.engine.policy.NoChoice && p.score(first) > slowRatio*p.score(second) {
		return second
	}
	return first
}

func (p *planner) score(c *candidate) time.Duration {
	t := p.m.Targets[c.target]
	return p.service.score(p.now, t.Name, t.Datacentre)
}

// wasTried takes a target as untried when it has another keeper by now.
func wasTried(tried []try, c *candidate) bool {
	for _, t := range tried {
		if t.target == c.target && t.keeper == c.keeper.HostID {
			return true
		}
	}
	return false
}
