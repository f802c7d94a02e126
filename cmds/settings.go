package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"kingcupcross/conf"
	"kingcupcross/spread"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
)

// SettingsCmd groups the commands for the settings tree.
type SettingsCmd struct {
	Check   CheckCmd   `cmd:"" help:"Check a tree's file; nothing needs to run."`
	Put     PutCmd     `cmd:"" help:"Make the tree equal to a file, as one change."`
	Set     SetCmd     `cmd:"" help:"Set one key at one level."`
	Get     GetCmd     `cmd:"" help:"Show the settings in force at a level."`
	History HistoryCmd `cmd:"" help:"Show the audit trail of changes."`
}

// Operator holds what all commands need that speak to the platform's store.
type Operator struct {
	Platform netip.AddrPort `required:"" help:"Address of the platform's store."`
	JSON     bool           `help:"Print JSON."`
}

func (o *Operator) writer() *spread.Writer {
	clock := timer.New()
	return spread.NewWriter(clock, store.New(clock, o.Platform))
}

// Signed holds what each change carries for the audit trail.
type Signed struct {
	Author string `help:"Who makes the change; the user's name by default."`
	Reason string `required:"" help:"Why the change is made."`
}

func (s *Signed) proposal(ops []tree.Op) spread.Proposal {
	p := spread.Proposal{Author: s.Author, Reason: s.Reason, Ops: ops}
	if p.Author != "" {
		return p
	}
	p.Author = os.Getenv("USER")
	if u, err := user.Current(); err == nil {
		p.Author = u.Username
	}
	return p
}

const settingsTimeout = 30 * time.Second

func withTimeout(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), settingsTimeout)
	defer cancel()
	return f(ctx)
}

// CheckCmd checks a tree's file.
type CheckCmd struct {
	File string `arg:"" type:"existingfile" help:"The tree's file, in JSON with comments."`
}

// Run checks the file.
func (c *CheckCmd) Run(out io.Writer) error {
	if _, err := readTree(c.File); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, c.File, "is good")
	return err
}

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

// PutCmd makes the tree equal to a file.
type PutCmd struct {
	Operator
	Signed
	File string `arg:"" type:"existingfile" help:"The tree's file, in JSON with comments."`
}

// Run appends the change.
func (c *PutCmd) Run(out io.Writer) error {
	next, err := readTree(c.File)
	if err != nil {
		return err
	}
	return withTimeout(func(ctx context.Context) error {
		w := c.writer()
		t, _, err := w.Read(ctx, tree.Empty())
		if err != nil {
			return err
		}
		ops := t.Diff(next)
		if len(ops) == 0 {
			_, err := fmt.Fprintln(out, "nothing to change")
			return err
		}
		return appendChange(ctx, out, w, t, c.proposal(ops))
	})
}

func appendChange(ctx context.Context, out io.Writer, w *spread.Writer, t *tree.Tree, p spread.Proposal) error {
	c, err := w.Append(ctx, t, p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "change %d accepted (id %s)\n", c.N, c.ID)
	return err
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
		w := c.writer()
		t, _, err := w.Read(ctx, tree.Empty())
		if err != nil {
			return err
		}
		op := tree.Op{
			Path:   tree.Path(c.Path),
			Key:    c.Key,
			Before: t.At(tree.Path(c.Path))[c.Key],
			After:  jsonOf(c.Value),
		}
		return appendChange(ctx, out, w, t, c.proposal([]tree.Op{op}))
	})
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

// GetCmd shows the settings in force at a level.
type GetCmd struct {
	Operator
	Path string `arg:"" help:"The level: organisation, organisation/region or organisation/region/service."`
	Why  bool   `help:"Show the level that each value comes from."`
}

// Run prints the settings.
func (c *GetCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		t, _, err := c.writer().Read(ctx, tree.Empty())
		if err != nil {
			return err
		}
		origins := t.Why(tree.Path(c.Path))
		if c.JSON {
			return printJSON(out, origins)
		}
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, o := range origins {
			from := ""
			if c.Why {
				from = "default"
				if o.Level != "" {
					from = string(o.Level)
				}
			}
			fmt.Fprintf(table, "%s\t%s\t%s\n", o.Key, o.Value, from)
		}
		return table.Flush()
	})
}

// HistoryCmd shows the audit trail.
type HistoryCmd struct {
	Operator
}

// Run prints all changes, the oldest first.
func (c *HistoryCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		_, changes, err := c.writer().Read(ctx, tree.Empty())
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, changes)
		}
		for _, g := range changes {
			fmt.Fprintf(out, "%d  %s  %s  %s  (id %s)\n", g.N, g.Time.Format(time.RFC3339), g.Author, g.Reason, g.ID)
			for _, o := range g.Ops {
				fmt.Fprintf(out, "    %s %s: %s -> %s\n", o.Path, o.Key, orNone(o.Before), orNone(o.After))
			}
		}
		return nil
	})
}

func orNone(v json.RawMessage) string {
	if v == nil {
		return "(inherited)"
	}
	return string(v)
}
