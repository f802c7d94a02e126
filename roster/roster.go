package roster

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is the description of a target from its entry in the platform's store.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	Datacentre string
	Region     string
	// Slots is the number of requests that the target processes at once.
	Slots int
	// Draining is set once the target is to get no new work because it is leaving.
	Draining bool
	// Cold is how much longer the target expected to stay cold when it wrote its entry; zero means warm.
	Cold time.Duration
	// Born is when the target's process started, zero where unknown.
	Born time.Time
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Listing is a complete listing of the targets in the store.
type Listing struct {
	Targets []Target
	// Revision is the store's revision that the listing shows; it may be older than the store's latest.
	Revision uint64
	// Unreadable is the number of entries that were left out because they can't be decoded.
	Unreadable int
}

// Entry is a target with the state that this host keeps about it.
type Entry struct {
	Target
	// ColdUntil is when the target is expected to be warm.
	ColdUntil time.Time
	// MissingSince is the time since which the entry is missing from the store, zero while it exists.
	MissingSince time.Time
}

// View is an immutable state of the roster.
type View struct {
	// Entries holds all targets by id.
	Entries map[string]*Entry
	// Services holds the targets by service that may get work: all but the draining ones.
	Services map[string][]*Entry
	// Revision is the store's revision of the last reading.
	Revision uint64
	// ReadAt is the time of the last reading, zero before the first.
	ReadAt time.Time
	// Hash is a hash of the targets' ids and revisions, the same for views with the same targets in the same state.
	Hash uint64
	// missingCount is the number of targets that are kept although their entries are missing from the store.
	missingCount int
}

// Listing returns a listing of the view's targets.
func (v *View) Listing() Listing {
	p := Listing{Revision: v.Revision}
	for _, id := range slices.Sorted(maps.Keys(v.Entries)) {
		p.Targets = append(p.Targets, v.Entries[id].Target)
	}
	return p
}

// Empty returns a view without targets.
func Empty() *View {
	return &View{Entries: map[string]*Entry{}, Services: map[string][]*Entry{}}
}

// OutageGrace is how long after an outage of the store entries that expired during it are still expected to come back. The platform promises this within about two seconds.
const OutageGrace = 2500 * time.Millisecond

// Merge returns the view after a complete reading of the store; recoveredAt is when the store became reachable again after an outage, zero if there was none.
//
// It returns nil if the reading is older than the last one.
func (v *View) Merge(p Listing, now, recoveredAt time.Time) *View {
	if p.Revision < v.Revision {
		return nil
	}
	next := &View{
		Entries:  make(map[string]*Entry, len(p.Targets)),
		Services: make(map[string][]*Entry, len(v.Services)),
		Revision: p.Revision,
		ReadAt:   now,
	}
	for _, t := range p.Targets {
		next.Entries[t.ID] = v.entryFor(t, now)
	}
	// Entries that expired during an outage are written again within the grace period, so their targets stay in use until then.
	if !recoveredAt.IsZero() && now.Sub(recoveredAt) < OutageGrace {
		for id, e := range v.Entries {
			if next.Entries[id] == nil && !e.Draining {
				kept := *e
				if kept.MissingSince.IsZero() {
					kept.MissingSince = now
				}
				next.Entries[id] = &kept
				next.missingCount++
			}
		}
	}
	sum := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(next.Entries)) {
		e := next.Entries[id]
		if !e.Draining {
			next.Services[e.Service] = append(next.Services[e.Service], e)
		}
		// Writing to a hash can't fail.
		_, _ = fmt.Fprintf(sum, "%s/%d/", id, e.Revision)
	}
	next.Hash = sum.Sum64()
	return next
}

// entryFor returns the entry of a listed target: the existing one if it is unchanged, so that ColdUntil stays, or else a new one.
func (v *View) entryFor(t Target, now time.Time) *Entry {
	old := v.Entries[t.ID]
	if old != nil && old.Revision == t.Revision && old.MissingSince.IsZero() {
		return old
	}
	e := &Entry{Target: t}
	if t.Cold > 0 {
		e.ColdUntil = now.Add(t.Cold)
	}
	return e
}
