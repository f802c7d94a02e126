package query

import (
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Explanation describes how a query of a service would be routed.
type Explanation struct {
	Snapshot shard.Snapshot
	// Change is the number of the last settings change that is in effect.
	Change uint64
	Routes []Route
}

// Route lists the replicas of one shard.
type Route struct {
	Shard    int
	Replicas []Replica
}

// Replica is a copy of a shard at a target.
type Replica struct {
	Target     string
	Datacentre string
	// Keeper is the host that sends requests to the target, or "" if there is none.
	Keeper string
	// Chosen says that this replica would be asked first.
	Chosen bool
	// Why is the reason why the replica would be asked or not.
	Why string
}

// Explain returns how a query of a service would be routed now. It fails with fault.NoService if the service has no shard
// map on this host.
func (e *Engine) Explain(service string) (*Explanation, error) {
	m := e.board.ShardMap(service)
	if m == nil {
		return nil, fault.New(fault.NoService, "no shard map of %q at %s", service, e.board.Self.Name)
	}
	x := &Explanation{
		Snapshot: m.Snapshot(),
		Change:   e.board.Tree.Load().ChangeNumber,
	}
	p := e.newPlanner(e.statsOf(service), m)
	for s := range m.Shards {
		chosen, found := -1, false
		if c := p.chooseReplica(s, nil); c != nil {
			chosen, found = c.target, true
		}
		x.Routes = append(x.Routes, e.explainShard(m, p.keeperOf, s, chosen, found))
	}
	return x, nil
}

// explainShard lists the replicas of shard s; chosen is the target that would be asked first, if found is true.
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
			Why:        e.choiceReason(target, k, kept, found && t == chosen),
		})
	}
	return r
}

// choiceReason returns the reason why a replica would be asked or not, for display.
func (e *Engine) choiceReason(t shard.Target, k wire.Member, kept, chosen bool) string {
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
