package tree

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Op sets one key at one level, or removes it where After is absent.
type Op struct {
	Path Path   `json:"path"`
	Key  string `json:"key"`
	// Before is the value at this level when the change was made, absent where there was none.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Change is one accepted change: an entry of the log and of the audit trail.
type Change struct {
	// N is the change's number; the log has no gaps.
	N uint64 `json:"n"`
	// ID is chosen at random by the client, which tells its own change from another's by it.
	ID string `json:"id"`
	// Prev is the id of the change before, so that a change never lands on another history than its author saw.
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

// Apply returns the tree with the change in it; it fails where the change isn't the next one or doesn't pass the checks.
func (t *Tree) Apply(c Change) (*Tree, error) {
	if c.N != t.N+1 {
		return nil, fmt.Errorf("change %d doesn't follow change %d", c.N, t.N)
	}
	if c.Prev != "" && c.Prev != t.Last {
		return nil, fmt.Errorf("change %d follows change %s, not %s", c.N, c.Prev, t.Last)
	}
	next := t.clone()
	next.N, next.Last = c.N, c.ID
	for _, o := range c.Ops {
		next.set(o)
	}
	if problems := next.checkChange(t, c.Ops); len(problems) > 0 {
		return nil, joinProblems(problems)
	}
	return next, nil
}

// set replaces the level that the operation is for, as the tree before shares it.
func (t *Tree) set(o Op) {
	l := maps.Clone(t.levels[o.Path])
	if l == nil {
		l = Level{}
	}
	if o.After == nil {
		delete(l, o.Key)
	} else {
		l[o.Key] = o.After
	}
	before := len(t.levels)
	t.levels[o.Path] = l
	if len(l) == 0 {
		delete(t.levels, o.Path)
	}
	if len(t.levels) != before {
		t.root.Store(nil)
	}
}

// together are the settings that may contradict another one, at their own level or below.
var together = []string{"deadline", "longest", "prefer", "tail", "out"}

// checkChange finds what Check would find, given that the tree before the operations passed: only what they touch is looked at.
func (t *Tree) checkChange(before *Tree, ops []Op) []Problem {
	organisation := before.Organisation()
	touched, inherited := map[Path]bool{}, map[Path]bool{}
	for _, o := range ops {
		if organisation == "" || o.Path.Levels()[0] != Path(organisation) {
			return t.Check()
		}
		touched[o.Path] = true
		if slices.Contains(together, o.Key) {
			inherited[o.Path] = true
		}
	}
	var all []Problem
	for _, p := range slices.Sorted(maps.Keys(touched)) {
		if len(t.levels[p]) > 0 {
			all = append(all, t.checkLevel(p)...)
		}
	}
	if len(all) > 0 || len(inherited) == 0 {
		return all
	}
	for _, p := range t.Paths() {
		if slices.ContainsFunc(p.Levels(), func(l Path) bool { return inherited[l] }) {
			all = append(all, t.checkTogether(p)...)
		}
	}
	return all
}

func joinProblems(problems []Problem) error {
	all := make([]error, 0, len(problems))
	for _, p := range problems {
		all = append(all, p)
	}
	return errors.Join(all...)
}
