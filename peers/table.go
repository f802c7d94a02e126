package peers

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/wire"
)

const (
	// forgetGone is how long the record of a process that is known to be gone is kept, against news of it that is still under way.
	forgetGone = 10 * time.Minute
	// forgetSilent is how long a silent host is kept and tried now and then: longer than regions lose each other.
	forgetSilent = 2 * time.Hour
)

// row is one host with what only this host needs to know of it.
type row struct {
	member wire.Member
	// verdict is when a suspicion becomes death.
	verdict time.Time
}

// table holds a row for each known host; its methods need the caller's lock.
type table struct {
	rows   map[string]*row
	digest uint64
	// version counts the changes of any record, but for settings' numbers.
	version uint64
}

func newTable(self wire.Member, now time.Time) *table {
	t := &table{rows: map[string]*row{}}
	t.put(self, now)
	return t
}

// put stores a record over an older one.
func (t *table) put(m wire.Member, now time.Time) *row {
	old := t.rows[m.Name]
	if old != nil {
		t.digest ^= sum(&old.member)
		if old.member.Incarnation == m.Incarnation {
			m.Settings = max(m.Settings, old.member.Settings)
		}
	}
	m.Since = now
	if old != nil && old.member.Incarnation == m.Incarnation && old.member.State == m.State {
		m.Since = old.member.Since
	}
	r := &row{member: m}
	t.rows[m.Name] = r
	t.digest ^= sum(&m)
	t.version++
	return r
}

func (t *table) drop(name string) {
	if r := t.rows[name]; r != nil {
		t.digest ^= sum(&r.member)
		delete(t.rows, name)
		t.version++
	}
}

// living says whether a host may be given work, as far as its own data centre knows.
func living(m *wire.Member) bool {
	return m.State == wire.Alive || m.State == wire.Suspect
}

// sum is a living host's share of the digest; suspicions, settings and the forgotten don't count, as they come and go by themselves.
func sum(m *wire.Member) uint64 {
	if !living(m) {
		return 0
	}
	return xxhash.Sum64String(m.Name + "\x00" + strconv.FormatUint(m.Incarnation, 16))
}

// forget drops the dead whose time is over.
func (t *table) forget(now time.Time) {
	for name, r := range t.rows {
		if r.member.State != wire.Dead {
			continue
		}
		keep := forgetSilent
		if r.member.Proof {
			keep = forgetGone
		}
		if now.Sub(r.member.Since) > keep {
			t.drop(name)
		}
	}
}

// pick returns the members that pass, in the order of their names.
func (t *table) pick(pass func(*wire.Member) bool) []wire.Member {
	var all []wire.Member
	for _, r := range t.rows {
		if pass(&r.member) {
			all = append(all, r.member)
		}
	}
	slices.SortFunc(all, func(a, b wire.Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// rank orders members by rendezvous weight for a key, the heaviest first: each host finds the same order from the same members.
func rank(members []wire.Member, key string) []wire.Member {
	weights := make(map[string]uint64, len(members))
	for _, m := range members {
		weights[m.Name] = xxhash.Sum64String(key + "\x00" + m.Name)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b wire.Member) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// First returns the first n living members of a data centre by rendezvous weight for a key.
func First(members map[string]wire.Member, datacentre, key string, n int) []wire.Member {
	var candidates []wire.Member
	for _, m := range members {
		if m.Datacentre == datacentre && living(&m) {
			candidates = append(candidates, m)
		}
	}
	ranked := rank(candidates, key)
	return ranked[:min(n, len(ranked))]
}

// Bridges returns the hosts of a data centre that exchange news with another one.
func Bridges(members map[string]wire.Member, datacentre, other string) []wire.Member {
	return First(members, datacentre, pair(datacentre, other), bridgesPerPair)
}
