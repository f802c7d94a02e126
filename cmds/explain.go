package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"text/tabwriter"

	"kingcupcross/apiv1"
)

// ExplainCmd shows how a host would route a query.
type ExplainCmd struct {
	Admin   netip.AddrPort `required:"" env:"KINGCUPCROSS_ADMIN" help:"Operators' address of the host."`
	Service string         `arg:"" help:"The service."`
	JSON    bool           `help:"Print JSON."`
}

// Run prints the replicas of each shard, which of them is queried, through which keeper, and why.
func (c *ExplainCmd) Run(out io.Writer) error {
	return withTimeout(func(ctx context.Context) error {
		var e apiv1.Explanation
		if err := getJSON(ctx, c.Admin, apiv1.PathExplain, url.Values{"service": {c.Service}}, &e); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, e)
		}
		fmt.Fprintf(out, "service %s at host %s: snapshot map %d index %d, change %d, %d of %d shards have a replica to ask\n",
			e.Service, e.Host, e.Snapshot.Map, e.Snapshot.Index, e.Change, e.Reachable(), len(e.Shards))
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "SHARD\tASKED\tTARGET\tDATA CENTRE\tKEEPER\tWHY")
		for _, s := range e.Shards {
			for _, r := range s.Replicas {
				fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", s.Shard, chosenMark(r.Chosen), r.Target, r.Datacentre, orDash(r.Keeper), r.Why)
			}
		}
		return table.Flush()
	})
}

// chosenMark returns the table cell that marks a chosen replica.
func chosenMark(chosen bool) string {
	if chosen {
		return "*"
	}
	return ""
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
