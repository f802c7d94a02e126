package spread

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"

	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
)

// Writer appends changes to the log for an operator.
type Writer struct {
	clock *timer.Service
	store *store.Client
}

// NewWriter returns a writer for the store's log.
func NewWriter(clock *timer.Service, s *store.Client) *Writer {
	return &Writer{clock: clock, store: s}
}

// Read returns the changes after number n in order and the tree with all of them in it; t is the tree at n.
func (w *Writer) Read(ctx context.Context, t *tree.Tree) (*tree.Tree, []tree.Change, error) {
	var changes []tree.Change
	for {
		found, err := w.store.List(ctx, Log, LogKey(t.N), page)
		if err != nil {
			return nil, nil, err
		}
		if len(found.Entries) == 0 {
			return t, changes, nil
		}
		for _, e := range found.Entries {
			var c tree.Change
			if err := json.Unmarshal(e.Value, &c); err != nil {
				return nil, nil, eris.Wrapf(err, "change %s", e.Key)
			}
			if t, err = t.Apply(c); err != nil {
				return nil, nil, eris.Wrapf(err, "apply %s", e.Key)
			}
			changes = append(changes, c)
		}
	}
}

// Proposal is what an operator wants to change.
type Proposal struct {
	Author string
	Reason string
	Ops    []tree.Op
}

// Append adds a change after the tree t; it fails with fault.Conflict where another operator's change came first.
func (w *Writer) Append(ctx context.Context, t *tree.Tree, p Proposal) (tree.Change, error) {
	c := tree.Change{
		N:      t.N + 1,
		ID:     rand.Text(),
		Author: p.Author,
		Reason: p.Reason,
		Time:   w.clock.Now().UTC(),
		Ops:    p.Ops,
	}
	if _, err := t.Apply(c); err != nil {
		return c, fault.New(fault.Invalid, "%v", err)
	}
	value, err := json.Marshal(c)
	if err != nil {
		return c, eris.Wrap(err, "encode change")
	}
	_, err = w.store.Put(ctx, LogKey(c.N), store.Write{Value: value})
	if err == nil {
		return c, nil
	}
	return c, w.settle(ctx, c, err)
}

// settle finds out whether a change took effect whose reply was lost or a conflict: a retry inside the platform may have met our own write.
func (w *Writer) settle(ctx context.Context, c tree.Change, cause error) error {
	e, found, err := w.store.Get(ctx, LogKey(c.N))
	switch {
	case err != nil:
		return fault.New(fault.Store, "it is not known whether change %s took effect (%v): look it up with settings history", c.ID, cause)
	case !found:
		return cause
	}
	var stands tree.Change
	if err := json.Unmarshal(e.Value, &stands); err != nil {
		return eris.Wrapf(err, "change %s", e.Key)
	}
	if stands.ID == c.ID {
		return nil
	}
	return fault.New(fault.Conflict, "%s changed the settings first (change %d: %s)", stands.Author, stands.N, stands.Reason)
}
