package loadgen

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Outcome is what became of one job.
type Outcome struct {
	At    time.Duration
	Class job.Class
	Tasks int
	// Kind is errkind.None for a complete answer.
	Kind errkind.Kind
	// Detail is the text that came with Kind.
	Detail string
	// Source says where the job's ID came from.
	Source IDSource
	// Unanswered is true when no final answer came.
	Unanswered bool
	// Cancelled is true when the caller cancelled the job, NeverRuns when no
	// upstream could run it.
	Cancelled, NeverRuns bool
	// Refusals counts the submissions that were refused with nothing started.
	Refusals int
	// Response is the time from the intended arrival to the final answer, Ideal
	// that of an idle system. Admitted is the part of Response that began with
	// the submission which was not refused.
	Response, Ideal, Admitted time.Duration
}

// Complete reports whether the whole answer came.
func (o *Outcome) Complete() bool { return !o.Unanswered && o.Kind == errkind.None }

// Counts are the totals of a run.
type Counts struct {
	Jobs, Tasks int
	// Complete, Failed and Unanswered count jobs by their outcome.
	Complete, Failed, Unanswered int
	// NotRun and OutcomeUnknown are part of Failed.
	NotRun, OutcomeUnknown int
	// Resubmissions counts submissions beyond the first of each job, those after
	// a refusal included.
	Resubmissions int
	// Refusals counts submissions that were refused and could be repeated, and
	// Unpaced those among them whose answer named no time to come back.
	Refusals, Unpaced int
	// PartialAnswers counts answers that are neither whole nor failed.
	PartialAnswers int
	// MisdeliveredAnswers counts answers with content of another job or task.
	MisdeliveredAnswers int
	// CutOffRequests counts requests whose connection ended before the answer.
	CutOffRequests int
}

// FailureCount is the number of jobs that failed in one way.
type FailureCount struct {
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
	Source IDSource     `json:"id_source"`
	Count  int          `json:"count"`
}

// Result is the record of a run.
type Result struct {
	Counts   Counts
	Outcomes []Outcome
	// SlowestRefusal is the longest time from a submission to its refusal.
	SlowestRefusal time.Duration
	// Errors holds the first few errors of the client itself.
	Errors []string
}

// maxErrors bounds Result.Errors.
const maxErrors = 10

// recorder gathers a Result from many goroutines.
type recorder struct {
	mu     sync.Mutex
	result Result
}

func (r *recorder) count(add func(c *Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.result.Counts)
}

func (r *recorder) fault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Errors) < maxErrors {
		r.result.Errors = append(r.result.Errors, text)
	}
}

// refusal notes a submission that was refused after d.
func (r *recorder) refusal(d time.Duration, paced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Counts.Refusals++
	if !paced {
		r.result.Counts.Unpaced++
	}
	r.result.SlowestRefusal = max(r.result.SlowestRefusal, d)
}

func (r *recorder) outcome(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.result.Counts
	c.Jobs++
	c.Tasks += o.Tasks
	switch {
	case o.Unanswered:
		c.Unanswered++
	case o.Complete():
		c.Complete++
	default:
		c.Failed++
	}
	switch o.Kind {
	case errkind.NotRun:
		c.NotRun++
	case errkind.OutcomeUnknown:
		c.OutcomeUnknown++
	}
	r.result.Outcomes = append(r.result.Outcomes, o)
}

// maxFailures bounds the list of Failures.
const maxFailures = 20

// Failures returns the most frequent failures, the most frequent first.
func (r *Result) Failures() []FailureCount {
	var counts []FailureCount
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.Kind != errkind.None {
			counts = countFailure(counts, FailureCount{Kind: o.Kind, Detail: o.Detail, Source: o.Source})
		}
	}
	slices.SortStableFunc(counts, func(a, b FailureCount) int { return b.Count - a.Count })
	return counts[:min(len(counts), maxFailures)]
}

func countFailure(counts []FailureCount, f FailureCount) []FailureCount {
	for i := range counts {
		c := &counts[i]
		if c.Kind == f.Kind && c.Detail == f.Detail && c.Source == f.Source {
			c.Count++
			return counts
		}
	}
	f.Count = 1
	return append(counts, f)
}

// ratioScale is the resolution of the histogram of ratios.
const ratioScale = 1000

// RatioQuantiles are quantiles of response over ideal. Zero means no job.
type RatioQuantiles struct {
	P50, P99, P999 float64
	// Jobs is the number of complete jobs.
	Jobs int
}

// Ratios returns the quantiles over the complete jobs that keep selects.
func (r *Result) Ratios(keep func(o *Outcome) bool) RatioQuantiles {
	return r.quantiles(keep, func(o *Outcome) time.Duration { return o.Response })
}

// AdmittedRatios is Ratios of the response to the submission of each job that
// was not refused.
func (r *Result) AdmittedRatios(keep func(o *Outcome) bool) RatioQuantiles {
	return r.quantiles(keep, func(o *Outcome) time.Duration { return o.Admitted })
}

func (r *Result) quantiles(keep func(o *Outcome) bool, response func(o *Outcome) time.Duration) RatioQuantiles {
	const lowest, highest, digits = 1, 10_000_000, 3
	h := hdrhistogram.New(lowest, highest, digits)
	q := RatioQuantiles{}
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if !o.Complete() || !keep(o) {
			continue
		}
		ratio := float64(response(o)) / float64(o.Ideal)
		_ = h.RecordValue(min(int64(ratio*ratioScale), highest))
		q.Jobs++
	}
	at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / ratioScale }
	if q.Jobs > 0 {
		q.P50, q.P99, q.P999 = at(50), at(99), at(99.9)
	}
	return q
}
