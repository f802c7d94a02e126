package roster

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/epoch"
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

const (
	// maxNameBytes limits the id, service and data centre of a target; the platform's keys have at most 200 bytes.
	maxNameBytes = 200
	// maxSlots is far above the number of requests that one process can work on at once.
	maxSlots = 1 << 16
	// maxCold is far above the time of a cold start.
	maxCold = time.Hour
	// maxBornSeconds is the end of the year 9999 as a Unix time, after which a time has no standard text form.
	maxBornSeconds = 253402300799
)

// Validate reports the first field whose value no target can have: the entry was written by another program, or is damaged. Missing fields are not reported.
func (t *Target) Validate() error {
	address := t.Address.Addr()
	switch {
	case !isHeaderValue(t.ID):
		return fmt.Errorf("id %.40q is not a name", t.ID)
	case len(t.Service) > maxNameBytes:
		return fmt.Errorf("service %.40q has %d bytes, at most %d are used", t.Service, len(t.Service), maxNameBytes)
	case len(t.Datacentre) > maxNameBytes:
		return fmt.Errorf("data centre %.40q has %d bytes, at most %d are used", t.Datacentre, len(t.Datacentre), maxNameBytes)
	case address.IsUnspecified() || address.IsMulticast() || address.Zone() != "" || address == broadcast:
		return fmt.Errorf("address %.60q is not that of one target", t.Address)
	case t.Slots > maxSlots:
		return fmt.Errorf("number of slots %d is above %d", t.Slots, maxSlots)
	case t.Cold > maxCold:
		return fmt.Errorf("time %s left of the cold start is above %s", t.Cold, maxCold)
	case t.Born.Unix() > maxBornSeconds:
		return fmt.Errorf("start time %d s is after the year 9999", t.Born.Unix())
	}
	return nil
}

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// isHeaderValue reports whether a name has 1 to maxNameBytes bytes, all of them visible ASCII characters, so that it can stand in a header.
func isHeaderValue(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

// EntryError reports an entry that can't be used.
type EntryError struct {
	// Key names the entry, Revision is the store's revision at which it was written.
	Key      string
	Revision uint64
	Err      error
}

// maxCauseBytes limits the text of a cause, which may quote the entry.
const maxCauseBytes = 160

// Error returns the key, the revision and the start of the cause.
func (e *EntryError) Error() string {
	cause := e.Err.Error()
	return fmt.Sprintf("entry %.60q at revision %d: %s", e.Key, e.Revision, cause[:min(len(cause), maxCauseBytes)])
}

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

// Listing is a complete listing of the targets in the store.
type Listing struct {
	Targets []Target
	// Revision is the store's revision that the listing shows, Epoch the store's epoch; the revision may be older than the store's latest.
	Revision uint64
	Epoch    uint64
	// Missing holds, for the listed targets that are kept although their entries are missing from the store, how long these have been missing.
	Missing map[string]time.Duration
	// Unreadable is the number of entries that were left out because they can't be decoded.
	Unreadable int
}

// At returns the state of the store that the listing shows.
func (l *Listing) At() epoch.Revision {
	return epoch.Revision{Epoch: l.Epoch, Number: l.Revision}
}

// Entry is a target with the state that this host keeps about it.
type Entry struct {
	Target
	// ColdUntil is when the target is expected to be warm.
	ColdUntil time.Time
	// MissingSince is the time since which the entry is missing from the store, zero while it exists.
	MissingSince time.Time
}

// Process returns the process of the target that the entry describes.
func (t *Target) Process() Process {
	return Process{
		ID:   t.ID,
		Born: t.Born,
	}
}

// View is an immutable state of the roster.
type View struct {
	// Entries holds all targets by id.
	Entries map[string]*Entry
	// Services holds the targets by service that may get work: all but the draining ones.
	Services map[string][]*Entry
	// Revision is the store's revision of the last reading, Epoch the store's epoch.
	Revision uint64
	Epoch    uint64
	// ReadAt is the time of the last reading, zero before the first.
	ReadAt time.Time
	// Hash is a hash of the targets' ids and revisions, the same for views with the same targets in the same state.
	Hash uint64
	// missingCount is the number of targets that are kept although their entries are missing from the store.
	missingCount int
	// removed holds the targets whose entries were removed lately.
	removed map[string]removedTarget
}

// removedTarget is the process of a target whose entry was removed from the store.
type removedTarget struct {
	born time.Time
	at   time.Time
}

// removedRetention is how long removed targets are remembered: longer than a copy from which the store is restored is old.
const removedRetention = 10 * time.Minute

// At returns the state of the store that the view shows.
func (v *View) At() epoch.Revision {
	return epoch.Revision{Epoch: v.Epoch, Number: v.Revision}
}

// HasMissing reports whether the view keeps targets whose entries are missing from the store.
func (v *View) HasMissing() bool {
	return v.missingCount > 0
}

// targets returns the view's targets in the order of their ids.
func (v *View) targets() []Target {
	var all []Target
	for _, id := range slices.Sorted(maps.Keys(v.Entries)) {
		all = append(all, v.Entries[id].Target)
	}
	return all
}

// Listing returns a listing of the view's targets as of a time.
func (v *View) Listing(now time.Time) Listing {
	p := Listing{
		Epoch:    v.Epoch,
		Revision: v.Revision,
		Targets:  v.targets(),
		Missing:  map[string]time.Duration{},
	}
	for id, e := range v.Entries {
		if !e.MissingSince.IsZero() {
			p.Missing[id] = now.Sub(e.MissingSince)
		}
	}
	return p
}

// Empty returns a view without targets.
func Empty() *View {
	return &View{Entries: map[string]*Entry{}, Services: map[string][]*Entry{}}
}

// OutageGrace is how long after an outage of the store entries that expired during it are still expected to come back. The platform promises this within about two seconds.
const OutageGrace = 2500 * time.Millisecond

// Merge returns the view after a complete reading of the store; recoveredAt is when the store became reachable again after an outage or was restored from an older copy, zero if neither has happened.
//
// It returns nil if the reading is older than the last one. In the first reading of a new epoch, targets that were draining or had been removed are draining, whatever the copy shows, until their entries change.
func (v *View) Merge(p Listing, now, recoveredAt time.Time) *View {
	if p.At().Before(v.At()) {
		return nil
	}
	inGrace := !recoveredAt.IsZero() && now.Sub(recoveredAt) < OutageGrace
	next := &View{
		Entries:  make(map[string]*Entry, len(p.Targets)),
		Services: make(map[string][]*Entry, len(v.Services)),
		Revision: p.Revision,
		Epoch:    p.Epoch,
		ReadAt:   now,
	}
	for _, t := range p.Targets {
		if old := v.Entries[t.ID]; inGrace && old != nil && t.Born.Before(old.Born) {
			// The copy shows an earlier process of the target, which will write its entry again.
			continue
		}
		missingFor, missing := p.Missing[t.ID]
		if missing && !v.ReadAt.IsZero() && (v.Entries[t.ID] == nil || v.Entries[t.ID].Draining) {
			// Another host still waits for an entry that this one knows to be gone.
			continue
		}
		if p.Epoch != v.Epoch && v.Epoch != 0 && v.hasLeft(t) {
			t.Draining = true
		}
		e := v.entryFor(t, p.Epoch, now)
		if missing {
			e = e.missingSince(now.Add(-missingFor))
			next.missingCount++
		}
		next.Entries[t.ID] = e
	}
	// Entries that expired during an outage are written again within the grace period, so their targets stay in use until then.
	for id, e := range v.Entries {
		if next.Entries[id] == nil && !e.Draining && (inGrace || (recoveredAt.IsZero() && e.isMissingInGrace(now))) {
			next.Entries[id] = e.missingSince(now)
			next.missingCount++
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
	next.removed = v.removedAfter(next, now)
	return next
}

// isMissingInGrace reports whether another host has told that the entry is missing, and it may still be written again.
func (e *Entry) isMissingInGrace(now time.Time) bool {
	return !e.MissingSince.IsZero() && now.Sub(e.MissingSince) < OutageGrace
}

// missingSince returns the entry, marked as missing from the store since a time unless it was missing before.
func (e *Entry) missingSince(now time.Time) *Entry {
	if !e.MissingSince.IsZero() {
		return e
	}
	missing := *e
	missing.MissingSince = now
	return &missing
}

// hasLeft reports whether a target's process was draining or had been removed in this view.
func (v *View) hasLeft(t Target) bool {
	if old := v.Entries[t.ID]; old != nil {
		return old.Draining && old.Born.Equal(t.Born)
	}
	r, found := v.removed[t.ID]
	return found && r.born.Equal(t.Born)
}

// removedAfter returns the targets removed lately, with those that are in this view and not in the next one.
func (v *View) removedAfter(next *View, now time.Time) map[string]removedTarget {
	removed := map[string]removedTarget{}
	for id, r := range v.removed {
		if next.Entries[id] == nil && now.Sub(r.at) < removedRetention {
			removed[id] = r
		}
	}
	for id, e := range v.Entries {
		if next.Entries[id] == nil {
			removed[id] = removedTarget{born: e.Born, at: now}
		}
	}
	return removed
}

// sameAs reports whether two entries of a target are equal but for their revision.
func (t *Target) sameAs(other *Target) bool {
	a, b := *t, *other
	sameBorn := a.Born.Equal(b.Born)
	a.Revision, a.Born, b.Revision, b.Born = 0, time.Time{}, 0, time.Time{}
	return sameBorn && a == b
}

// entryFor returns the entry of a target listed in an epoch: the existing one if it is unchanged, so that ColdUntil stays, or else a new one.
func (v *View) entryFor(t Target, listedIn uint64, now time.Time) *Entry {
	old := v.Entries[t.ID]
	if old != nil && old.MissingSince.IsZero() {
		switch {
		case listedIn == v.Epoch && old.Revision == t.Revision:
			return old
		case listedIn != v.Epoch && old.sameAs(&t):
			// Revisions of two epochs can't be compared, and a copy states an old time that is left of a cold start.
			return &Entry{
				Target:    t,
				ColdUntil: old.ColdUntil,
			}
		}
	}
	e := &Entry{Target: t}
	if t.Cold > 0 {
		e.ColdUntil = now.Add(t.Cold)
	}
	return e
}
