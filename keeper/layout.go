package keeper

import (
	"slices"
	"strings"

	"kingcupcross/shard"
)

// maxBlockSize is the number of targets that are assigned to a keeper together. Larger blocks mean that a query needs fewer keepers.
const maxBlockSize = 14

// block is a set of targets of one service in one data centre, no two of which hold the same shard.
type block struct {
	service string
	// key is the name of the block's first target. It doesn't change when targets are appended to the block.
	key     string
	targets []string
}

// layout holds the targets of one version of a shard map and their blocks by data centre.
type layout struct {
	service string
	version uint64
	targets map[string]*shard.Target
	blocks  map[string][]block
}

// newLayout divides the targets of a map into blocks. Replicas of a shard within a data centre go to different blocks.
func newLayout(m *shard.Map) *layout {
	conflicts := conflictsOf(m)
	order := make([]int, len(m.Targets))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(m.Targets[a].Name, m.Targets[b].Name) })
	l := &layout{service: m.Service, version: m.Version, targets: map[string]*shard.Target{}, blocks: map[string][]block{}}
	blockOf := make([]int, len(m.Targets))
	for i := range blockOf {
		blockOf[i] = -1
	}
	for _, t := range order {
		l.targets[m.Targets[t].Name] = &m.Targets[t]
		blockOf[t] = l.place(m, t, conflicts[t], blockOf)
	}
	return l
}

// conflictsOf returns, by index, the targets of the same data centre with which each target has a shard in common.
func conflictsOf(m *shard.Map) [][]int {
	conflicts := make([][]int, len(m.Targets))
	for _, replicas := range m.Shards {
		for _, a := range replicas {
			for _, b := range replicas {
				if a != b && m.Targets[a].Datacentre == m.Targets[b].Datacentre && !slices.Contains(conflicts[a], b) {
					conflicts[a] = append(conflicts[a], b)
				}
			}
		}
	}
	return conflicts
}

// place appends a target to the first block that isn't full and holds no conflicting target, or to a new block, and returns the block's index.
func (l *layout) place(m *shard.Map, t int, conflicts, blockOf []int) int {
	datacentre := m.Targets[t].Datacentre
	blocks := l.blocks[datacentre]
	for i := range blocks {
		excluded := len(blocks[i].targets) >= maxBlockSize || slices.ContainsFunc(conflicts, func(r int) bool { return blockOf[r] == i })
		if !excluded {
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
