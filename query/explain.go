package query

import (
	"fmt"
	"time"

	"kingcupcross/apiv1"
	"kingcupcross/fault"
	"kingcupcross/shard"
)

// Explain says how a query of a service would be routed now; it fails with fault.NoService.
func (e *Engine) Explain(service string) (*apiv1.Explanation, error) {
	m := e.board.Map(service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %q at %s", service, e.board.Self.Name)
	}
	x := &apiv1.Explanation{
		Service:  service,
		Host:     e.board.Self.Name,
		Snapshot: m.Snapshot(),
		Change:   e.board.Tree.Load().N,
	}
	r := &run{engine: e, service: e.service(service)}
	p := r.planner(m)
	for s := range m.Shards {
		x.Shards = append(x.Shards, p.explain(s))
	}
	return x, nil
}

// explain gives the replicas of shard s in the order of the map.
func (p *planner) explain(s int) apiv1.Route {
	r := apiv1.Route{Shard: s}
	chosen := p.replica(s, nil)
	for _, t := range p.m.Shards[s] {
		target := p.m.Targets[t]
		k, _ := p.keeper(target.Name)
		r.Replicas = append(r.Replicas, apiv1.Replica{
			Target:     target.Name,
			Datacentre: target.Datacentre,
			Keeper:     k.Name,
			Chosen:     chosen != nil && chosen.target == t,
			Why:        p.why(target, p.way(t), chosen),
		})
	}
	return r
}

// scoreStep rounds times that people read.
const scoreStep = 100 * time.Microsecond

var places = map[int]string{
	ownDatacentre: "in this host's data centre",
	ownRegion:     "in this host's region",
	elsewhere:     "in another region",
}

// why says in a few words what speaks for or against a replica.
func (p *planner) why(t shard.Target, c, chosen *candidate) string {
	if c == nil {
		if _, kept := p.keeper(t.Name); kept {
			return "its data centre is out"
		}
		return "its data centre has no living host"
	}
	text := places[c.rank]
	if score := p.score(c); score > 0 {
		text += fmt.Sprintf(", a reply takes about %s", score.Round(scoreStep))
	}
	switch {
	case c.target != chosen.target && c.rank < chosen.rank:
		return text + ", but the other is much faster"
	case c.target != chosen.target:
		return text + ", in reserve for a hedge or a retry"
	default:
		return text
	}
}
