package roster

import (
	"slices"
	"time"
)

// Update is the set of changes since a revision of the store.
type Update struct {
	// Changed holds the targets that are new or whose entry has changed, Gone the ids of those that were deleted.
	Changed []Target
	Gone    []string
	// Revision is the store's revision after the changes, Epoch the store's epoch.
	Revision uint64
	Epoch    uint64
}

// Changes is the difference between two views.
type Changes struct {
	// From and To are the hashes of the earlier and the later view.
	From, To uint64
	Update
}

// ChangesSince returns the changes that lead from an older view to this one.
func (v *View) ChangesSince(old *View) Changes {
	c := Changes{
		From: old.Hash,
		To:   v.Hash,
		Update: Update{
			Epoch:    v.Epoch,
			Revision: v.Revision,
		},
	}
	for _, t := range v.targets() {
		if before := old.Entries[t.ID]; before == nil || before.Revision != t.Revision {
			c.Changed = append(c.Changed, t)
		}
	}
	for id := range old.Entries {
		if v.Entries[id] == nil {
			c.Gone = append(c.Gone, id)
		}
	}
	return c
}

// Apply returns the listing that results from applying changes to this view. It returns false if they start from another view.
func (v *View) Apply(c Changes) (Listing, bool) {
	if v.Hash != c.From {
		return Listing{}, false
	}
	return c.Update.applyTo(v.targets()), true
}

// Update returns the view after an update, or nil if the view is newer or from another epoch; recoveredAt has the same meaning as for Merge.
func (v *View) Update(u Update, now, recoveredAt time.Time) *View {
	if u.Epoch != v.Epoch {
		return nil
	}
	if len(u.Changed)+len(u.Gone) > 0 || v.missingCount > 0 || u.Revision < v.Revision {
		return v.Merge(v.ListingAfter(u), now, recoveredAt)
	}
	next := *v
	next.Revision, next.ReadAt = u.Revision, now
	return &next
}

// ListingAfter returns the listing that results from an update. It leaves out targets whose entries are missing from the store.
func (v *View) ListingAfter(u Update) Listing {
	present := slices.DeleteFunc(v.targets(), func(t Target) bool { return !v.Entries[t.ID].MissingSince.IsZero() })
	return u.applyTo(present)
}

// applyTo returns the listing that results from applying the update to some targets.
func (u Update) applyTo(targets []Target) Listing {
	replaced := map[string]bool{}
	for _, id := range u.Gone {
		replaced[id] = true
	}
	for _, t := range u.Changed {
		replaced[t.ID] = true
	}
	kept := slices.DeleteFunc(targets, func(t Target) bool { return replaced[t.ID] })
	return Listing{
		Targets:  append(kept, u.Changed...),
		Epoch:    u.Epoch,
		Revision: u.Revision,
	}
}
