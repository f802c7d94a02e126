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

// StatusCmd shows the status of all hosts and of the targets whose keepers they are.
type StatusCmd struct {
	Watched
	Alone bool `help:"Ask only the given hosts and not their peers, so that what one host sees is shown."`
}

// Run prints a combined view of all hosts, or with Alone the view of each given host.
func (c *StatusCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		if c.Alone {
			return c.printOwnViews(ctx, out)
		}
		hosts, err := c.collectHosts(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, hosts)
		}
		return printHosts(out, hosts)
	})
}

// printOwnViews prints the status of each given host with the peers that it sees.
func (c *StatusCmd) printOwnViews(ctx context.Context, out io.Writer) error {
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

// printHosts prints a table of the hosts, a table of their targets and the range of the changes in force.
func printHosts(out io.Writer, hosts []HostView) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tHOST\tSTATE\tREADY\tCHANGE")
	for _, h := range hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", h.Datacentre, h.Name, h.State, readinessText(h), h.Change)
	}
	fmt.Fprintln(table)
	if err := table.Flush(); err != nil {
		return err
	}
	if err := printTargets(out, hosts); err != nil {
		return err
	}
	low, high := changeRange(hosts)
	if low == high {
		_, err := fmt.Fprintf(out, "change %d is in force at all hosts that answer; out: %s\n", high, drainedDatacentres(hosts))
		return err
	}
	_, err := fmt.Fprintf(out, "changes in force: %d to %d; out: %s\n", low, high, drainedDatacentres(hosts))
	return err
}

// readinessText returns the table cell for a host's readiness.
func readinessText(h HostView) string {
	switch {
	case h.Status == nil:
		return "no answer"
	case h.Status.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// printTargets prints a table of the targets with the keeper of each.
func printTargets(out io.Writer, hosts []HostView) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tTARGET\tKEPT BY\tHOLD\tPHASE\tBUSY\tLIMIT\tSLOTS\tQUEUE\tWHY")
	for _, r := range targetRows(hosts) {
		t := r.kept.Target
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			t.Datacentre, t.Name, r.host, r.kept.Hold, r.kept.Phase, r.kept.Busy, r.kept.Limit, t.Slots, r.kept.Queue, r.kept.Why)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

// targetRow is the state of one target with the name of its keeper.
type targetRow struct {
	host string
	kept apiv1.TargetStatus
}

// targetRows returns the targets whose keepers answered, sorted by data centre and name.
func targetRows(hosts []HostView) []targetRow {
	var rows []targetRow
	for _, h := range hosts {
		if h.Status == nil {
			continue
		}
		for _, k := range h.Status.Kept {
			rows = append(rows, targetRow{host: h.Name, kept: k})
		}
	}
	slices.SortStableFunc(rows, func(a, b targetRow) int {
		if c := strings.Compare(a.kept.Target.Datacentre, b.kept.Target.Datacentre); c != 0 {
			return c
		}
		return strings.Compare(a.kept.Target.Name, b.kept.Target.Name)
	})
	return rows
}

// changeRange returns the lowest and the highest number of the change in force at the hosts that answered.
func changeRange(hosts []HostView) (low, high uint64) {
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

// drainedDatacentres returns the names of the data centres that any host reports as out of service, or "none".
func drainedDatacentres(hosts []HostView) string {
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
