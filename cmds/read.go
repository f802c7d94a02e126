package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"kingcupcross/conf"
	"kingcupcross/spread"
	"kingcupcross/tree"
)

// Kinds of settings files that CheckCmd accepts.
const (
	kindTree = "tree"
	kindHost = "host"
	// kindFront is the settings file of a host in the front role.
	kindFront = "front"
)

// CheckCmd validates a settings file without contacting any host.
type CheckCmd struct {
	File string `arg:"" help:"The file, in JSON with comments."`
	Kind string `default:"tree" enum:"tree,host,front" help:"What the file holds: ${enum}."`
	JSON bool   `help:"Print the findings as JSON."`
}

// Run prints all findings, or that the file is valid.
func (c *CheckCmd) Run(out io.Writer) error {
	err := c.validate()
	if c.JSON {
		if printErr := printJSON(out, conf.Findings(err)); printErr != nil {
			return printErr
		}
	}
	if err != nil || c.JSON {
		return err
	}
	_, err = fmt.Fprintln(out, c.File, "is good")
	return err
}

// validate loads the file as its kind and returns the findings as an error.
func (c *CheckCmd) validate() error {
	switch c.Kind {
	case kindHost:
		_, err := conf.LoadHost(c.File)
		return err
	case kindFront:
		_, err := conf.LoadFront(c.File)
		return err
	}
	_, err := readTree(c.File)
	return err
}

// readTree reads and validates the file of a settings tree.
func readTree(name string) (*tree.Tree, error) {
	f, err := conf.Read(name)
	if err != nil {
		return nil, err
	}
	d, err := tree.ReadDocument(f)
	if err != nil {
		return nil, err
	}
	return d.Tree, nil
}

// GetCmd shows the settings in force at a level, or the whole tree.
type GetCmd struct {
	Operator
	Path string `arg:"" optional:"" help:"The level: organisation, organisation/region or organisation/region/service; without it, the whole tree as a file."`
	Why  bool   `help:"Show the level that each value comes from."`
}

// Run prints the settings; the table also shows the number of the newest change.
func (c *GetCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		t, err := c.newWriter().Latest(ctx)
		if err != nil {
			return err
		}
		if c.Path == "" {
			_, err := out.Write(t.Format())
			return err
		}
		origins := t.Origins(tree.Path(c.Path))
		if c.JSON {
			return printJSON(out, origins)
		}
		fmt.Fprintf(out, "change %d\n", t.ChangeNumber)
		return c.printOrigins(out, origins)
	})
}

// printOrigins prints a table of keys and values; if Why is set, it includes the level that each value comes from.
func (c *GetCmd) printOrigins(out io.Writer, origins []tree.Origin) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, o := range origins {
		fmt.Fprintf(table, "%s\t%s", o.Key, o.Value)
		if c.Why {
			fmt.Fprintf(table, "\t%s", levelName(o))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// levelName returns the level that a value was set at, or "default".
func levelName(o tree.Origin) string {
	if o.Level == "" {
		return "default"
	}
	return string(o.Level)
}

// HistoryCmd shows the audit trail of settings changes.
type HistoryCmd struct {
	Operator
	ID   string `help:"Show only the change with this id, to learn whether it took effect."`
	Last uint64 `default:"50" help:"Show that many of the newest changes; 0 shows all."`
}

// historyPageSize is the number of changes read with one request to the store.
const historyPageSize = 200

// Run prints the changes, oldest first.
func (c *HistoryCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		changes, err := c.listChanges(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, changes)
		}
		for _, g := range changes {
			printChange(out, g)
		}
		return nil
	})
}

// listChanges returns the change with the given id, or else the newest changes.
func (c *HistoryCmd) listChanges(ctx context.Context) ([]tree.Change, error) {
	w := c.newWriter()
	t, err := w.Latest(ctx)
	if err != nil {
		return nil, err
	}
	if c.ID != "" {
		return findChange(ctx, w, t.ChangeNumber, c.ID)
	}
	after := uint64(0)
	if c.Last > 0 && c.Last < t.ChangeNumber {
		after = t.ChangeNumber - c.Last
	}
	return changesAfter(ctx, w, after)
}

