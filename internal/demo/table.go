package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/loadgen"
)

// writeTable writes the summary as text.
func writeTable(out io.Writer, s *Summary, result *loadgen.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\nclass\tcomplete jobs\tresponse over ideal p50\tp99\n")
	for _, class := range job.Classes {
		q := result.Ratios(func(o *loadgen.Outcome) bool { return o.Class == class })
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\n", class, q.Jobs, q.P50, q.P99)
	}
	fmt.Fprintf(w, "\njobs\ttasks\tstarts\tresubmissions\tcomplete\tfailed\n")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n", s.Jobs, s.Tasks, s.Starts, s.Resubmissions, s.Complete, s.Failed)
	fmt.Fprintf(w, "\nviolations, counted by upstreams and clients\t\n")
	for _, row := range []struct {
		name  string
		count int
	}{
		{"tasks started twice", s.DuplicateStarts},
		{"partial answers", s.PartialAnswers},
		{"answers of another job", s.MisdeliveredAnswers},
		{"untrue refusals", s.UntrueNotRun},
		{"late starts in the domain that was out", s.LateDomainStarts},
		{"requests cut off", s.CutOffRequests},
	} {
		fmt.Fprintf(w, "  %s\t%d\n", row.name, row.count)
	}
	fmt.Fprintf(w, "\nfinished in %.1f s\n", s.ElapsedSeconds)
	return w.Flush()
}
