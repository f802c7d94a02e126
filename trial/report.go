package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Write writes a table of results. The p99 ratio compares a run with the run of the same policy without a fault, which must precede it.
func Write(w io.Writer, results []*Result) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "policy\tfault\tqueries\tp50\tp99\tp99.9\tp99 ratio\tcoverage\tlowest\twhole\textra\tshed\trefused\tlost\twrong")
	baseline := map[string]time.Duration{}
	for _, r := range results {
		l := r.Load
		if r.Fault == NoFault {
			baseline[r.Policy] = l.Answers.P99.D()
		}
		ratio := "-"
		if base := baseline[r.Policy]; base > 0 {
			ratio = fmt.Sprintf("%.2f", l.Answers.P99.D().Seconds()/base.Seconds())
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.5f\t%.3f\t%.4f\t%.2f%%\t%d\t%d\t%d\t%d\n",
			r.Policy, r.Fault, l.Answered, formatMillis(l.Answers.P50.D()), formatMillis(l.Answers.P99.D()), formatMillis(l.Answers.P999.D()), ratio,
			l.Coverage.Mean, l.Coverage.Lowest, l.Coverage.Whole, 100*r.ExtraShare(), r.Shed, l.Refused, l.Lost, l.Wrong)
	}
	return out.Flush()
}

// formatMillis formats a duration in milliseconds with one decimal.
func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
