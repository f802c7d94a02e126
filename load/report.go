package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"kingcupcross/units"
)

// Progress holds the counts of a run up to some time, and the p99 latency of its answers.
type Progress struct {
	Elapsed  units.Duration `json:"elapsed"`
	Arrivals int            `json:"arrivals"`
	Sent     int            `json:"sent"`
	Open     int            `json:"open"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"`
	Lost     int            `json:"lost"`
	P99      units.Duration `json:"p99"`
}

// String formats the progress as one line.
func (p Progress) String() string {
	return fmt.Sprintf("%s: %d of %d sent, %d open, %d answered, %d refused, %d lost, p99 %s",
		p.Elapsed.Rounded(), p.Sent, p.Arrivals, p.Open, p.Answered, p.Refused, p.Lost, p.P99)
}

// Quantiles holds quantiles of the latency, from the intended start of a query to its answer or refusal, to three significant digits.
type Quantiles struct {
	P50  units.Duration `json:"p50"`
	P99  units.Duration `json:"p99"`
	P999 units.Duration `json:"p999"`
	Max  units.Duration `json:"max"`
}

// Coverage holds the share of shards, from 0 to 1, that the answers of answered queries cover.
type Coverage struct {
	Mean   float64 `json:"mean"`
	Lowest float64 `json:"lowest"`
	// Whole is the share of answers that cover all shards.
	Whole float64 `json:"whole"`
}

// Load holds ratios of sub-requests to targets; both are zero if the system under test doesn't report them.
type Load struct {
	// Extra is the number of sub-requests from hedges, retries and replanning per planned sub-request.
	Extra float64 `json:"extra"`
	// Shard is the number of all sub-requests per requested shard; one sub-request may cover several shards.
	Shard float64 `json:"shard"`
}

// Report holds the results of one run.
type Report struct {
	Plan     Plan           `json:"plan"`
	Elapsed  units.Duration `json:"elapsed"`
	Arrivals int            `json:"arrivals"`
	// Unsent counts the arrivals whose queries were not sent before the run ended, because Plan.Cap queries were in flight or the run was cancelled.
	Unsent   int `json:"unsent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Refusals counts the refused queries by the kind of the refusal.
	Refusals map[string]int `json:"refusals"`
	// Lost counts the queries that got neither an answer nor a refusal, Wrong those that got an incorrect answer.
	Lost  int `json:"lost"`
	Wrong int `json:"wrong"`
	// Answers holds the latency of answers, Refusal that of refusals.
	Answers  Quantiles `json:"answers"`
	Refusal  Quantiles `json:"refusal"`
	Coverage Coverage  `json:"coverage"`
	Load     Load      `json:"load"`
}

// Save writes the report to a file as JSON.
func (r *Report) Save(name string) error {
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(name, append(body, '\n'), 0o644), "save report")
}

// Read reads a saved report.
func Read(name string) (*Report, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read report")
	}
	var r Report
	return &r, eris.Wrapf(json.Unmarshal(body, &r), "decode %s", name)
}

// tableRow is one row of a report table: a figure as text and as a number, from which Compare takes the ratio; zero means that there is none.
type tableRow struct {
	label  string
	text   string
	number float64
}

// countRow returns the row of an integer.
func countRow(label string, n int) tableRow {
	return tableRow{label: label, text: fmt.Sprint(n), number: float64(n)}
}

// durationRow returns the row of a duration.
func durationRow(label string, d units.Duration) tableRow {
	return tableRow{label: label, text: d.String(), number: float64(d)}
}

// shareRow returns the row of a fraction or ratio.
func shareRow(label string, f float64) tableRow {
	return tableRow{label: label, text: fmt.Sprintf("%.4f", f), number: f}
}

// tableRows returns the rows of the report's table; refusals have one row for each kind.
func (r *Report) tableRows() []tableRow {
	rows := []tableRow{
		countRow("arrivals", r.Arrivals),
		countRow("unsent", r.Unsent),
		countRow("answered", r.Answered),
		countRow("refused", r.Refused),
	}
	for _, k := range slices.Sorted(maps.Keys(r.Refusals)) {
		rows = append(rows, countRow("  "+k, r.Refusals[k]))
	}
	rows = append(rows,
		countRow("lost", r.Lost),
		countRow("wrong", r.Wrong),
		durationRow("p50", r.Answers.P50),
		durationRow("p99", r.Answers.P99),
		durationRow("p99.9", r.Answers.P999),
		durationRow("slowest", r.Answers.Max),
		durationRow("refusal p99", r.Refusal.P99),
		shareRow("coverage", r.Coverage.Mean),
		shareRow("  lowest", r.Coverage.Lowest),
		shareRow("  whole answers", r.Coverage.Whole),
	)
	if r.Load.Shard == 0 {
		return append(rows, tableRow{label: "extra load", text: "not known"})
	}
	return append(rows, shareRow("extra load", r.Load.Extra), shareRow("  sub-requests per shard", r.Load.Shard))
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "run\t%s\n", r.Plan.Name)
	for _, w := range r.tableRows() {
		fmt.Fprintf(t, "%s\t%s\n", w.label, w.text)
	}
	return t.Flush()
}

// Compare writes a table of the report next to an earlier one, with the ratio of each figure to the earlier figure.
func (r *Report) Compare(out io.Writer, earlier *Report) error {
	earlierRows := map[string]tableRow{}
	for _, w := range earlier.tableRows() {
		earlierRows[w.label] = w
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "run\t%s\t%s\tratio\n", earlier.Plan.Name, r.Plan.Name)
	for _, w := range r.tableRows() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", w.label, orDash(earlierRows[w.label].text), w.text, formatRatio(earlierRows[w.label], w))
		delete(earlierRows, w.label)
	}
	for _, label := range slices.Sorted(maps.Keys(earlierRows)) {
		fmt.Fprintf(t, "%s\t%s\t-\t-\n", label, earlierRows[label].text)
	}
	return t.Flush()
}

// orDash returns "-" in place of an empty string.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatRatio formats the ratio of two rows' numbers, "-" if the earlier one is zero.
func formatRatio(before, after tableRow) string {
	if before.number == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", after.number/before.number)
}
