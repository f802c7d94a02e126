package roster

import (
	"slices"
	"time"
)

// Update is what has changed since a revision of the store.
type Update struct {
	// Changed are the targets that are new or whose entry is another, Gone the ids of those that are no longer there.
	Changed []Target
	Gone    []string
	// Revision is the store's revision that the changes lead to.
	Revision uint64
}

// Changes lead from one view to a later one.
type Changes struct {
	// From and To are the sums of the two views.
	From, To uint64
	Update
}

// Since returns the changes from an earlier view.
func (v *View) Since(old *View) Changes {
	c := Changes{
		From:   old.Sum,
		To:     v.Sum,
		Update: Update{Revision: v.Revision},
	}
	for _, t := range v.Page().Targets {
		if was := old.Entries[t.ID]; was == nil || was.Revision != t.Revision {
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

// Apply returns the reading that changes lead to from this view, and false where they start from another one.
func (v *View) Apply(c Changes) (Page, bool) {
	if v.Sum != c.From {
		return Page{}, false
	}
	return c.Update.on(v.Page().Targets), true
}

// Update returns the view after an update, nil where the view is newer; returned is as for Merge.
func (v *View) Update(u Update, now, returned time.Time) *View {
	if len(u.Changed)+len(u.Gone) > 0 || v.missing > 0 || u.Revision < v.Revision {
		return v.Merge(v.After(u), now, returned)
	}
	next := *v
	next.Revision, next.Read = u.Revision, now
	return &next
}

// After returns the reading that an update leads to; targets that are missing from the store aren't in it.
func (v *View) After(u Update) Page {
	present := slices.DeleteFunc(v.Page().Targets, func(t Target) bool { return !v.Entries[t.ID].Absent.IsZero() })
	return u.on(present)
}

// on returns the reading that the update of some targets leads to.
func (u Update) on(targets []Target) Page {
	replaced := map[string]bool{}
	for _, id := range u.Gone {
		replaced[id] = true
	}
	for _, t := range u.Changed {
		replaced[t.ID] = true
	}
	kept := slices.DeleteFunc(targets, func(t Target) bool { return replaced[t.ID] })
	return Page{
		Targets:  append(kept, u.Changed...),
		Revision: u.Revision,
	}
}
