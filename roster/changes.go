package roster

// Changes lead from one view to a later one.
type Changes struct {
	// From and To are the sums of the two views.
	From, To uint64
	// Changed are the targets that are new or whose entry is another, Gone the ids of those that are no longer there.
	Changed []Target
	Gone    []string
	// Revision is the store's revision of the later view.
	Revision uint64
}

// Since returns the changes from an earlier view.
func (v *View) Since(old *View) Changes {
	c := Changes{From: old.Sum, To: v.Sum, Revision: v.Revision}
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
	gone := map[string]bool{}
	for _, id := range c.Gone {
		gone[id] = true
	}
	for _, t := range c.Changed {
		gone[t.ID] = true
	}
	p := Page{Revision: c.Revision}
	for _, t := range v.Page().Targets {
		if !gone[t.ID] {
			p.Targets = append(p.Targets, t)
		}
	}
	p.Targets = append(p.Targets, c.Changed...)
	return p, true
}
