package keeper

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/board"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// testFleet returns a view and shard maps with these numbers of hosts, data centres and targets.
func testFleet(hosts, datacentres, targets, perService int) (*board.Membership, *board.ShardMaps) {
	v := &board.Membership{Members: map[string]wire.Member{}}
	for i := range hosts {
		m := wire.Member{
			HostID:     wire.HostID{Name: fmt.Sprintf("h%03d", i), Incarnation: 1},
			Datacentre: fmt.Sprintf("d%d", i%datacentres),
			State:      wire.Alive,
		}
		v.Members[m.Name] = m
	}
	all := board.ShardMaps{}
	for first := 0; first < targets; first += perService {
		m := &shard.Map{Service: fmt.Sprintf("s%04d", first/perService), Version: 1, Index: 1}
		for i := range perService {
			m.Targets = append(m.Targets, shard.Target{
				Name:       fmt.Sprintf("t%04d", first+i),
				Address:    netip.AddrPortFrom(netip.IPv4Unspecified(), 1),
				Datacentre: fmt.Sprintf("d%d", i%datacentres),
				Slots:      3,
				Conns:      25,
			})
			// A shard has one replica in each of two data centres and a second one in the first of them.
			m.Shards = append(m.Shards, []int{i, (i + 1) % perService, (i + datacentres) % perService})
		}
		all[m.Service] = m
	}
	return v, &all
}

// keeperNames returns the name of each target's keeper.
func keeperNames(t *Table) map[string]string {
	all := map[string]string{}
	for name, m := range t.keepers {
		all[name] = m.Name
	}
	return all
}

// TestTableAssignsEveryTargetWithinLoadBound checks at several sizes that every target has a keeper, that replicas are apart, that the load is bounded and that the result is deterministic.
func TestTableAssignsEveryTargetWithinLoadBound(t *testing.T) {
	for _, c := range []struct{ hosts, datacentres, targets, perService int }{
		{hosts: 9, datacentres: 3, targets: 110, perService: 10},
		{hosts: 50, datacentres: 6, targets: 396, perService: 99},
		{hosts: 940, datacentres: 6, targets: 6336, perService: 99},
		{hosts: 7, datacentres: 3, targets: 12, perService: 6},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d targets", c.hosts, c.targets), func(t *testing.T) {
			v, all := testFleet(c.hosts, c.datacentres, c.targets, c.perService)
			table := newTable(nil, v, all)
			require.Len(t, table.keepers, c.targets)
			requireReplicasApart(t, table, all)
			requireLoadBound(t, table, v, c.datacentres)
			require.Equal(t, keeperNames(table), keeperNames(newTable(nil, v, all)), "every host computes the same table")
		})
	}
}

// requireReplicasApart checks that the replicas of a shard within a data centre have different keepers.
func requireReplicasApart(t *testing.T, table *Table, all *board.ShardMaps) {
	t.Helper()
	for _, m := range *all {
		for _, replicas := range m.Shards {
			for i, a := range replicas {
				for _, b := range replicas[i+1:] {
					if m.Targets[a].Datacentre == m.Targets[b].Datacentre && a != b {
						require.NotEqual(t, table.keepers[m.Targets[a].Name].Name, table.keepers[m.Targets[b].Name].Name)
					}
				}
			}
		}
	}
}

// requireLoadBound checks that no host's load exceeds an equal share by more than a quarter, unless a single block does.
func requireLoadBound(t *testing.T, table *Table, v *board.Membership, datacentres int) {
	t.Helper()
	load := map[string]int{}
	for _, m := range table.keepers {
		load[m.Name]++
	}
	hosts := len(v.Members) / datacentres
	perDatacentre := (len(table.keepers) + datacentres - 1) / datacentres
	for name, n := range load {
		require.LessOrEqual(t, n, max(perDatacentre*5/(4*hosts)+1, maxBlockSize), name)
	}
}

func TestNewTableReusesUnchangedParts(t *testing.T) {
	v, all := testFleet(12, 3, 60, 12)
	old := newTable(nil, v, all)

	maps := *all
	next := board.ShardMaps{}
	for service, m := range maps {
		c := *m
		c.Index++
		next[service] = &c
	}
	same := newTable(old, v, &next)
	for name, s := range old.assignments {
		require.Same(t, s, same.assignments[name], "a new index version makes no new assignment")
	}

	changedView := &board.Membership{Members: map[string]wire.Member{}}
	for name, m := range v.Members {
		m.Settings = 7
		if name == "h000" {
			m.State = wire.Dead
		}
		changedView.Members[name] = m
	}
	changed := newTable(old, changedView, all)
	require.NotSame(t, old.assignments["d0"], changed.assignments["d0"])
	require.Same(t, old.assignments["d1"], changed.assignments["d1"])
	for name, keeper := range keeperNames(changed) {
		require.NotEqual(t, "h000", keeper, name)
	}
}

func TestTableCacheRecomputesAfterViewChange(t *testing.T) {
	v, all := testFleet(6, 2, 12, 6)
	withHost(v.Members["h000"], func(h *host) {
		h.board.ShardMaps.Update(func(*board.ShardMaps) *board.ShardMaps { return all })
		h.board.Membership.Update(func(*board.Membership) *board.Membership { return v })
		first := h.keeper.Table()
		require.Same(t, first, h.keeper.Table())
		h.board.Membership.Update(func(*board.Membership) *board.Membership { return &board.Membership{Members: v.Members} })
		require.NotSame(t, first, h.keeper.Table())
	})
}
