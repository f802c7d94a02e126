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

// ConflictError reports that a change was not made because the settings have been changed since the tree on which it is based.
type ConflictError struct {
	// Base is the number of the newest change in the operator's tree.
	Base uint64
	// Others are the changes appended since Base.
	Others []tree.Change
}

// Error lists the other changes with author, reason and operations.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "nothing was changed: the settings have been changed since change %d:\n", e.Base)
	for _, g := range e.Others {
		printChange(&b, g)
	}
	b.WriteString("review these changes and try again")
	return b.String()
}

// Unwrap returns a fault.Error of kind fault.Conflict, which determines the exit code.
func (e *ConflictError) Unwrap() error {
	return fault.New(fault.Conflict, "the settings have moved on since change %d", e.Base)
}

// opsBuilder computes the operations of a change from the newest tree.
type opsBuilder func(*tree.Tree) ([]tree.Op, error)

// appendChange reads the newest tree, builds operations from it with build and appends them as one change. If another operator appends a change meanwhile, it returns a ConflictError instead of retrying.
func appendChange(ctx context.Context, out io.Writer, w *spread.Writer, s Signed, build opsBuilder) error {
	t, err := w.Latest(ctx)
	if err != nil {
		return err
	}
	if s.IfChange != nil && *s.IfChange != t.ChangeNumber {
		return newConflictError(ctx, w, *s.IfChange)
	}
	ops, err := build(t)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		_, err := fmt.Fprintf(out, "nothing to change (change %d)\n", t.ChangeNumber)
		return err
	}
	c, err := w.Append(ctx, t, s.proposal(ops))
	switch {
	case err == nil:
		_, err := fmt.Fprintf(out, "change %d accepted (id %s)\n", c.N, c.ID)
		return err
	case fault.Is(err, fault.Conflict):
		return newConflictError(ctx, w, t.ChangeNumber)
	default:
		return err
	}
}

// maxConflictChanges bounds the number of changes listed in a ConflictError.
const maxConflictChanges = 20

// newConflictError returns a ConflictError with the changes made since change base. It lists none if they can't be read.
func newConflictError(ctx context.Context, w *spread.Writer, base uint64) error {
	others, err := w.History(ctx, base, maxConflictChanges)
	if err != nil {
		others = nil
	}
	return &ConflictError{Base: base, Others: others}
}

// SetCmd sets one key at one level of the settings tree.
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
		return appendChange(ctx, out, c.newWriter(), c.Signed, c.buildOps)
	})
}

// buildOps returns the operation that sets the key, or none if the key already has the value.
func (c *SetCmd) buildOps(t *tree.Tree) ([]tree.Op, error) {
	path := tree.Path(c.Path)
	op := tree.Op{
		Path:   path,
		Key:    c.Key,
		Before: t.LevelSettings(path)[c.Key],
		After:  toJSON(c.Value),
	}
	if bytes.Equal(op.Before, op.After) {
		return nil, nil
	}
	return []tree.Op{op}, nil
}

// toJSON returns text unchanged if it is valid JSON and as a JSON string otherwise; an empty text gives nil.
func toJSON(text string) json.RawMessage {
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

// PutCmd replaces the settings tree by the contents of a file.
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
		return appendChange(ctx, out, c.newWriter(), c.Signed, func(t *tree.Tree) ([]tree.Op, error) { return t.Diff(next), nil })
	})
}

// EditCmd opens the settings tree in an editor.
type EditCmd struct {
	Operator
	Signed
	Editor string `env:"EDITOR" default:"vi" help:"The editor's command; it gets the file's name."`
}

// Run opens the tree in the editor until the result passes the checks and appends it as one change.
func (c *EditCmd) Run(out io.Writer, progress Progress) error {
	w := c.newWriter()
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
		return eris.Wrap(err, "create temporary directory for the editor")
	}
	defer os.RemoveAll(dir)
	next, err := c.editUntilValid(filepath.Join(dir, "settings.jsonc"), base, progress)
	if err != nil {
		return err
	}
	// Editing may take long: the change must apply to the tree that the operator saw, not to a newer one.
	if c.IfChange == nil {
		c.IfChange = &base.ChangeNumber
	}
	return withTimeout(func(ctx context.Context) error {
		return appendChange(ctx, out, w, c.Signed, func(t *tree.Tree) ([]tree.Op, error) { return t.Diff(next), nil })
	})
}

// editUntilValid runs the editor until the file passes the checks. It returns the findings as an error if the operator leaves an invalid file unchanged.
func (c *EditCmd) editUntilValid(name string, base *tree.Tree, progress Progress) (*tree.Tree, error) {
	if err := os.WriteFile(name, base.Format(), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings for the editor")
	}
	var previous []byte
	for {
		if err := c.runEditor(name); err != nil {
			return nil, err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read settings from the editor")
		}
		next, err := readTree(name)
		var finding *conf.Error
		if !errors.As(err, &finding) || bytes.Equal(text, previous) {
			return next, err
		}
		fmt.Fprintln(progress, err)
		previous = text
	}
}

// runEditor runs the editor's command on a file. The editor's output goes to standard error, since standard output is for results.
func (c *EditCmd) runEditor(name string) error {
	words := strings.Fields(c.Editor)
	if len(words) == 0 {
		return eris.New("no editor configured: set EDITOR")
	}
	cmd := exec.Command(words[0], append(words[1:], name)...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stderr, os.Stderr
	return eris.Wrapf(cmd.Run(), "run editor %s", words[0])
}
