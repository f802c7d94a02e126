package keeper

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/board"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Table holds the keeper of each target. It is immutable, and hosts with the same view and shard maps compute the same table.
type Table struct {
	view    *board.Membership
	maps    *board.ShardMaps
	layouts []*layout
	// assignments holds the assignment of each data centre, by name.
	assignments map[string]*assignment
	// keepers holds the keepers of all targets, by the target's name.
	keepers map[string]*wire.Member
}

// assignment assigns the targets of one data centre to its living hosts.
type assignment struct {
	hosts   []wire.Member
	keepers map[string]*wire.Member
	// byHost lists each host's targets, by the host's name.
	byHost map[string][]string
}

// Keeper returns the keeper of a target. found is false if the target is unknown or its data centre has no living host.
func (t *Table) Keeper(target string) (keeper wire.Member, found bool) {
	m := t.keepers[target]
	if m == nil {
		return wire.Member{}, false
	}
	return *m, true
}

// assignedTo returns the targets that are assigned to a host.
func (t *Table) assignedTo(m wire.Member) []string {
	a := t.assignments[m.Datacentre]
	if a == nil {
		return nil
	}
	return a.byHost[m.Name]
}

// isAssigned reports whether a target is assigned to a host.
func (t *Table) isAssigned(m wire.Member, target string) bool {
	keeper := t.keepers[target]
	return keeper != nil && keeper.Name == m.Name
}

// target returns a target's entry in the shard maps and the service of the map, or nil if there is none.
func (t *Table) target(name string) (service string, entry *shard.Target) {
	for _, l := range t.layouts {
		if entry := l.targets[name]; entry != nil {
			return l.service, entry
		}
	}
	return "", nil
}

// otherHosts returns the hosts except the one with that name.
func (a *assignment) otherHosts(name string) []wire.Member {
	if a == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(a.hosts), func(m wire.Member) bool { return m.Name == name })
}

// newTable assigns the targets for a view and shard maps. It reuses the parts of the old table that are unchanged; old may be nil.
func newTable(old *Table, view *board.Membership, all *board.ShardMaps) *Table {
	t := &Table{
		view:        view,
		maps:        all,
		assignments: map[string]*assignment{},
		keepers:     map[string]*wire.Member{},
	}
	var sameMaps bool
	t.layouts, sameMaps = updateLayouts(old, *all)
	hosts := eligibleHosts(view)
	unchanged := sameMaps && old != nil && len(hosts) == len(old.assignments)
	for _, datacentre := range slices.Sorted(maps.Keys(hosts)) {
		var a *assignment
		if sameMaps && old != nil {
			a = old.assignments[datacentre]
		}
		if a == nil || !slices.Equal(a.hosts, hosts[datacentre]) {
			a = assign(hosts[datacentre], blocksOf(t.layouts, datacentre))
		}
		unchanged = unchanged && a == old.assignments[datacentre]
		t.assignments[datacentre] = a
	}
	if unchanged {
		t.keepers = old.keepers
		return t
	}
	for _, a := range t.assignments {
		maps.Copy(t.keepers, a.keepers)
	}
	return t
}

// updateLayouts returns the layouts of all maps, sorted by service, and whether all of them are the old table's.
func updateLayouts(old *Table, all board.ShardMaps) (layouts []*layout, same bool) {
	known := map[string]*layout{}
	if old != nil {
		for _, l := range old.layouts {
			known[l.service] = l
		}
	}
	same = len(known) == len(all)
	for _, service := range slices.Sorted(maps.Keys(all)) {
		l := known[service]
		if l == nil || l.version != all[service].Version {
			l, same = newLayout(all[service]), false
		}
		layouts = append(layouts, l)
	}
	return layouts, same
}

