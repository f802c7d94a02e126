package spread

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/units"
)

const (
	// settleTries is the number of times that a change is put and read back before its fate is called unknown.
	settleTries = 6
	// settleFirst and settleLast bound the wait between two tries.
	settleFirst = 50 * time.Millisecond
	settleLast  = 800 * time.Millisecond
)

// Writer appends changes to the log for an operator.
type Writer struct {
	clock *timer.Service
	get   func(ctx context.Context, key string) (store.Entry, bool, error)
	put   func(ctx context.Context, key string, w store.Write) (uint64, error)
	list  func(ctx context.Context, prefix, after string, limit int) (store.Page, error)
	sleep func(context.Context, time.Duration) error
	// certain says whether a read-back that finds no change proves that it took no effect.
	certain bool
}

// NewWriter returns a writer for the store's log.
func NewWriter(clock *timer.Service, s *store.Client) *Writer {
	return &Writer{
		clock: clock,
		get:   s.Get,
		put:   s.Put,
		list:  s.List,
		sleep: clock.Sleep,
	}
}

// ConflictError says that another operator's change has the number that a change was meant for, which took no effect; it is of kind fault.Conflict.
type ConflictError struct {
	// Won is the change that stands under the number: what the other operator did.
	Won tree.Change
}

// Error names the other change and its author.
func (e *ConflictError) Error() string {
	return e.Unwrap().Error()
}

// Unwrap returns the error's kind.
func (e *ConflictError) Unwrap() error {
	return fault.New(fault.Conflict, "%s changed the settings first (change %d: %s)", e.Won.Author, e.Won.N, e.Won.Reason)
}

// UnsettledError says that it is not known whether a change took effect; it is of kind fault.Unknown.
type UnsettledError struct {
	// Change is the change, to be looked up by its id.
	Change tree.Change
	// Err is the last failure.
	Err error
}

// Error says how to find out.
func (e *UnsettledError) Error() string {
	return e.Unwrap().Error()
}

// Unwrap returns the error's kind.
func (e *UnsettledError) Unwrap() error {
	return fault.New(fault.Unknown, "it is not known whether change %d took effect: look for id %s with settings history (%v)", e.Change.N, e.Change.ID, e.Err)
}

// Read returns the changes after number n in order and the tree with all of them in it; t is the tree at n.
func (w *Writer) Read(ctx context.Context, t *tree.Tree) (*tree.Tree, []tree.Change, error) {
	var changes []tree.Change
	for {
		found, err := w.list(ctx, Log, LogKey(t.N), page)
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

// Latest returns the newest tree, from the last snapshot and the changes after it.
func (w *Writer) Latest(ctx context.Context) (*tree.Tree, error) {
	t := tree.Empty()
	e, found, err := w.get(ctx, Snapshot)
	if err != nil {
		return nil, err
	}
	if found {
		if t, err = tree.Decode(e.Value); err != nil {
			return nil, eris.Wrap(err, "decode snapshot")
		}
	}
	t, _, err = w.Read(ctx, t)
	return t, err
}

// History returns up to limit changes after number n in order.
func (w *Writer) History(ctx context.Context, n uint64, limit int) ([]tree.Change, error) {
	found, err := w.list(ctx, Log, LogKey(n), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]tree.Change, 0, len(found.Entries))
	for _, e := range found.Entries {
		var c tree.Change
		if err := json.Unmarshal(e.Value, &c); err != nil {
			return nil, eris.Wrapf(err, "change %s", e.Key)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Proposal is what an operator wants to change.
type Proposal struct {
	Author string
	Reason string
	Ops    []tree.Op
}

// Append adds a change after the tree t; it fails with a ConflictError where another operator's change came first and with an UnsettledError where the change's fate can't be found out, and in each other case the change took no effect.
func (w *Writer) Append(ctx context.Context, t *tree.Tree, p Proposal) (tree.Change, error) {
	c := tree.Change{
		N:      t.N + 1,
		ID:     rand.Text(),
		Prev:   t.Last,
		Author: p.Author,
		Reason: p.Reason,
		Time:   w.clock.Now().UTC(),
		Ops:    p.Ops,
	}
	next, err := t.Apply(c)
	if err != nil {
		return c, fault.New(fault.Invalid, "%v", err)
	}
	value, err := json.Marshal(c)
	if err != nil {
		return c, eris.Wrap(err, "encode change")
	}
	whole, err := next.Encode()
	if err != nil {
		return c, eris.Wrap(err, "encode tree")
	}
	for _, b := range [][]byte{value, whole} {
		if units.Size(len(b)) > store.MaxValue {
			return c, fault.New(fault.TooLarge, "the settings would have %s, the store holds %s: make them smaller", units.Size(len(b)), store.MaxValue)
		}
	}
	if err := w.settle(ctx, c, value); err != nil {
		return c, err
	}
	if c.N%snapshotEvery == 0 {
		w.keepSnapshot(ctx, c.N, whole)
	}
	return c, nil
}

// settle puts the change until its fate is certain: the key is only ever created once, so a repeat of the same write is harmless, and whatever stands under the key is the verdict. That a read shows nothing is none: the replica may lag, and a write may still be under way.
func (w *Writer) settle(ctx context.Context, c tree.Change, value []byte) error {
	var last error
	unsent := true
	wait := settleFirst
	for range settleTries {
		_, err := w.put(ctx, LogKey(c.N), store.Write{Value: value})
		if err == nil {
			return nil
		}
		last = err
		unsent = unsent && fault.Is(err, fault.Store) && fault.Of(err).NotRun()
		if known, verdict := w.readBack(ctx, c); known {
			return verdict
		}
		if w.certain {
			return err
		}
		if w.sleep(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, settleLast)
	}
	if unsent {
		return last
	}
	return &UnsettledError{Change: c, Err: last}
}

// readBack looks at what stands under the change's number; known is false where the read shows nothing.
func (w *Writer) readBack(ctx context.Context, c tree.Change) (known bool, verdict error) {
	e, found, err := w.get(ctx, LogKey(c.N))
	if err != nil || !found {
		return false, nil
	}
	var stands tree.Change
	if err := json.Unmarshal(e.Value, &stands); err != nil {
		return true, eris.Wrapf(err, "change %s", e.Key)
	}
	if stands.ID == c.ID {
		return true, nil
	}
	return true, &ConflictError{Won: stands}
}

// keepSnapshot puts the whole tree into the store, so that fresh hosts need few reads; where it fails, the next one will do.
func (w *Writer) keepSnapshot(ctx context.Context, n uint64, whole []byte) {
	e, found, err := w.get(ctx, Snapshot)
	if err != nil {
		return
	}
	if found {
		if old, err := tree.Decode(e.Value); err == nil && old.N >= n {
			return
		}
	}
	// A conflict means that another operator's snapshot came first, and any snapshot will do.
	_, _ = w.put(ctx, Snapshot, store.Write{Value: whole, Expect: e.Revision})
}
