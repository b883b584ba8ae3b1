package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a table with one row for each report, for comparing policies or
// faults with the same seed.
func WriteTable(out io.Writer, reports []Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tfaults\tpolicy\tseed\tjobs\tcompleted\tduring fault\turgent p50\turgent p99\tall p99\tmessages/task\twasted/task\tin force s\tbroken")
	for i := range reports {
		writeRow(w, &reports[i])
	}
	return w.Flush()
}

func writeRow(w io.Writer, r *Report) {
	policy := r.Policy
	if policy == "" {
		policy = "default"
	}
	during := "-"
	if r.CompletedDuringFaultFraction != nil {
		during = fmt.Sprintf("%.3f", *r.CompletedDuringFaultFraction)
	}
	urgent := r.ByClass[0]
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.3f\t%s\t%.3f\t%.3f\t%.3f\t%.2f\t%.3f\t%.2f\t%d\n",
		r.Scenario, strings.Join(r.Faults, "+"), policy, r.Seed, r.Jobs, r.CompletedFraction, during,
		urgent.P50, urgent.P99, r.P99, r.MessagesPerTask, r.WastedMessagesPerTask, r.MaxInForceSeconds, r.violationCount())
}
