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
	// provenDeadRetention is how long the record of a process that is proven to be gone is kept, so that older records of it that still circulate are ignored.
	provenDeadRetention = 10 * time.Minute
	// silentDeadRetention is how long the record of a host that was declared dead without proof is kept and the host retried: longer than regions stay partitioned.
	silentDeadRetention = 2 * time.Hour
)

// row is the record of a host with state that is local to this host.
type row struct {
	member wire.Member
	// deathAt is when the suspicion timeout ends and the host is declared dead; zero without a suspicion.
	deathAt time.Time
}

// table holds a row for each known host by name; the caller must hold Peers.mu.
type table struct {
	rows map[string]*row
	// digest is the XOR of digestOf for all rows; hosts with the same live members have the same digest.
	digest uint64
	// recordVersion is incremented with each change of a record, except for changes of settings versions.
	recordVersion uint64
}

// newTable returns a table that holds only this host's own record.
func newTable(self wire.Member, now time.Time) *table {
	t := &table{rows: map[string]*row{}}
	t.put(self, now)
	return t
}

// put stores a record in place of an older one of the same host.
func (t *table) put(m wire.Member, now time.Time) *row {
	old := t.rows[m.Name]
	if old != nil {
		t.digest ^= digestOf(&old.member)
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
	t.digest ^= digestOf(&m)
	t.recordVersion++
	return r
}

// remove deletes a host's row.
func (t *table) remove(name string) {
	if r := t.rows[name]; r != nil {
		t.digest ^= digestOf(&r.member)
		delete(t.rows, name)
		t.recordVersion++
	}
}

// isLive reports whether a host may be given work according to its own data centre.
func isLive(m *wire.Member) bool {
	return m.State == wire.Alive || m.State == wire.Suspect
}

// digestOf returns a live host's contribution to the digest; suspicions, settings versions and dead hosts don't contribute, because they change and expire at different times on each host.
func digestOf(m *wire.Member) uint64 {
	if !isLive(m) {
		return 0
	}
	return xxhash.Sum64String(m.Name + "\x00" + strconv.FormatUint(m.Incarnation, 16))
}

// removeExpired removes records of dead hosts whose retention time has passed.
func (t *table) removeExpired(now time.Time) {
	for name, r := range t.rows {
		if r.member.State != wire.Dead {
			continue
		}
		retention := silentDeadRetention
		if r.member.Proof {
			retention = provenDeadRetention
		}
		if now.Sub(r.member.Since) > retention {
			t.remove(name)
		}
	}
}

// filter returns the members for which match returns true, sorted by name.
func (t *table) filter(match func(*wire.Member) bool) []wire.Member {
	var matching []wire.Member
	for _, r := range t.rows {
		if match(&r.member) {
			matching = append(matching, r.member)
		}
	}
	slices.SortFunc(matching, func(a, b wire.Member) int { return cmp.Compare(a.Name, b.Name) })
	return matching
}

// rankByRendezvous sorts members by rendezvous weight for a key, highest first; each host gets the same order for the same members.
func rankByRendezvous(members []wire.Member, key string) []wire.Member {
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

// SelectByRendezvous returns the n live members of a data centre with the highest rendezvous weight for a key.
func SelectByRendezvous(members map[string]wire.Member, datacentre, key string, n int) []wire.Member {
	var candidates []wire.Member
	for _, m := range members {
		if m.Datacentre == datacentre && isLive(&m) {
			candidates = append(candidates, m)
		}
	}
	ranked := rankByRendezvous(candidates, key)
	return ranked[:min(n, len(ranked))]
}

// Bridges returns the hosts of a data centre that exchange records with another one.
func Bridges(members map[string]wire.Member, datacentre, other string) []wire.Member {
	return SelectByRendezvous(members, datacentre, pairKey(datacentre, other), bridgesPerPair)
}
