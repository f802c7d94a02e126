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

// outKey is the setting that lists the data centres that are out.
const outKey = "out"

// DrainCmd takes a data centre out of service.
type DrainCmd struct {
	Operator
	Signed
	Datacentre string `arg:"" help:"The data centre."`
	Force      bool   `help:"Also take out a data centre that the platform doesn't list, or the last one."`
}

// Run appends the change.
func (c *DrainCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		known, err := c.datacentres(ctx)
		if err != nil && !c.Force {
			return err
		}
		return change(ctx, out, c.writer(), c.Signed, func(t *tree.Tree) ([]tree.Op, error) {
			if err := c.check(known, t); err != nil && !c.Force {
				return nil, err
			}
			return outOps(t, c.Datacentre, true)
		})
	})
}

// datacentres returns those that the platform's list of hosts names.
func (o *Operator) datacentres(ctx context.Context) ([]string, error) {
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

// check refuses a name that the platform doesn't know and the last data centre that is in service.
func (c *DrainCmd) check(known []string, t *tree.Tree) error {
	if !slices.Contains(known, c.Datacentre) {
		return fault.New(fault.Invalid, "the platform lists no host in data centre %q, only in %s: mend the name or give --force", c.Datacentre, strings.Join(known, ", "))
	}
	down, err := t.OutLists()
	if err != nil {
		return err
	}
	for _, d := range known {
		if d != c.Datacentre && !slices.ContainsFunc(down, func(l tree.OutList) bool { return slices.Contains(l.Datacentres, d) }) {
			return nil
		}
	}
	return fault.New(fault.Invalid, "%s is the last data centre in service: bring another back first or give --force", c.Datacentre)
}

// UndrainCmd brings a data centre back into service.
type UndrainCmd struct {
	Operator
	Signed
	Datacentre string `arg:"" help:"The data centre."`
}

// Run appends the change.
func (c *UndrainCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		return change(ctx, out, c.writer(), c.Signed, func(t *tree.Tree) ([]tree.Op, error) {
			return outOps(t, c.Datacentre, false)
		})
	})
}

// outOps adds a data centre to, or removes it from, the list of every level that has one: a lower list hides those above it.
func outOps(t *tree.Tree, datacentre string, add bool) ([]tree.Op, error) {
	lists, err := t.OutLists()
	if err != nil {
		return nil, err
	}
	if t.Organisation() == "" {
		return nil, fault.New(fault.Invalid, "there are no settings yet: put the first ones with settings put")
	}
	root := tree.Join(t.Organisation())
	if add && !slices.ContainsFunc(lists, func(l tree.OutList) bool { return l.Path == root }) {
		lists = append(lists, tree.OutList{Path: root})
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
			Before: t.At(l.Path)[outKey],
			After:  after,
		})
	}
	return ops, nil
}
