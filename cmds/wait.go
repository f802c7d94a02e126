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

// WaitCmd waits until a settings change is in force at all hosts.
type WaitCmd struct {
	Watched
	Change  uint64         `arg:"" optional:"" help:"Number of the change; the newest in the store by default, for which --platform must be given."`
	Hosts   int            `help:"Wait also until that many hosts are seen; hosts that have just started don't know each other yet."`
	Timeout units.Duration `default:"6s" help:"Longest time to wait."`
}

// PendingError reports that a change isn't known to be in force at all hosts.
type PendingError struct {
	Change uint64
	// Hosts is the number of hosts seen or expected, whichever is larger; Behind is the number of those where the change isn't known to be in force.
	Hosts  int
	Behind int
	Waited time.Duration
}

// Error returns a message with the number of hosts that are behind.
func (e *PendingError) Error() string {
	return fmt.Sprintf("change %d isn't known to be in force at %d of %d hosts after %s", e.Change, e.Behind, e.Hosts, e.Waited)
}

// waitPollInterval is the pause between two rounds of status requests.
const waitPollInterval = 200 * time.Millisecond

// Run polls all hosts until the change is in force or the timeout ends, and prints the change in force at each host.
func (c *WaitCmd) Run(out io.Writer) error {
	clock := timer.New()
	if err := c.resolveChange(clock); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout.D()+adminTimeout)
	defer cancel()
	start := clock.Now()
	for {
		hosts, err := c.collectHosts(ctx)
		waited := clock.Since(start)
		if err == nil && c.countBehind(hosts) == 0 {
			return c.printHosts(out, hosts)
		}
		if waited < c.Timeout.D() {
			if clock.Sleep(ctx, waitPollInterval) == nil {
				continue
			}
		}
		if err != nil {
			return err
		}
		if err := c.printHosts(out, hosts); err != nil {
			return err
		}
		return &PendingError{
			Change: c.Change,
			Hosts:  max(len(hosts), c.Hosts),
			Behind: c.countBehind(hosts),
			Waited: c.Timeout.D(),
		}
	}
}

// resolveChange sets Change to the newest change in the store if none was given.
func (c *WaitCmd) resolveChange(clock *timer.Clock) error {
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
		c.Change = t.ChangeNumber
		return nil
	})
}

// countBehind returns the number of hosts where the change isn't known to be in force, including expected hosts that aren't seen yet. Dead or leaving hosts that don't answer need no settings and aren't counted.
func (c *WaitCmd) countBehind(hosts []HostView) int {
	n := max(0, c.Hosts-len(hosts))
	for _, h := range hosts {
		if !isGone(h) && (h.Status == nil || h.Change < c.Change) {
			n++
		}
	}
	return n
}

// isGone reports whether a host doesn't answer and is dead or leaving.
func isGone(h HostView) bool {
	return h.Status == nil && (h.State == wire.Dead.String() || h.State == wire.Leaving.String())
}

// printHosts prints which change each host has in force.
func (c *WaitCmd) printHosts(out io.Writer, hosts []HostView) error {
	if c.JSON {
		return printJSON(out, hosts)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tHOST\tCHANGE\tIN FORCE")
	for _, h := range hosts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", h.Datacentre, h.Name, h.Change, inForceText(h, c.Change))
	}
	return table.Flush()
}

// inForceText returns the table cell that says whether a change is in force at a host.
func inForceText(h HostView, change uint64) string {
	switch {
	case isGone(h):
		return h.State
	case h.State == stateUnseen:
		return "unseen"
	case h.Status == nil:
		return "no answer"
	case h.Change >= change:
		return "yes"
	default:
		return "not yet"
	}
}
