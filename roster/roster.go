package roster

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one target as its entry in the platform's store describes it.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	Datacentre string
	Region     string
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Draining says that the target is leaving.
	Draining bool
	// Cold is how much longer the target said it stays cold when it wrote its entry; zero means warm.
	Cold time.Duration
	// Born is the time at which the target's process started, zero where it isn't told.
	Born time.Time
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Page is a whole reading of the entries; targets whose entries can't be read are left out.
type Page struct {
	Targets []Target
	// Revision is the store's revision at the reading, which may lag.
	Revision uint64
	// Unreadable is the number of entries that were left out.
	Unreadable int
}

// Entry is a target with what this host keeps about it.
type Entry struct {
	Target
	// ColdUntil is the time until which the target is cold.
	ColdUntil time.Time
	// Absent is the time since which the entry is missing from the store, zero where it stands there.
	Absent time.Time
}

// View is one state of the roster; it isn't changed once it is published.
type View struct {
	// Entries holds all targets by id.
	Entries map[string]*Entry
	// Services holds the targets of each service that may get work.
	Services map[string][]*Entry
	// Revision is the store's revision of the last reading.
	Revision uint64
	// Read is the time of the last reading, zero before the first.
	Read time.Time
	// Sum is shared by views with the same targets in the same state.
	Sum uint64
	// missing is the number of entries that are missing from the store.
	missing int
}

// Page returns the view's targets as a reading.
func (v *View) Page() Page {
	p := Page{Revision: v.Revision}
	for _, id := range slices.Sorted(maps.Keys(v.Entries)) {
		p.Targets = append(p.Targets, v.Entries[id].Target)
	}
	return p
}

// Empty returns a view without targets.
func Empty() *View {
	return &View{Entries: map[string]*Entry{}, Services: map[string][]*Entry{}}
}

// ReturnGrace is the time in which entries that lapsed during an outage of the store are back after it; the platform states about two seconds.
const ReturnGrace = 2500 * time.Millisecond

// Merge returns the view after a reading of the store; returned is the time at which the store was reached again after an outage, and zero if there was none.
//
// A reading that is older than the last one changes nothing.
func (v *View) Merge(p Page, now, returned time.Time) *View {
	if p.Revision < v.Revision {
		return nil
	}
	next := &View{
		Entries:  make(map[string]*Entry, len(p.Targets)),
		Services: make(map[string][]*Entry, len(v.Services)),
		Revision: p.Revision,
		Read:     now,
	}
	for _, t := range p.Targets {
		next.Entries[t.ID] = v.entry(t, now)
	}
	// Entries that lapsed while the store was away come back within the grace, so their targets go on until then.
	if !returned.IsZero() && now.Sub(returned) < ReturnGrace {
		for id, e := range v.Entries {
			if next.Entries[id] == nil && !e.Draining {
				kept := *e
				if kept.Absent.IsZero() {
					kept.Absent = now
				}
				next.Entries[id] = &kept
				next.missing++
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
	next.Sum = sum.Sum64()
	return next
}

func (v *View) entry(t Target, now time.Time) *Entry {
	old := v.Entries[t.ID]
	if old != nil && old.Revision == t.Revision && old.Absent.IsZero() {
		return old
	}
	e := &Entry{Target: t}
	if t.Cold > 0 {
		e.ColdUntil = now.Add(t.Cold)
	}
	return e
}
