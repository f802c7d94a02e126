package query

import (
	"context"
	"slices"
	"time"
)

const (
	// probePeriod is the time between two probes of a slow target by one host, if there are fewer than
	// 2*hostsPerProbePeriod hosts.
	probePeriod = time.Second
	// hostsPerProbePeriod lengthens the period in proportion to the number of hosts, so that the probes that a target gets
	// don't grow with it.
	hostsPerProbePeriod = 8
)

// probeSlowTargets finds out whether slow targets have recovered, without delaying any caller: it asks each for a shard
// that another replica is asked for as well. If hedges are disabled, the slow targets are used again without a probe.
func (a *attempt) probeSlowTargets(ctx context.Context) {
	now := a.engine.clock.Now()
	members := len(a.engine.board.Membership.Load().Members)
	names := a.stats.takeDueProbes(now, probePeriod*time.Duration(max(1, members/hostsPerProbePeriod)))
	if len(names) == 0 {
		return
	}
	if a.engine.policy.NoHedges || a.settings.Hedge >= 1 {
		for _, name := range names {
			a.stats.clearSlow(now, name)
		}
		return
	}
	slices.Sort(names)
	p := a.engine.newPlanner(a.stats, a.shardMap)
	chosen := map[int][]int{}
	for _, name := range names {
		if t, s := a.shardToProbe(p, name); s >= 0 {
			chosen[t] = []int{s}
		}
	}
	a.applyBudget(chosen, lateHedge)
	a.launch(ctx, p, chosen)
}

// shardToProbe returns the named target's index and a shard of it that only other replicas were asked for. The shard is
// negative if there is none.
func (a *attempt) shardToProbe(p *planner, name string) (t, s int) {
	for s, replicas := range a.shardMap.Shards {
		for _, t := range replicas {
			if a.shardMap.Targets[t].Name != name {
				continue
			}
			if c := p.candidateFor(t); c != nil && len(a.tried[s]) > 0 && !wasTried(a.tried[s], c) {
				return t, s
			}
		}
	}
	return 0, -1
}
