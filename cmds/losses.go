package cmds

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// LossesCmd sums what hosts' logs say of answers that were late, refused, failed or left shards out.
type LossesCmd struct {
	Files  []string      `arg:"" optional:"" help:"Log files of hosts; standard input where none is given."`
	Window time.Duration `help:"Show also the losses in each window of this length."`
}

// answered is the message of the line that a host writes for each request that it answers.
const answeredMessage = "request answered"

// lossKey is what losses are summed by.
type lossKey struct {
	window time.Time
	route  string
	reason string
}

// lossSum is what one reason has cost: requests it concerned, shards that are missing, and answers' worth, where an answer in time is worth the square of the share of its shards, and any other nothing.
type lossSum struct {
	requests, shards int
	worth            float64
}

// Run prints the tables; lines that can't be read and lines that hosts have left out are counted.
func (c *LossesCmd) Run(out io.Writer, progress Progress) error {
	lines, broken, err := readLogs(c.Files, progress)
	if err != nil {
		return err
	}
	sums := map[lossKey]*lossSum{}
	requests, lost := 0, 0.0
	for _, l := range lines {
		if l.Message != answeredMessage || l.Fields["group"] == true {
			continue
		}
		requests++
		key := lossKey{route: fmt.Sprint(l.Fields["route"])}
		if c.Window > 0 {
			key.window = l.Time.Truncate(c.Window)
		}
		lost += l.addLosses(key, sums)
	}
	if requests == 0 {
		return eris.New("no line tells of an answered request: give the logs of hosts of the front role")
	}
	if err := printLosses(out, sums); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "%d requests have lines, answers worth %.1f are lost\n", requests, lost); err != nil {
		return err
	}
	if broken > 0 {
		fmt.Fprintf(progress, "%d lines can't be read as log lines and were passed over\n", broken)
	}
	fmt.Fprintln(progress, "lines of requests that went well are sampled, so that shares of all requests can't be told from them")
	return nil
}

// number returns a field as a number, zero where it is none.
func (l logLine) number(name string) float64 {
	n, ok := l.Fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}

// addLosses adds what one request has lost and returns its worth.
func (l logLine) addLosses(key lossKey, sums map[lossKey]*lossSum) float64 {
	add := func(reason string, shards int, worth float64) {
		key.reason = reason
		s := sums[key]
		if s == nil {
			s = &lossSum{}
			sums[key] = s
		}
		s.requests++
		s.shards += shards
		s.worth += worth
	}
	outcome := fmt.Sprint(l.Fields["outcome"])
	late := l.number("ms") > l.number("aim")
	switch {
	case outcome == "left", outcome == "whole" && !late:
		return 0
	case outcome != "partial" && outcome != "late" && !(outcome == "whole" && late):
		add(outcome, 0, 1)
		return 1
	}
	total := 1.0
	if !late && l.number("shards") > 0 {
		share := l.number("answered") / l.number("shards")
		total = 1 - share*share
	}
	reasons := decodeLosses(fmt.Sprint(l.Fields["lost"]))
	missing := 0
	for _, n := range reasons {
		missing += n
	}
	if missing == 0 {
		add("late, whole", 0, total)
		return total
	}
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		name := reason
		if late {
			name = "late, " + reason
		}
		add(name, reasons[reason], total*float64(reasons[reason])/float64(missing))
	}
	return total
}

// decodeLosses reads reasons with their numbers of shards; what can't be read is left out.
func decodeLosses(text string) map[string]int {
	all := map[string]int{}
	for _, field := range strings.Fields(text) {
		reason, count, _ := strings.Cut(field, ":")
		if n, err := strconv.Atoi(count); err == nil && n > 0 {
			all[reason] += n
		}
	}
	return all
}

// printLosses prints a line for each window, route and reason, the dearest of each window first.
func printLosses(out io.Writer, sums map[lossKey]*lossSum) error {
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b lossKey) int {
		return cmp.Or(a.window.Compare(b.window), cmp.Compare(sums[b].worth, sums[a].worth), cmp.Compare(a.route, b.route), cmp.Compare(a.reason, b.reason))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "from\troute\treason\trequests\tshards\tworth lost")
	for _, k := range keys {
		from := "-"
		if !k.window.IsZero() {
			from = k.window.Format("15:04:05")
		}
		s := sums[k]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\n", from, k.route, k.reason, s.requests, s.shards, s.worth)
	}
	return w.Flush()
}
