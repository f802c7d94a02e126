package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"kingcupcross/apiv1"
)

// StatusCmd shows what one host sees.
type StatusCmd struct {
	Admin netip.AddrPort `required:"" help:"Operators' address of a host."`
	JSON  bool           `help:"Print JSON."`
}

// Run prints the status.
func (c *StatusCmd) Run(out io.Writer) error {
	s, err := fetchStatus(c.Admin)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, s)
	}
	fmt.Fprintf(out, "host %s in %s: ready %t, change %d, out %v\n", s.Host.Name, s.Host.Datacentre, s.Ready, s.Change, s.Out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range s.Peers {
		fmt.Fprintf(table, "peer\t%s\t%s\t%s\tchange %d\n", p.Name, p.Datacentre, p.Phase, p.Settings)
	}
	for _, k := range s.Kept {
		fmt.Fprintf(table, "target\t%s\t%s\tbusy %d\tlimit %d\n", k.Target.Name, k.Target.Datacentre, k.Busy, k.Limit)
	}
	return table.Flush()
}

func fetchStatus(a netip.AddrPort) (s apiv1.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), settingsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+apiv1.PathStatus, http.NoBody)
	if err != nil {
		return s, eris.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, eris.Wrapf(err, "ask host %s", a)
	}
	defer resp.Body.Close()
	return s, eris.Wrap(json.NewDecoder(resp.Body).Decode(&s), "decode status")
}
