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

// Progress is what is known while a run goes on.
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

// String returns the progress as one line.
func (p Progress) String() string {
	return fmt.Sprintf("%s: %d of %d sent, %d open, %d answered, %d refused, %d lost, p99 %s",
		p.Elapsed.Rounded(), p.Sent, p.Arrivals, p.Open, p.Answered, p.Refused, p.Lost, p.P99)
}

// Quantiles are latencies from the intended start to the final answer, to three digits.
type Quantiles struct {
	P50  units.Duration `json:"p50"`
	P99  units.Duration `json:"p99"`
	P999 units.Duration `json:"p999"`
	Max  units.Duration `json:"max"`
}

// Coverage gives shares from 0 to 1 over the answered queries.
type Coverage struct {
	Mean   float64 `json:"mean"`
	Lowest float64 `json:"lowest"`
	// Whole is the share of answers with all shards.
	Whole float64 `json:"whole"`
}

// Load gives sub-requests to targets; both figures are zero where the system doesn't say.
type Load struct {
	// Extra is the number of hedges, retries and new plans per planned sub-request.
	Extra float64 `json:"extra"`
	// Shard is the number of all sub-requests per shard asked; one sub-request may ask for several shards.
	Shard float64 `json:"shard"`
}

// Report is the outcome of one run.
type Report struct {
	Plan     Plan           `json:"plan"`
	Elapsed  units.Duration `json:"elapsed"`
	Arrivals int            `json:"arrivals"`
	// Unsent counts the arrivals that found no room before the run ended.
	Unsent   int            `json:"unsent"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"`
	Refusals map[string]int `json:"refusals"`
	// Lost counts the queries without a final answer, Wrong those with the answer to another query.
	Lost     int       `json:"lost"`
	Wrong    int       `json:"wrong"`
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

// Read reads a report that was saved.
func Read(name string) (*Report, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read report")
	}
	var r Report
	return &r, eris.Wrapf(json.Unmarshal(body, &r), "decode %s", name)
}

// row is one line of the table: a figure by itself and, where two can be divided, as a number.
type row struct {
	name   string
	text   string
	number float64
}

func count(name string, n int) row {
	return row{name: name, text: fmt.Sprint(n), number: float64(n)}
}

func duration(name string, d units.Duration) row {
	return row{name: name, text: d.String(), number: float64(d)}
}

func share(name string, f float64) row {
	return row{name: name, text: fmt.Sprintf("%.4f", f), number: f}
}

func (r *Report) rows() []row {
	rows := []row{
		count("arrivals", r.Arrivals),
		count("unsent", r.Unsent),
		count("answered", r.Answered),
		count("refused", r.Refused),
	}
	for _, k := range slices.Sorted(maps.Keys(r.Refusals)) {
		rows = append(rows, count("  "+k, r.Refusals[k]))
	}
	rows = append(rows,
		count("lost", r.Lost),
		count("wrong", r.Wrong),
		duration("p50", r.Answers.P50),
		duration("p99", r.Answers.P99),
		duration("p99.9", r.Answers.P999),
		duration("slowest", r.Answers.Max),
		duration("refusal p99", r.Refusal.P99),
		share("coverage", r.Coverage.Mean),
		share("  lowest", r.Coverage.Lowest),
		share("  whole answers", r.Coverage.Whole),
	)
	if r.Load.Shard == 0 {
		return append(rows, row{name: "extra load", text: "not known"})
	}
	return append(rows, share("extra load", r.Load.Extra), share("  sub-requests per shard", r.Load.Shard))
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "run\t%s\n", r.Plan.Name)
	for _, w := range r.rows() {
		fmt.Fprintf(t, "%s\t%s\n", w.name, w.text)
	}
	return t.Flush()
}

// Compare writes the report beside an earlier one, with the ratio of each figure to the earlier one.
func (r *Report) Compare(out io.Writer, earlier *Report) error {
	before := map[string]row{}
	for _, w := range earlier.rows() {
		before[w.name] = w
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "run\t%s\t%s\tratio\n", earlier.Plan.Name, r.Plan.Name)
	for _, w := range r.rows() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", w.name, orDash(before[w.name].text), w.text, ratio(before[w.name], w))
		delete(before, w.name)
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		fmt.Fprintf(t, "%s\t%s\t-\t-\n", name, before[name].text)
	}
	return t.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func ratio(before, after row) string {
	if before.number == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", after.number/before.number)
}
