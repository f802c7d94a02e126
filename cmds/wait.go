package cmds

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"kingcupcross/fault"
	"kingcupcross/spread"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// WaitCmd waits until a change is in force.
type WaitCmd struct {
	Watched
	Change  uint64         `arg:"" optional:"" help:"Number of the change; the newest in the store by default, for which --platform must be given."`
	Hosts   int            `help:"Wait also until that many hosts are seen; hosts that have just started don't know each other yet."`
	Timeout units.Duration `default:"6s" help:"Longest time to wait."`
}

// PendingError says that a change isn't in force everywhere.
type PendingError struct {
	Change uint64
	// Hosts is the number of hosts, Behind that of those where the change isn't known to be in force.
	Hosts  int
	Behind int
	Waited time.Duration
}

// Error says how many hosts are behind.
func (e *PendingError) Error() string {
	return fmt.Sprintf("change %d isn't known to be in force at %d of %d hosts after %s", e.Change, e.Behind, e.Hosts, e.Waited)
}

const waitPoll = 200 * time.Millisecond

// Run asks all hosts again and again and prints which change each has in force.
func (c *WaitCmd) Run(out io.Writer) error {
	clock := timer.New()
	if err := c.newest(clock); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout.D()+adminTimeout)
	defer cancel()
	start := clock.Now()
	for {
		hosts, err := c.fleet(ctx)
		waited := clock.Since(start)
		if err == nil && c.behind(hosts) == 0 {
			return c.print(out, hosts)
		}
		if waited < c.Timeout.D() {
			if clock.Sleep(ctx, waitPoll) == nil {
				continue
			}
		}
		if err != nil {
			return err
		}
		if err := c.print(out, hosts); err != nil {
			return err
		}
		return &PendingError{
			Change: c.Change,
			Hosts:  max(len(hosts), c.Hosts),
			Behind: c.behind(hosts),
			Waited: c.Timeout.D(),
		}
	}
}

// newest asks the store for the newest change where none was given.
func (c *WaitCmd) newest(clock *timer.Service) error {
	if c.Change > 0 {
		return nil
	}
	if !c.Platform.IsValid() {
		return fault.New(fault.Invalid, "give the number of a change, or --platform to wait for the newest one")
	}
	return withTimeout(func(ctx context.Context) error {
		t, err := spread.NewWriter(clock, store.New(clock, c.Platform)).Latest(ctx)
		if err != nil {
			return err
		}
		c.Change = t.N
		return nil
	})
}

// behind counts the hosts where the change isn't known to be in force, with those not yet seen; a dead or leaving host needs no settings.
func (c *WaitCmd) behind(hosts []HostView) int {
	n := max(0, c.Hosts-len(hosts))
	for _, h := range hosts {
		if !gone(h) && (h.Status == nil || h.Change < c.Change) {
			n++
		}
	}
	return n
}

func gone(h HostView) bool {
	return h.Status == nil && (h.State == wire.Dead.String() || h.State == wire.Leaving.String())
}

func (c *WaitCmd) print(out io.Writer, hosts []HostView) error {
	if c.JSON {
		return printJSON(out, hosts)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tHOST\tCHANGE\tIN FORCE")
	for _, h := range hosts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", h.Datacentre, h.Name, h.Change, verdict(h, c.Change))
	}
	return table.Flush()
}

func verdict(h HostView, change uint64) string {
	switch {
	case gone(h):
		return h.State
	case h.State == unseen:
		return "unseen"
	case h.Status == nil:
		return "no answer"
	case h.Change >= change:
		return "yes"
	default:
		return "not yet"
	}
}
