package query

import (
	"time"

	"kingcupcross/shard"
	"kingcupcross/wire"
)

// slowRatio is how many times slower than an alternative the nearest replica must be for the alternative to be chosen.
const slowRatio = 2

// triedReplica is a target that was asked for a shard, and the keeper that the request went through.
type triedReplica struct {
	target int
	keeper wire.HostID
	// moved says that the keeper no longer kept the target, so that the target may be asked again.
	moved bool
}

// candidate is a target that can be asked, by its index in the shard map. A lower rank is nearer.
type candidate struct {
	target int
	keeper wire.Member
	rank   int
}

// planner chooses replicas for one shard map and one state of the keeper table.
type planner struct {
	engine   *Engine
	stats    *serviceStats
	shardMap *shard.Map
	now      time.Time
	keeperOf func(target string) (wire.Member, bool)
	// candidates caches the candidate of each target, nil for one that can't be asked.
	candidates map[int]*candidate
}

func (e *Engine) newPlanner(s *serviceStats, m *shard.Map) *planner {
	return &planner{
		engine:     e,
		stats:      s,
		shardMap:   m,
		now:        e.clock.Now(),
		keeperOf:   e.keeperTable(),
		candidates: make(map[int]*candidate, len(m.Targets)),
	}
}

// Ranks of candidates by distance from this host, nearest first.
const (
	ownDatacentre = iota
	ownRegion
	otherRegion
)

// candidateFor returns the candidate for a target, or nil if the target has no keeper or its data centre is out of service.
func (p *planner) candidateFor(t int) *candidate {
	if c, known := p.candidates[t]; known {
		return c
	}
	p.candidates[t] = p.findCandidate(t)
	return p.candidates[t]
}

func (p *planner) findCandidate(t int) *candidate {
	target := p.shardMap.Targets[t]
	k, found := p.keeperOf(target.Name)
	if !found || p.engine.board.Tree.Load().DatacentreOut(k.Region, target.Datacentre) {
		return nil
	}
	self := p.engine.board.Self
	c := &candidate{target: t, keeper: k, rank: otherRegion}
	switch {
	case target.Datacentre == self.Datacentre:
		c.rank = ownDatacentre
	case k.Region == self.Region:
		c.rank = ownRegion
	}
	return c
}

// chooseReplica returns the nearest untried replica of shard s, or an alternative whose expected latency is lower by more
// than slowRatio. Which of several equally near replicas is chosen depends on s, so that shards spread over them.
func (p *planner) chooseReplica(s int, tried []triedReplica) *candidate {
	replicas := p.shardMap.Shards[s]
	var nearest, alternative *candidate
	for i := range replicas {
		c := p.candidateFor(replicas[(s+i)%len(replicas)])
		switch {
		case c == nil || wasTried(tried, c):
		case nearest == nil || c.rank < nearest.rank:
			nearest, alternative = c, nearest
		case alternative == nil:
			alternative = c
		}
	}
	if alternative != nil && !p.engine.policy.IgnoreLatency && p.expectedLatency(nearest) > slowRatio*p.expectedLatency(alternative) {
		return alternative
	}
	return nearest
}

// expectedLatency returns the expected time to a reply of the candidate.
func (p *planner) expectedLatency(c *candidate) time.Duration {
	t := p.shardMap.Targets[c.target]
	return p.stats.expectedLatency(p.now, t.Name, t.Datacentre)
}

// wasTried reports whether a target was asked through its current keeper. A target with a new keeper counts as untried.
func wasTried(tried []triedReplica, c *candidate) bool {
	for _, t := range tried {
		if t.target == c.target && t.keeper == c.keeper.HostID {
			return true
		}
	}
	return false
}
