package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"kingcupcross/conf"
	"kingcupcross/fault"
	"kingcupcross/spread"
	"kingcupcross/tree"
)

// ConflictError says that a change wasn't made, because others were made since the tree that it was meant for.
type ConflictError struct {
	// Base is the number of the change that the operator started from.
	Base uint64
	// Others are the changes made since.
	Others []tree.Change
}

// Error shows who changed what.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "nothing was changed: the settings have moved on since change %d:\n", e.Base)
	for _, g := range e.Others {
		printChange(&b, g)
	}
	b.WriteString("look at these changes and try again")
	return b.String()
}

// Unwrap returns the error's kind.
func (e *ConflictError) Unwrap() error {
	return fault.New(fault.Conflict, "the settings have moved on since change %d", e.Base)
}

// editor makes the operations of a change from the newest tree.
type editor func(*tree.Tree) ([]tree.Op, error)

// change reads the newest tree, lets f say what to change and appends that as one change; it never retries over another operator's change.
func change(ctx context.Context, out io.Writer, w *spread.Writer, s Signed, f editor) error {
	t, err := w.Latest(ctx)
	if err != nil {
		return err
	}
	if s.IfChange != nil && *s.IfChange != t.N {
		return conflictSince(ctx, w, *s.IfChange)
	}
	ops, err := f(t)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		_, err := fmt.Fprintf(out, "nothing to change (change %d)\n", t.N)
		return err
	}
	c, err := w.Append(ctx, t, s.proposal(ops))
	switch {
	case err == nil:
		_, err := fmt.Fprintf(out, "change %d accepted (id %s)\n", c.N, c.ID)
		return err
	case fault.Is(err, fault.Conflict):
		return conflictSince(ctx, w, t.N)
	default:
		return err
	}
}

// shownChanges bounds the changes that a conflict shows.
const shownChanges = 20

// conflictSince returns the conflict with the changes made since number base; where they can't be read, it shows none.
func conflictSince(ctx context.Context, w *spread.Writer, base uint64) error {
	others, err := w.History(ctx, base, shownChanges)
	if err != nil {
		others = nil
	}
	return &ConflictError{Base: base, Others: others}
}

// SetCmd sets one key at one level.
type SetCmd struct {
	Operator
	Signed
	Path  string `arg:"" help:"The level: organisation, organisation/region or organisation/region/service."`
	Key   string `arg:"" help:"The setting."`
	Value string `arg:"" optional:"" help:"The value; without it the setting is removed here and inherited again."`
}

// Run appends the change.
func (c *SetCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		return change(ctx, out, c.writer(), c.Signed, c.ops)
	})
}

func (c *SetCmd) ops(t *tree.Tree) ([]tree.Op, error) {
	path := tree.Path(c.Path)
	op := tree.Op{
		Path:   path,
		Key:    c.Key,
		Before: t.At(path)[c.Key],
		After:  jsonOf(c.Value),
	}
	if bytes.Equal(op.Before, op.After) {
		return nil, nil
	}
	return []tree.Op{op}, nil
}

// jsonOf returns text as JSON, quoted where it isn't JSON by itself.
func jsonOf(text string) json.RawMessage {
	if text == "" {
		return nil
	}
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return nil
	}
	return quoted
}

// PutCmd makes the tree equal to a file.
type PutCmd struct {
	Operator
	Signed
	File string `arg:"" help:"The tree's file, in JSON with comments."`
}

// Run appends the change.
func (c *PutCmd) Run(out io.Writer) error {
	next, err := readTree(c.File)
	if err != nil {
		return err
	}
	return withTimeout(func(ctx context.Context) error {
		return change(ctx, out, c.writer(), c.Signed, func(t *tree.Tree) ([]tree.Op, error) { return t.Diff(next), nil })
	})
}

// EditCmd lets the operator edit the tree.
type EditCmd struct {
	Operator
	Signed
	Editor string `env:"EDITOR" default:"vi" help:"The editor's command; it gets the file's name."`
}

// Run opens the tree in the editor, again where the checks find something, and appends the result as one change.
func (c *EditCmd) Run(out io.Writer, progress Progress) error {
	w := c.writer()
	var base *tree.Tree
	err := withTimeout(func(ctx context.Context) (err error) {
		base, err = w.Latest(ctx)
		return err
	})
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "kingcupcross-")
	if err != nil {
		return eris.Wrap(err, "make folder for the editor")
	}
	defer os.RemoveAll(dir)
	next, err := c.edit(filepath.Join(dir, "settings.jsonc"), base, progress)
	if err != nil {
		return err
	}
	// The time in the editor may be long: the change is for the tree that the operator saw.
	if c.IfChange == nil {
		c.IfChange = &base.N
	}
	return withTimeout(func(ctx context.Context) error {
		return change(ctx, out, w, c.Signed, func(t *tree.Tree) ([]tree.Op, error) { return t.Diff(next), nil })
	})
}

// edit runs the editor until its result passes the checks, or comes back unchanged with the findings still in it.
func (c *EditCmd) edit(name string, base *tree.Tree, progress Progress) (*tree.Tree, error) {
	if err := os.WriteFile(name, base.Format(), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings for the editor")
	}
	var last []byte
	for {
		if err := c.open(name); err != nil {
			return nil, err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read settings from the editor")
		}
		next, err := readTree(name)
		var finding *conf.Error
		if !errors.As(err, &finding) || bytes.Equal(text, last) {
			return next, err
		}
		fmt.Fprintln(progress, err)
		last = text
	}
}

func (c *EditCmd) open(name string) error {
	words := strings.Fields(c.Editor)
	if len(words) == 0 {
		return eris.New("no editor is given: set EDITOR")
	}
	run := exec.Command(words[0], append(words[1:], name)...)
	run.Stdin, run.Stdout, run.Stderr = os.Stdin, os.Stderr, os.Stderr
	return eris.Wrapf(run.Run(), "run editor %s", words[0])
}
