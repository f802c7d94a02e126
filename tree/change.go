package tree

import (
	"encoding/json"
	"errors"
	"fmt"
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
	if problems := next.Check(); len(problems) > 0 {
		return nil, joinProblems(problems)
	}
	return next, nil
}

func (t *Tree) set(o Op) {
	if o.After == nil {
		delete(t.levels[o.Path], o.Key)
		if len(t.levels[o.Path]) == 0 {
			delete(t.levels, o.Path)
		}
		return
	}
	if t.levels[o.Path] == nil {
		t.levels[o.Path] = Level{}
	}
	t.levels[o.Path][o.Key] = o.After
}

func joinProblems(problems []Problem) error {
	all := make([]error, 0, len(problems))
	for _, p := range problems {
		all = append(all, p)
	}
	return errors.Join(all...)
}