// eligibleHosts returns the hosts that can be keepers by data centre, sorted by name.
func eligibleHosts(view *board.Membership) map[string][]wire.Member {
	hosts := map[string][]wire.Member{}
	for _, m := range view.Members {
		if m.State != wire.Alive && m.State != wire.Suspect {
			continue
		}
		// Fields that don't affect the assignment are cleared, so that their change doesn't lead to a new one.
		m.State, m.Settings = wire.Alive, 0
		hosts[m.Datacentre] = append(hosts[m.Datacentre], m)
	}
	for _, members := range hosts {
		slices.SortFunc(members, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return hosts
}

// blocksOf returns the blocks of all layouts in a data centre.
func blocksOf(layouts []*layout, datacentre string) []block {
	var blocks []block
	for _, l := range layouts {
		blocks = append(blocks, l.blocks[datacentre]...)
	}
	return blocks
}

// The load of a host may exceed an equal share by the fraction spareNumerator/spareDenominator.
const (
	spareNumerator   = 1
	spareDenominator = 4
)

// assign assigns each block to the host with the highest rendezvous weight among those below the maximum load, preferring hosts without another block of the same service.
func assign(hosts []wire.Member, blocks []block) *assignment {
	a := &assignment{hosts: hosts, keepers: map[string]*wire.Member{}, byHost: map[string][]string{}}
	total, largest := 0, 0
	for _, b := range blocks {
		total += len(b.targets)
		largest = max(largest, len(b.targets))
	}
	maxLoad := max((total*(spareDenominator+spareNumerator)+spareDenominator*len(hosts)-1)/(spareDenominator*len(hosts)), largest)
	hostHashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		hostHashes[i] = xxhash.Sum64String(h.Name)
	}
	load := make([]int, len(hosts))
	lastService := make([]string, len(hosts))
	for _, b := range blocks {
		h := pickHost(b, hostHashes, load, lastService, maxLoad)
		load[h] += len(b.targets)
		lastService[h] = b.service
		for _, t := range b.targets {
			// A target that several maps name belongs to the first of them.
			if a.keepers[t] == nil {
				a.keepers[t] = &hosts[h]
				a.byHost[hosts[h].Name] = append(a.byHost[hosts[h].Name], t)
			}
		}
	}
	return a
}

// pickHost returns the index of the best host for a block: one that stays within maxLoad and whose last block is of another service, else one that stays within maxLoad, else any. Blocks come ordered by service, so the last block tells whether the host has one of the same service.
func pickHost(b block, hostHashes []uint64, load []int, lastService []string, maxLoad int) int {
	blockHash := xxhash.Sum64String(b.service + "\x00" + b.key)
	best, bestTier, bestWeight := 0, -1, uint64(0)
	for i := range hostHashes {
		tier := 0
		if load[i]+len(b.targets) <= maxLoad {
			tier = 1
			if lastService[i] != b.service {
				tier = 2
			}
		}
		weight := rendezvousWeight(hostHashes[i], blockHash)
		if tier > bestTier || (tier == bestTier && weight > bestWeight) {
			best, bestTier, bestWeight = i, tier, weight
		}
	}
	return best
}

// rendezvousWeight returns the rendezvous weight of a host for a block, both given by their hashes.
func rendezvousWeight(host, block uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], host)
	binary.LittleEndian.PutUint64(b[8:], block)
	return xxhash.Sum64(b[:])
}

// tableCache caches the table for the board's newest view and shard maps.
type tableCache struct {
	board *board.State
	table atomic.Pointer[Table]
	mu    sync.Mutex
}

// current returns the table for the newest view and maps. While another goroutine computes it, the previous table is returned, if there is one.
func (c *tableCache) current() *Table {
	view, all := c.board.Membership.Load(), c.board.ShardMaps.Load()
	t := c.table.Load()
	if t != nil && t.view == view && t.maps == all {
		return t
	}
	if t == nil {
		c.mu.Lock()
	} else if !c.mu.TryLock() {
		return t
	}
	defer c.mu.Unlock()
	if t = c.table.Load(); t == nil || t.view != view || t.maps != all {
		t = newTable(t, view, all)
		c.table.Store(t)
	}
	return t
}
