package keeper

import (
	"slices"
	"strings"

	"kingcupcross/shard"
)

// blockSize is the number of targets that one keeper takes together, so that a query meets few keepers.
const blockSize = 14

// block is a set of targets of one service in one data centre that have no shard in common.
type block struct {
	service string
	// key is the name of the first target and stays the same while targets are added behind it.
	key     string
	targets []string
}

// layout holds the blocks of one version of a shard map, by data centre.
type layout struct {
	service string
	version uint64
	targets map[string]*shard.Target
	blocks  map[string][]block
}

// layOut puts targets into blocks; replicas of a shard come into different ones.
func layOut(m *shard.Map) *layout {
	rivals := rivalsOf(m)
	order := make([]int, len(m.Targets))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(m.Targets[a].Name, m.Targets[b].Name) })
	l := &layout{service: m.Service, version: m.Version, targets: map[string]*shard.Target{}, blocks: map[string][]block{}}
	place := make([]int, len(m.Targets))
	for i := range place {
		place[i] = -1
	}
	for _, t := range order {
		l.targets[m.Targets[t].Name] = &m.Targets[t]
		place[t] = l.put(m, t, rivals[t], place)
	}
	return l
}

// rivalsOf returns for each target the others of its data centre that hold a shard of it too.
func rivalsOf(m *shard.Map) [][]int {
	all := make([][]int, len(m.Targets))
	for _, replicas := range m.Shards {
		for _, a := range replicas {
			for _, b := range replicas {
				if a != b && m.Targets[a].Datacentre == m.Targets[b].Datacentre && !slices.Contains(all[a], b) {
					all[a] = append(all[a], b)
				}
			}
		}
	}
	return all
}

// put adds a target to the first block that has room and holds none of its rivals, and returns the block's index.
func (l *layout) put(m *shard.Map, t int, rivals, place []int) int {
	datacentre := m.Targets[t].Datacentre
	blocks := l.blocks[datacentre]
	for i := range blocks {
		taken := len(blocks[i].targets) >= blockSize || slices.ContainsFunc(rivals, func(r int) bool { return place[r] == i })
		if !taken {
			blocks[i].targets = append(blocks[i].targets, m.Targets[t].Name)
			return i
		}
	}
	l.blocks[datacentre] = append(blocks, block{
		service: m.Service,
		key:     m.Targets[t].Name,
		targets: []string{m.Targets[t].Name},
	})
	return len(blocks)
}
