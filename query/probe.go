package query

import (
	"context"
	"slices"
	"time"
)

const (
	// probePeriod is the time between two probes of a slow target by a host among up to probeHosts.
	probePeriod = time.Second
	// probeHosts is the number of hosts from which on each probes more seldom, so that the probes that a target gets don't grow with the hosts.
	probeHosts = 8
)

// probe asks slow targets for a shard each that another replica is asked for as well: whether a target has recovered is found out at no caller's cost.
func (a *attempt) probe(ctx context.Context) {
	now := a.engine.clock.Now()
	members := len(a.engine.board.Membership.Load().Members)
	names := a.service.due(now, probePeriod*time.Duration(max(1, members/probeHosts)))
	if len(names) == 0 {
		return
	}
	if a.engine.policy.NoHedges || a.values.Hedge >= 1 {
		for _, name := range names {
			a.service.forgive(now, name)
		}
		return
	}
	slices.Sort(names)
	p := a.engine.planner(a.service, a.m)
	chosen := map[int][]int{}
	for _, name := range names {
		if t, s := a.probeOf(p, name); s >= 0 {
			chosen[t] = []int{s}
		}
	}
	a.afford(chosen, hedge)
	a.launch(ctx, p, chosen)
}

// probeOf returns the target of that name with a shard of it that was asked of another replica only, or a negative shard.
func (a *attempt) probeOf(p *planner, name string) (t, s int) {
	for s, replicas := range a.m.Shards {
		for _, t := range replicas {
			if a.m.Targets[t].Name != name {
				continue
			}
			if c := p.way(t); c != nil && len(a.tried[s]) > 0 && !wasTried(a.tried[s], c) {
				return t, s
			}
		}
	}
	return 0, -1
}
