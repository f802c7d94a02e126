package cmds

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"kingcupcross/apiv1"
)

// StatusCmd shows all hosts.
type StatusCmd struct {
	Watched
	Alone bool `help:"Ask only the given hosts and not their peers, so that what one host sees is shown."`
}

// Run prints the status.
func (c *StatusCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		if c.Alone {
			return c.alone(ctx, out)
		}
		hosts, err := c.fleet(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, hosts)
		}
		return printFleet(out, hosts)
	})
}

// alone prints each given host's own view.
func (c *StatusCmd) alone(ctx context.Context, out io.Writer) error {
	for _, a := range c.Admin {
		s, err := fetchStatus(ctx, a)
		if err != nil {
			return err
		}
		if c.JSON {
			if err := printJSON(out, s); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(out, "host %s in %s: ready %t, change %d, out %v\n", s.Host.Name, s.Host.Datacentre, s.Ready, s.Change, s.Out)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, p := range s.Peers {
			fmt.Fprintf(table, "peer\t%s\t%s\t%s\tchange %d\n", p.Name, p.Datacentre, p.Phase, p.Settings)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func printFleet(out io.Writer, hosts []HostView) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tHOST\tSTATE\tREADY\tCHANGE")
	for _, h := range hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", h.Datacentre, h.Name, h.State, readiness(h), h.Change)
	}
	fmt.Fprintln(table)
	if err := table.Flush(); err != nil {
		return err
	}
	if err := printTargets(out, hosts); err != nil {
		return err
	}
	low, high := changesIn(hosts)
	if low == high {
		_, err := fmt.Fprintf(out, "change %d is in force at all hosts that answer; out: %s\n", high, outOf(hosts))
		return err
	}
	_, err := fmt.Fprintf(out, "changes in force: %d to %d; out: %s\n", low, high, outOf(hosts))
	return err
}

func readiness(h HostView) string {
	switch {
	case h.Status == nil:
		return "no answer"
	case h.Status.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func printTargets(out io.Writer, hosts []HostView) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tTARGET\tKEPT BY\tHOLD\tPHASE\tBUSY\tLIMIT\tSLOTS\tQUEUE\tWHY")
	for _, r := range keptBy(hosts) {
		t := r.kept.Target
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			t.Datacentre, t.Name, r.host, r.kept.Hold, r.kept.Phase, r.kept.Busy, r.kept.Limit, t.Slots, r.kept.Queue, r.kept.Why)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// keptRow is one target with the host that keeps it.
type keptRow struct {
	host string
	kept apiv1.Kept
}

func keptBy(hosts []HostView) []keptRow {
	var rows []keptRow
	for _, h := range hosts {
		if h.Status == nil {
			continue
		}
		for _, k := range h.Status.Kept {
			rows = append(rows, keptRow{host: h.Name, kept: k})
		}
	}
	slices.SortStableFunc(rows, func(a, b keptRow) int {
		if c := strings.Compare(a.kept.Target.Datacentre, b.kept.Target.Datacentre); c != 0 {
			return c
		}
		return strings.Compare(a.kept.Target.Name, b.kept.Target.Name)
	})
	return rows
}

// changesIn returns the lowest and the highest change in force at the hosts that answered.
func changesIn(hosts []HostView) (low, high uint64) {
	first := true
	for _, h := range hosts {
		if h.Status == nil {
			continue
		}
		if first {
			low, high, first = h.Change, h.Change, false
		}
		low, high = min(low, h.Change), max(high, h.Change)
	}
	return low, high
}

func outOf(hosts []HostView) string {
	var all []string
	for _, h := range hosts {
		if h.Status != nil {
			all = append(all, h.Status.Out...)
		}
	}
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	return strings.Join(slices.Compact(all), ", ")
}
