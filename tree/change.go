package tree

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Op sets one key at one level, or removes it if After is absent.
type Op struct {
	Path Path   `json:"path"`
	Key  string `json:"key"`
	// Before is the value at this level when the change was made, absent if the key was not set there.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Change is one accepted change of the settings: an entry of the change log and of the audit trail.
type Change struct {
	// N is the sequence number of the change; the log has no gaps.
	N uint64 `json:"n"`
	// ID is chosen at random by the client, so that it can tell its own change from one that another client wrote under the same number.
	ID string `json:"id"`
	// Prev is the ID of the preceding change, so that a change never applies to a history that its author didn't see.
	Prev   string    `json:"prev,omitempty"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"`
	Ops    []Op      `json:"ops"`
}

// UnmarshalJSON decodes a change and checks that it is complete.
func (c *Change) UnmarshalJSON(b []byte) error {
	type plain Change
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*c = Change(p)
	if c.N == 0 || c.ID == "" || c.Author == "" || c.Reason == "" {
		return fmt.Errorf("change %d: n, id, author and reason must be given", c.N)
	}
	return nil
}

// Apply returns a new tree with the change applied; it fails if the change isn't the next one in the log or the result doesn't pass the checks.
func (t *Tree) Apply(c Change) (*Tree, error) {
	if c.N != t.ChangeNumber+1 {
		return nil, fmt.Errorf("change %d doesn't follow change %d", c.N, t.ChangeNumber)
	}
	if c.Prev != "" && c.Prev != t.LastChangeID {
		return nil, fmt.Errorf("change %d follows change %s, not %s", c.N, c.Prev, t.LastChangeID)
	}
	next := t.clone()
	next.ChangeNumber, next.LastChangeID = c.N, c.ID
	for _, o := range c.Ops {
		next.applyOp(o)
	}
	if problems := next.checkChange(t, c.Ops); len(problems) > 0 {
		return nil, joinErrors(problems)
	}
	return next, nil
}

// applyOp applies one operation to a copy of its level, because the preceding tree shares the original.
func (t *Tree) applyOp(o Op) {
	l := maps.Clone(t.levels[o.Path])
	if l == nil {
		l = Level{}
	}
	if o.After == nil {
		delete(l, o.Key)
	} else {
		l[o.Key] = o.After
	}
	countBefore := len(t.levels)
	t.levels[o.Path] = l
	if len(l) == 0 {
		delete(t.levels, o.Path)
	}
	if len(t.levels) != countBefore {
		t.organisation.Store(nil)
	}
}

// interdependentKeys are the settings that checkCombination looks at: they may conflict with another setting, at their own level or below, or with the level itself.
var interdependentKeys = []string{"deadline", "longest", "prefer", "tail", "out"}

// checkChange returns what Check would return, provided that the tree before the operations passed the checks: it only looks at the levels that the operations affect.
func (t *Tree) checkChange(before *Tree, ops []Op) []Problem {
	organisation := before.Organisation()
	changed, recheckBelow := map[Path]bool{}, map[Path]bool{}
	for _, o := range ops {
		if organisation == "" || o.Path.Levels()[0] != Path(organisation) {
			return t.Check()
		}
		changed[o.Path] = true
		if slices.Contains(interdependentKeys, o.Key) {
			recheckBelow[o.Path] = true
		}
	}
	var problems []Problem
	for _, p := range slices.Sorted(maps.Keys(changed)) {
		if len(t.levels[p]) > 0 {
			problems = append(problems, t.checkLevel(p)...)
		}
	}
	if len(problems) > 0 || len(recheckBelow) == 0 {
		return problems
	}
	for _, p := range t.Paths() {
		if slices.ContainsFunc(p.Levels(), func(l Path) bool { return recheckBelow[l] }) {
			problems = append(problems, t.checkCombination(p)...)
		}
	}
	return problems
}

// joinErrors returns an error that joins all problems.
func joinErrors(problems []Problem) error {
	errs := make([]error, 0, len(problems))
	for _, p := range problems {
		errs = append(errs, p)
	}
	return errors.Join(errs...)
}
