package query

import (
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// batch is what one keeper is asked for.
type batch struct {
	keeper wire.Member
	parts  []wire.Part
}

// plan assigns shards to replicas that were not tried before and groups them by keeper.
func (e *Engine) plan(m *shard.Map, shards []int, tried map[int]map[int]bool) (batches []batch, lost []int) {
	table := e.links.Table()
	chosen := map[int][]int{}
	for _, s := range shards {
		t, found := e.replica(m, table, s, tried[s])
		if !found {
			lost = append(lost, s)
			continue
		}
		if tried[s] == nil {
			tried[s] = map[int]bool{}
		}
		tried[s][t] = true
		chosen[t] = append(chosen[t], s)
	}
	return group(m, table, chosen), lost
}

// replica prefers this host's data centre and then spreads over the replicas by shard.
func (e *Engine) replica(m *shard.Map, table *keeper.Table, s int, tried map[int]bool) (int, bool) {
	replicas := m.Shards[s]
	best, found := 0, false
	for i := range replicas {
		t := replicas[(s+i)%len(replicas)]
		if tried[t] || !e.usable(table, m.Targets[t]) {
			continue
		}
		if !found || (m.Targets[t].Datacentre == e.board.Self.Datacentre && m.Targets[best].Datacentre != e.board.Self.Datacentre) {
			best, found = t, true
		}
	}
	return best, found
}

func (e *Engine) usable(table *keeper.Table, t shard.Target) bool {
	k, found := table.Keeper(t.Name)
	return found && !e.board.Tree.Load().Out(k.Region, t.Datacentre)
}

func group(m *shard.Map, table *keeper.Table, chosen map[int][]int) []batch {
	byKeeper := map[string]int{}
	var batches []batch
	for t, shards := range chosen {
		k, _ := table.Keeper(m.Targets[t].Name)
		i, known := byKeeper[k.Name]
		if !known {
			i = len(batches)
			byKeeper[k.Name] = i
			batches = append(batches, batch{keeper: k})
		}
		batches[i].parts = append(batches[i].parts, wire.Part{Target: m.Targets[t].Name, Shards: shards})
	}
	return batches
}
