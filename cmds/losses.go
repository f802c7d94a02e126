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

// LossesCmd sums the losses by late, refused, failed and incomplete answers that hosts' logs show, by reason.
type LossesCmd struct {
	Files  []string      `arg:"" optional:"" help:"Log files of hosts; standard input where none is given."`
	Window time.Duration `help:"Show also the losses in each window of this length."`
}

// answeredMessage is the message that a host logs for each request that it answers.
const answeredMessage = "request answered"

// lossKey groups losses by time window, route and reason.
type lossKey struct {
	window time.Time
	route  string
	reason string
}

// lossTotal sums what was lost for one reason: the requests concerned, the missing shards and the lost score. An answer in time scores the square of its share of shards; any other scores zero.
type lossTotal struct {
	requests, shards int
	score            float64
}

// Run prints the losses by window, route and reason. It reports the number of malformed lines and warns that lines of successful requests are sampled.
func (c *LossesCmd) Run(out io.Writer, progress Progress) error {
	lines, malformed, err := readLogs(c.Files, progress)
	if err != nil {
		return err
	}
	sums := map[lossKey]*lossTotal{}
	requests, lost := 0, 0.0
	for _, l := range lines {
		// A line with group set is of a part of a request that another host delegated; that host logs the losses of the whole request.
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
		return eris.New("no log line of an answered request found: give the logs of hosts in the front role")
	}
	if err := printLosses(out, sums); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "%d requests have lines, answers worth %.1f are lost\n", requests, lost); err != nil {
		return err
	}
	if malformed > 0 {
		fmt.Fprintf(progress, "skipped %d malformed log lines\n", malformed)
	}
	fmt.Fprintln(progress, "lines of successful requests are sampled, so these totals do not give shares of all requests")
	return nil
}

// numberField returns the value of a field if it is a number, otherwise zero.
func (l logLine) numberField(name string) float64 {
	n, ok := l.Fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}

// addLosses adds the losses of one request to sums, by reason, and returns its lost score.
// The outcome "left" means that the caller disconnected, which is no loss. Any outcome other than left, whole, partial and late
// is a refusal or failure, which loses the whole score.
func (l logLine) addLosses(key lossKey, sums map[lossKey]*lossTotal) float64 {
	add := func(reason string, shards int, score float64) {
		key.reason = reason
		s := sums[key]
		if s == nil {
			s = &lossTotal{}
			sums[key] = s
		}
		s.requests++
		s.shards += shards
		s.score += score
	}
	outcome := fmt.Sprint(l.Fields["outcome"])
	late := l.numberField("ms") > l.numberField("aim")
	switch {
	case outcome == "left", outcome == "whole" && !late:
		return 0
	case outcome != "partial" && outcome != "late" && !(outcome == "whole" && late):
		add(outcome, 0, 1)
		return 1
	}
	lostScore := 1.0
	if !late && l.numberField("shards") > 0 {
		share := l.numberField("answered") / l.numberField("shards")
		lostScore = 1 - share*share
	}
	reasons := parseLosses(fmt.Sprint(l.Fields["lost"]))
	missing := 0
	for _, n := range reasons {
		missing += n
	}
	if missing == 0 {
		add("late, whole", 0, lostScore)
		return lostScore
	}
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		name := reason
		if late {
			name = "late, " + reason
		}
		add(name, reasons[reason], lostScore*float64(reasons[reason])/float64(missing))
	}
	return lostScore
}

// parseLosses parses a list of reason:count pairs, separated by spaces, into the number of shards per reason; malformed pairs are skipped.
func parseLosses(text string) map[string]int {
	all := map[string]int{}
	for _, field := range strings.Fields(text) {
		reason, count, _ := strings.Cut(field, ":")
		if n, err := strconv.Atoi(count); err == nil && n > 0 {
			all[reason] += n
		}
	}
	return all
}

// printLosses prints one row for each window, route and reason, in each window the highest lost score first.
func printLosses(out io.Writer, sums map[lossKey]*lossTotal) error {
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b lossKey) int {
		return cmp.Or(a.window.Compare(b.window), cmp.Compare(sums[b].score, sums[a].score), cmp.Compare(a.route, b.route), cmp.Compare(a.reason, b.reason))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "from\troute\treason\trequests\tshards\tworth lost")
	for _, k := range keys {
		from := "-"
		if !k.window.IsZero() {
			from = k.window.Format("15:04:05")
		}
		s := sums[k]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\n", from, k.route, k.reason, s.requests, s.shards, s.score)
	}
	return w.Flush()
}
