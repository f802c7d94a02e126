package query

import (
	"kingcupcross/apiv1"
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
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
	p := e.planner(e.service(service), m)
	for s := range m.Shards {
		chosen, found := -1, false
		if c := p.replica(s, nil); c != nil {
			chosen, found = c.target, true
		}
		x.Shards = append(x.Shards, e.explainShard(m, p.keeper, s, chosen, found))
	}
	return x, nil
}

func (e *Engine) explainShard(m *shard.Map, keeperOf func(string) (wire.Member, bool), s, chosen int, found bool) apiv1.Route {
	r := apiv1.Route{Shard: s}
	for _, t := range m.Shards[s] {
		target := m.Targets[t]
		k, kept := keeperOf(target.Name)
		r.Replicas = append(r.Replicas, apiv1.Replica{
			Target:     target.Name,
			Datacentre: target.Datacentre,
			Keeper:     k.Name,
			Chosen:     found && t == chosen,
			Why:        e.why(target, k, kept, found && t == chosen),
		})
	}
	return r
}

// why says in a few words what speaks for or against a replica.
func (e *Engine) why(t shard.Target, k wire.Member, kept, chosen bool) string {
	near := t.Datacentre == e.board.Self.Datacentre
	switch {
	case !kept:
		return "its data centre has no living host"
	case e.board.Tree.Load().Out(k.Region, t.Datacentre):
		return "its data centre is out"
	case chosen && near:
		return "in this host's data centre"
	case chosen:
		return "the first of those that can be asked"
	case near:
		return "in this host's data centre, in reserve"
	default:
		return "in reserve: for a retry or a hedge"
	}
}
