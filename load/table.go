package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes the results as a table by team, followed by a summary line.
func (r *Result) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tshare\trequests\tanswered\tnot run\tunknown\twrong\tretries\tservice s\tlatency p50\tlatency p99\t")
	for _, t := range r.Teams {
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%v\t%v\t\n",
			t.Name, t.Share, t.Requests, t.Outcomes[Answered], t.Outcomes[NotRun], t.Outcomes[Unknown],
			t.Outcomes[Wrong], t.Retries, t.Service,
			t.LatencyP50.Round(time.Millisecond/10), t.LatencyP99.Round(time.Millisecond/10))
	}
	_ = w.Flush()
	fmt.Fprintf(out, "fairness gap %.2f slot seconds per share, control traffic %.0f bytes per second per router, keys run more than once %d, keys run despite not-run %d\n",
		r.FairnessGap, r.ControlBytesPerSecond, len(r.RepeatedRuns), len(r.FalseNotRun))
}
