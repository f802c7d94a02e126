package query

import (
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Explanation says how a query would be routed now.
type Explanation struct {
	Snapshot shard.Snapshot
	// Change is the number of the settings change in force.
	Change uint64
	Routes []Route
}

// Route gives the replicas of one shard.
type Route struct {
	Shard    int
	Replicas []Replica
}

// Replica is one copy of a shard at a target.
type Replica struct {
	Target     string
	Datacentre string
	// Keeper is the host through which the target is asked, or "" where there is none.
	Keeper string
	// Chosen says that this replica is asked first.
	Chosen bool
	// Why says why the replica is asked or not.
	Why string
}

// Explain says how a query of a service would be routed now; it fails with fault.NoService.
func (e *Engine) Explain(service string) (*Explanation, error) {
	m := e.board.ShardMap(service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %q at %s", service, e.board.Self.Name)
	}
	x := &Explanation{
		Snapshot: m.Snapshot(),
		Change:   e.board.Tree.Load().ChangeNumber,
	}
	p := e.planner(e.service(service), m)
	for s := range m.Shards {
		chosen, found := -1, false
		if c := p.replica(s, nil); c != nil {
			chosen, found = c.target, true
		}
		x.Routes = append(x.Routes, e.explainShard(m, p.keeper, s, chosen, found))
	}
	return x, nil
}

func (e *Engine) explainShard(m *shard.Map, keeperOf func(string) (wire.Member, bool), s, chosen int, found bool) Route {
	r := Route{Shard: s}
	for _, t := range m.Shards[s] {
		target := m.Targets[t]
		k, kept := keeperOf(target.Name)
		r.Replicas = append(r.Replicas, Replica{
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
	case e.board.Tree.Load().DatacentreOut(k.Region, t.Datacentre):
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
