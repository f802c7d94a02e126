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

// Table names the keeper of each target; it is immutable and the same on all hosts that have the same view and maps.
type Table struct {
	view    *board.View
	maps    *board.Maps
	layouts []*layout
	// sites hold the choice of each data centre, by its name.
	sites   map[string]*site
	keepers map[string]*wire.Member
}

// site is the choice within one data centre for one set of living hosts.
type site struct {
	hosts   []wire.Member
	keepers map[string]*wire.Member
	// kept lists the targets of each host, by its name.
	kept map[string][]string
}

// Keeper returns the keeper of a target by the target's name; none is found where its data centre has no living host.
func (t *Table) Keeper(target string) (keeper wire.Member, found bool) {
	m := t.keepers[target]
	if m == nil {
		return wire.Member{}, false
	}
	return *m, true
}

// keptBy returns the targets that a host is to keep.
func (t *Table) keptBy(m wire.Member) []string {
	s := t.sites[m.Datacentre]
	if s == nil {
		return nil
	}
	return s.kept[m.Name]
}

// keeps reports whether a host is to keep a target.
func (t *Table) keeps(m wire.Member, target string) bool {
	k := t.keepers[target]
	return k != nil && k.Name == m.Name
}

// target returns a target's row with the service whose map names it, or nil.
func (t *Table) target(name string) (service string, row *shard.Target) {
	for _, l := range t.layouts {
		if row := l.targets[name]; row != nil {
			return l.service, row
		}
	}
	return "", nil
}

// others returns the hosts besides one that can be keepers.
func (s *site) others(name string) []wire.Member {
	if s == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.hosts), func(m wire.Member) bool { return m.Name == name })
}

// newTable chooses the keepers for a view and maps and takes over from the old table what has not changed.
func newTable(old *Table, view *board.View, all *board.Maps) *Table {
	t := &Table{
		view:    view,
		maps:    all,
		sites:   map[string]*site{},
		keepers: map[string]*wire.Member{},
	}
	var sameMaps bool
	t.layouts, sameMaps = layOuts(old, *all)
	hosts := living(view)
	same := sameMaps && old != nil && len(hosts) == len(old.sites)
	for _, datacentre := range slices.Sorted(maps.Keys(hosts)) {
		var s *site
		if sameMaps && old != nil {
			s = old.sites[datacentre]
		}
		if s == nil || !slices.Equal(s.hosts, hosts[datacentre]) {
			s = newSite(hosts[datacentre], blocksOf(t.layouts, datacentre))
		}
		same = same && s == old.sites[datacentre]
		t.sites[datacentre] = s
	}
	if same {
		t.keepers = old.keepers
		return t
	}
	for _, s := range t.sites {
		maps.Copy(t.keepers, s.keepers)
	}
	return t
}

// layOuts returns the layouts of all maps in the order of the services, and whether they are the old ones.
func layOuts(old *Table, all board.Maps) (layouts []*layout, same bool) {
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
			l, same = layOut(all[service]), false
		}
		layouts = append(layouts, l)
	}
	return layouts, same
}

// living returns the hosts that can be keepers, by data centre and in the order of their names.
func living(view *board.View) map[string][]wire.Member {
	all := map[string][]wire.Member{}
	for _, m := range view.Members {
		if m.State != wire.Alive && m.State != wire.Suspect {
			continue
		}
		// What changes without an effect on the choice is left out, so that it makes no new choice.
		m.State, m.Settings = wire.Alive, 0
		all[m.Datacentre] = append(all[m.Datacentre], m)
	}
	for _, hosts := range all {
		slices.SortFunc(hosts, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return all
}

func blocksOf(layouts []*layout, datacentre string) []block {
	var all []block
	for _, l := range layouts {
		all = append(all, l.blocks[datacentre]...)
	}
	return all
}

// Spare load that the choice may put on one host beyond an equal share, as a fraction.
const (
	spareShare = 1
	spareOf    = 4
)

// newSite gives each block to the host with the highest rendezvous weight that has room and, if possible, keeps no other block of the service.
func newSite(hosts []wire.Member, blocks []block) *site {
	s := &site{hosts: hosts, keepers: map[string]*wire.Member{}, kept: map[string][]string{}}
	total, largest := 0, 0
	for _, b := range blocks {
		total += len(b.targets)
		largest = max(largest, len(b.targets))
	}
	room := max((total*(spareOf+spareShare)+spareOf*len(hosts)-1)/(spareOf*len(hosts)), largest)
	sums := make([]uint64, len(hosts))
	for i, h := range hosts {
		sums[i] = xxhash.Sum64String(h.Name)
	}
	load := make([]int, len(hosts))
	last := make([]string, len(hosts))
	for _, b := range blocks {
		h := bestHost(b, sums, load, last, room)
		load[h] += len(b.targets)
		last[h] = b.service
		for _, t := range b.targets {
			// A target that several maps name goes with the first of them.
			if s.keepers[t] == nil {
				s.keepers[t] = &hosts[h]
				s.kept[hosts[h].Name] = append(s.kept[hosts[h].Name], t)
			}
		}
	}
	return s
}

// bestHost prefers hosts with room that keep no other block of the service, then hosts with room, then any.
func bestHost(b block, sums []uint64, load []int, last []string, room int) int {
	sum := xxhash.Sum64String(b.service + "\x00" + b.key)
	best, bestTier, bestWeight := 0, -1, uint64(0)
	for i := range sums {
		tier := 0
		if load[i]+len(b.targets) <= room {
			tier = 1
			if last[i] != b.service {
				tier = 2
			}
		}
		w := weigh(sums[i], sum)
		if tier > bestTier || (tier == bestTier && w > bestWeight) {
			best, bestTier, bestWeight = i, tier, w
		}
	}
	return best
}

// weigh returns the rendezvous weight of a host and a block from their hashes.
func weigh(host, block uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], host)
	binary.LittleEndian.PutUint64(b[8:], block)
	return xxhash.Sum64(b[:])
}

// chooser keeps the table for the board's view and maps.
type chooser struct {
	board *board.Board
	table atomic.Pointer[Table]
	mu    sync.Mutex
}

// load returns the table; while another request makes a new one, the old one stays in use.
func (c *chooser) load() *Table {
	view, all := c.board.View.Load(), c.board.Maps.Load()
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
