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
	// maxPutAttempts is the number of times that a change is written and read back before its outcome is reported as unknown.
	maxPutAttempts = 6
	// minPutBackoff and maxPutBackoff are the limits of the wait between two attempts.
	minPutBackoff = 50 * time.Millisecond
	maxPutBackoff = 800 * time.Millisecond
)

// Writer reads the settings log and appends operators' changes to it.
type Writer struct {
	clock *timer.Clock
	get   func(ctx context.Context, key string) (store.Entry, bool, error)
	put   func(ctx context.Context, key string, w store.Write) (uint64, error)
	list  func(ctx context.Context, prefix, after string, limit int) (store.Page, error)
	sleep func(context.Context, time.Duration) error
	// trustEmptyRead makes a read that finds no change count as proof that the write took no effect; only tests set it, to show that it reports wrong outcomes.
	trustEmptyRead bool
}

// NewWriter returns a writer for the store's log.
func NewWriter(clock *timer.Clock, s *store.Client) *Writer {
	return &Writer{
		clock: clock,
		get:   s.Get,
		put:   s.Put,
		list:  s.List,
		sleep: clock.Sleep,
	}
}

// ConflictError says that a change took no effect because another operator's change already has its number; its kind is fault.Conflict.
type ConflictError struct {
	// Existing is the other operator's change.
	Existing tree.Change
}

// Error names the other change and its author.
func (e *ConflictError) Error() string {
	return e.Unwrap().Error()
}

// Unwrap returns the fault that carries the error's kind and text.
func (e *ConflictError) Unwrap() error {
	return fault.New(fault.Conflict, "%s changed the settings first (change %d: %s)", e.Existing.Author, e.Existing.N, e.Existing.Reason)
}

// OutcomeUnknownError says that it is unknown whether a change took effect; its kind is fault.Unknown.
type OutcomeUnknownError struct {
	// Change is the change; its id shows later whether it is in the log.
	Change tree.Change
	// Err is the error of the last attempt.
	Err error
}

// Error says how to find out whether the change took effect.
func (e *OutcomeUnknownError) Error() string {
	return e.Unwrap().Error()
}

// Unwrap returns the fault that carries the error's kind and text.
func (e *OutcomeUnknownError) Unwrap() error {
	return fault.New(fault.Unknown, "it is not known whether change %d took effect: look for id %s with settings history (%v)", e.Change.N, e.Change.ID, e.Err)
}

// ChangesAfter returns the changes that follow tree t in the log, in order, and the tree with all of them applied.
func (w *Writer) ChangesAfter(ctx context.Context, t *tree.Tree) (*tree.Tree, []tree.Change, error) {
	var changes []tree.Change
	for {
		listed, err := w.list(ctx, LogPrefix, LogKey(t.ChangeNumber), pageSize)
		if err != nil {
			return nil, nil, err
		}
		if len(listed.Entries) == 0 {
			return t, changes, nil
		}
		for _, e := range listed.Entries {
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

// Latest returns the current tree: the stored snapshot with the changes after it applied.
func (w *Writer) Latest(ctx context.Context) (*tree.Tree, error) {
	t := tree.Empty()
	e, found, err := w.get(ctx, SnapshotKey)
	if err != nil {
		return nil, err
	}
	if found {
		if t, err = tree.Decode(e.Value); err != nil {
			return nil, eris.Wrap(err, "decode snapshot")
		}
	}
	t, _, err = w.ChangesAfter(ctx, t)
	return t, err
}

// History returns up to limit changes after change n, in order.
func (w *Writer) History(ctx context.Context, n uint64, limit int) ([]tree.Change, error) {
	listed, err := w.list(ctx, LogPrefix, LogKey(n), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]tree.Change, 0, len(listed.Entries))
	for _, e := range listed.Entries {
		var c tree.Change
		if err := json.Unmarshal(e.Value, &c); err != nil {
			return nil, eris.Wrapf(err, "change %s", e.Key)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Proposal is a change that an operator wants to make, with its author and reason.
type Proposal struct {
	Author string
	Reason string
	Ops    []tree.Op
}

// Append adds a change that follows tree t to the log.
// It fails with a ConflictError if another operator's change came first and with an OutcomeUnknownError if it stays unknown whether the change took effect; after any other error the change took no effect.
func (w *Writer) Append(ctx context.Context, t *tree.Tree, p Proposal) (tree.Change, error) {
	c := tree.Change{
		N:      t.ChangeNumber + 1,
		ID:     rand.Text(),
		Prev:   t.LastChangeID,
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
	encodedTree, err := next.Encode()
	if err != nil {
		return c, eris.Wrap(err, "encode tree")
	}
	for _, b := range [][]byte{value, encodedTree} {
		if units.Size(len(b)) > store.MaxValue {
			return c, fault.New(fault.TooLarge, "the settings would have %s, the store holds %s: make them smaller", units.Size(len(b)), store.MaxValue)
		}
	}
	if err := w.putUntilKnown(ctx, c, value); err != nil {
		return c, err
	}
	if c.N%snapshotInterval == 0 {
		w.storeSnapshot(ctx, c.N, encodedTree)
	}
	return c, nil
}

// putUntilKnown writes the change until it is certain whether it took effect.
// Repeating the write is harmless since the key is created only once, and a change found under the key decides the outcome.
// A read that finds nothing decides nothing: the replica may lag, and an earlier write may still arrive.
func (w *Writer) putUntilKnown(ctx context.Context, c tree.Change, value []byte) error {
	var lastErr error
	neverSent := true
	wait := minPutBackoff
	for range maxPutAttempts {
		_, err := w.put(ctx, LogKey(c.N), store.Write{Value: value})
		if err == nil {
			return nil
		}
		lastErr = err
		neverSent = neverSent && fault.Is(err, fault.Store) && fault.Of(err).NotRun()
		if known, outcome := w.readBack(ctx, c); known {
			return outcome
		}
		if w.trustEmptyRead {
			return err
		}
		if w.sleep(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, maxPutBackoff)
	}
	if neverSent {
		return lastErr
	}
	return &OutcomeUnknownError{Change: c, Err: lastErr}
}

// readBack reads the key of the change's number: outcome is nil if the change is there and a ConflictError if another one is; known is false if nothing was read.
func (w *Writer) readBack(ctx context.Context, c tree.Change) (known bool, outcome error) {
	e, found, err := w.get(ctx, LogKey(c.N))
	if err != nil || !found {
		return false, nil
	}
	var stored tree.Change
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		return true, eris.Wrapf(err, "change %s", e.Key)
	}
	if stored.ID == c.ID {
		return true, nil
	}
	return true, &ConflictError{Existing: stored}
}

// storeSnapshot writes the whole tree to the store, so that new hosts need few reads; failures are ignored, since a later snapshot makes up for a missing one.
func (w *Writer) storeSnapshot(ctx context.Context, n uint64, encodedTree []byte) {
	e, found, err := w.get(ctx, SnapshotKey)
	if err != nil {
		return
	}
	if found {
		if old, err := tree.Decode(e.Value); err == nil && old.ChangeNumber >= n {
			return
		}
	}
	// A conflict means that another operator's snapshot was written first, which makes this one unnecessary.
	_, _ = w.put(ctx, SnapshotKey, store.Write{Value: encodedTree, Expect: e.Revision})
}