// changesAfter returns all changes after change n, read page by page.
func changesAfter(ctx context.Context, w *spread.Writer, n uint64) ([]tree.Change, error) {
	all := []tree.Change{}
	for {
		page, err := w.History(ctx, n, historyPageSize)
		if err != nil || len(page) == 0 {
			return all, err
		}
		all = append(all, page...)
		n = page[len(page)-1].N
	}
}

// findChange searches the history for a change by id, page by page. It searches backwards from the newest change, since operators mostly ask whether a recent change took effect.
func findChange(ctx context.Context, w *spread.Writer, newest uint64, id string) ([]tree.Change, error) {
	for last := newest; last > 0; {
		after := last - min(last, historyPageSize)
		page, err := w.History(ctx, after, int(last-after))
		if err != nil {
			return nil, err
		}
		for _, g := range page {
			if g.ID == id {
				return []tree.Change{g}, nil
			}
		}
		last = after
	}
	return nil, &ChangeNotFoundError{ID: id}
}

// ChangeNotFoundError reports that the audit trail has no change with an id.
type ChangeNotFoundError struct {
	ID string
}

// Error returns a message with the id.
func (e *ChangeNotFoundError) Error() string {
	return "no change with id " + e.ID + " has taken effect"
}

// printChange prints one change with its operations.
func printChange(out io.Writer, g tree.Change) {
	fmt.Fprintf(out, "%d  %s  %s  %s  (id %s)\n", g.N, g.Time.Format(time.RFC3339), g.Author, g.Reason, g.ID)
	printOps(out, g.Ops)
}

// printOps prints one line for each operation, with the values before and after it.
func printOps(out io.Writer, ops []tree.Op) {
	for _, o := range ops {
		fmt.Fprintf(out, "    %s %s: %s -> %s\n", o.Path, o.Key, valueOrInherited(o.Before), valueOrInherited(o.After))
	}
}

// valueOrInherited returns a value's JSON text; nil means that the value is inherited.
func valueOrInherited(v json.RawMessage) string {
	if v == nil {
		return "(inherited)"
	}
	return string(v)
}

// DiffCmd shows the differences between two settings trees.
type DiffCmd struct {
	Operator
	File string  `arg:"" optional:"" help:"A tree's file, compared with the newest tree."`
	From *uint64 `help:"Number of the change to compare from; 0 is the empty tree."`
	To   *uint64 `help:"Number of the change to compare to; the newest by default."`
}

// Run prints the operations that turn one tree into the other.
func (c *DiffCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		newest, changes, err := c.newWriter().ChangesAfter(ctx, tree.Empty())
		if err != nil {
			return err
		}
		from, err := treeAt(changes, newest, c.From)
		if err != nil {
			return err
		}
		to, err := c.toTree(changes, newest)
		if err != nil {
			return err
		}
		ops := from.Diff(to)
		if c.JSON {
			return printJSON(out, ops)
		}
		if len(ops) == 0 {
			fmt.Fprintln(out, "no difference")
		}
		printOps(out, ops)
		return nil
	})
}

// toTree returns the tree to compare to: that of the file, or else the one after change To.
func (c *DiffCmd) toTree(changes []tree.Change, newest *tree.Tree) (*tree.Tree, error) {
	if c.File != "" {
		return readTree(c.File)
	}
	return treeAt(changes, newest, c.To)
}

// treeAt returns the tree after the first n changes, or the newest tree if n is nil.
func treeAt(changes []tree.Change, newest *tree.Tree, n *uint64) (*tree.Tree, error) {
	if n == nil {
		return newest, nil
	}
	if *n > uint64(len(changes)) {
		return nil, fmt.Errorf("change %d does not exist: the newest change is %d", *n, len(changes))
	}
	t := tree.Empty()
	for _, g := range changes[:*n] {
		next, err := t.Apply(g)
		if err != nil {
			return nil, err
		}
		t = next
	}
	return t, nil
}
