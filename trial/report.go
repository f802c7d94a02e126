package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Write writes a table of results; ratios are to the run of the same policy without a fault.
func Write(w io.Writer, results []*Result) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "policy\tfault\tqueries\tp50\tp99\tp99.9\tp99 ratio\tcoverage\tlowest\twhole\textra\tshed\trefused\tlost\twrong")
	calm := map[string]time.Duration{}
	for _, r := range results {
		l := r.Load
		if r.Fault == NoFault {
			calm[r.Policy] = l.Answers.P99.D()
		}
		ratio := "-"
		if base := calm[r.Policy]; base > 0 {
			ratio = fmt.Sprintf("%.2f", l.Answers.P99.D().Seconds()/base.Seconds())
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.5f\t%.3f\t%.4f\t%.2f%%\t%d\t%d\t%d\t%d\n",
			r.Policy, r.Fault, l.Answered, millis(l.Answers.P50.D()), millis(l.Answers.P99.D()), millis(l.Answers.P999.D()), ratio,
			l.Coverage.Mean, l.Coverage.Lowest, l.Coverage.Whole, 100*r.ExtraShare(), r.Shed, l.Refused, l.Lost, l.Wrong)
	}
	return out.Flush()
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
