package cmds

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
)

// outKey is the key of the setting that lists the data centres that are out of service.
const outKey = "out"

// DrainCmd takes a data centre out of service through a change of the settings.
type DrainCmd struct {
	Operator
	Signed
	Datacentre string `arg:"" help:"The data centre."`
	Force      bool   `help:"Also take out a data centre that the platform doesn't list, or the last one."`
}

// Run appends the change.
func (c *DrainCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		known, err := c.listDatacentres(ctx)
		if err != nil && !c.Force {
			return err
		}
		return appendChange(ctx, out, c.newWriter(), c.Signed, func(t *tree.Tree) ([]tree.Op, error) {
			if err := c.validate(known, t); err != nil && !c.Force {
				return nil, err
			}
			return outListOps(t, c.Datacentre, true)
		})
	})
}

// listDatacentres returns the sorted names of the data centres in the platform's host list.
func (o *Operator) listDatacentres(ctx context.Context) ([]string, error) {
	hosts, err := store.New(timer.New(), o.Platform).Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var all []string
	for _, h := range hosts {
		if !slices.Contains(all, h.Datacentre) {
			all = append(all, h.Datacentre)
		}
	}
	slices.Sort(all)
	return all, nil
}

// validate refuses to drain a data centre that isn't among the known ones, or the last one that is still in service.
func (c *DrainCmd) validate(known []string, t *tree.Tree) error {
	if !slices.Contains(known, c.Datacentre) {
		return fault.New(fault.Invalid, "the platform lists no host in data centre %q, only in %s: mend the name or give --force", c.Datacentre, strings.Join(known, ", "))
	}
	outLists, err := t.OutOfServiceLists()
	if err != nil {
		return err
	}
	for _, d := range known {
		if d != c.Datacentre && !slices.ContainsFunc(outLists, func(l tree.OutOfServiceList) bool { return slices.Contains(l.Datacentres, d) }) {
			return nil
		}
	}
	return fault.New(fault.Invalid, "%s is the last data centre in service: bring another back first or give --force", c.Datacentre)
}

// UndrainCmd brings a data centre back into service through a change of the settings.
type UndrainCmd struct {
	Operator
	Signed
	Datacentre string `arg:"" help:"The data centre."`
}

// Run appends the change.
func (c *UndrainCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		return appendChange(ctx, out, c.newWriter(), c.Signed, func(t *tree.Tree) ([]tree.Op, error) {
			return outListOps(t, c.Datacentre, false)
		})
	})
}

// outListOps returns the operations that add a data centre to the out list of every level that has one, or remove it there. An addition also creates the list of the organisation. All lists change, because a list at a lower level overrides those above it.
func outListOps(t *tree.Tree, datacentre string, add bool) ([]tree.Op, error) {
	lists, err := t.OutOfServiceLists()
	if err != nil {
		return nil, err
	}
	if t.Organisation() == "" {
		return nil, fault.New(fault.Invalid, "there are no settings yet: put the first ones with settings put")
	}
	root := tree.Join(t.Organisation())
	if add && !slices.ContainsFunc(lists, func(l tree.OutOfServiceList) bool { return l.Path == root }) {
		lists = append(lists, tree.OutOfServiceList{Path: root})
	}
	var ops []tree.Op
	for _, l := range lists {
		if slices.Contains(l.Datacentres, datacentre) == add {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(l.Datacentres), func(d string) bool { return d == datacentre })
		if add {
			next = append(next, datacentre)
		}
		after, err := json.Marshal(append([]string{}, next...))
		if err != nil {
			return nil, eris.Wrap(err, "encode data centres")
		}
		ops = append(ops, tree.Op{
			Path:   l.Path,
			Key:    outKey,
			Before: t.LevelSettings(l.Path)[outKey],
			After:  after,
		})
	}
	return ops, nil
}
