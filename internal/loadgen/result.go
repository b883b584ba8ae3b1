package loadgen

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Outcome is the final result of one job.
type Outcome struct {
	// At is the intended arrival, since the start of the run.
	At    time.Duration
	Class job.Class
	Tasks int
	// ErrorKind is errkind.None for a complete answer.
	ErrorKind errkind.Kind
	// Detail is the text of the error.
	Detail string
	// Source is where the job's ID came from.
	Source IDSource
	// Unanswered is true if no final answer came in time.
	Unanswered bool
	// Cancelled is true if the plan cancels the job, NeverRuns if no upstream can run it.
	Cancelled, NeverRuns bool
	// Refusals counts the submissions that were refused and could be repeated.
	Refusals int
	// Response is the time from the intended arrival to the final answer, IdealResponse the
	// same time in an idle system. AdmittedResponse is Response without the time before the
	// last submission, if earlier submissions were refused.
	Response, IdealResponse, AdmittedResponse time.Duration
}

// Complete reports whether the job was answered with all results.
func (o *Outcome) Complete() bool { return !o.Unanswered && o.ErrorKind == errkind.None }

// Counts are the totals of a run of the load generator.
type Counts struct {
	Jobs, Tasks int
	// Complete, Failed and Unanswered count jobs by their outcome.
	Complete, Failed, Unanswered int
	// NotRun and OutcomeUnknown count the failed jobs with these error kinds.
	NotRun, OutcomeUnknown int
	// Resubmissions counts the requests of each job beyond its first submission,
	// including those after a refusal and cancellations.
	Resubmissions int
	// Refusals counts submissions that were refused and could be repeated. UnpacedRefusals
	// counts those of them whose answer had no retry_after_ms.
	Refusals, UnpacedRefusals int
	// PartialAnswers counts answers that are neither a failure without results nor a
	// success with all results.
	PartialAnswers int
	// MisdeliveredAnswers counts answers with the ID or a result of another job or task.
	MisdeliveredAnswers int
	// CutOffRequests counts requests whose connection closed before the answer.
	CutOffRequests int
}

// FailureCount is the number of jobs that failed with the same error and ID source.
type FailureCount struct {
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
	Source IDSource     `json:"id_source"`
	Count  int          `json:"count"`
}

// Result holds the counts and outcomes of a run of the load generator.
type Result struct {
	Counts   Counts
	Outcomes []Outcome
	// SlowestRefusal is the longest time from a submission to its refusal.
	SlowestRefusal time.Duration
	// Errors holds the first maxErrors errors that are not connection errors, for example
	// answers that cannot be decoded.
	Errors []string
}

// maxErrors bounds Result.Errors.
const maxErrors = 10

// recorder builds a Result from many goroutines.
type recorder struct {
	mu     sync.Mutex
	result Result
}

func (r *recorder) count(add func(c *Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.result.Counts)
}

// addError records the text of an error of the client.
func (r *recorder) addError(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Errors) < maxErrors {
		r.result.Errors = append(r.result.Errors, text)
	}
}

// addRefusal records a submission that was refused after d. paced is true if the answer
// set a time for the retry.
func (r *recorder) addRefusal(d time.Duration, paced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Counts.Refusals++
	if !paced {
		r.result.Counts.UnpacedRefusals++
	}
	r.result.SlowestRefusal = max(r.result.SlowestRefusal, d)
}

func (r *recorder) addOutcome(o Outcome) {
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
	switch o.ErrorKind {
	case errkind.NotRun:
		c.NotRun++
	case errkind.OutcomeUnknown:
		c.OutcomeUnknown++
	}
	r.result.Outcomes = append(r.result.Outcomes, o)
}

// maxFailures bounds the result of Failures.
const maxFailures = 20

// Failures returns up to maxFailures failures, the most frequent first.
func (r *Result) Failures() []FailureCount {
	var counts []FailureCount
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.ErrorKind != errkind.None {
			counts = countFailure(counts, FailureCount{Kind: o.ErrorKind, Detail: o.Detail, Source: o.Source})
		}
	}
	slices.SortStableFunc(counts, func(a, b FailureCount) int { return b.Count - a.Count })
	return counts[:min(len(counts), maxFailures)]
}

// countFailure adds one to the count of a failure.
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

// ratioScale converts a ratio to the integer that the histogram records, in thousandths.
const ratioScale = 1000

// RatioQuantiles are quantiles of the response time divided by Outcome.IdealResponse. They
// are zero if there is no complete job.
type RatioQuantiles struct {
	P50, P99, P999 float64
	// Jobs is the number of complete jobs.
	Jobs int
}

// Ratios returns the quantiles of Response over the complete jobs that keep selects.
func (r *Result) Ratios(keep func(o *Outcome) bool) RatioQuantiles {
	return r.quantiles(keep, func(o *Outcome) time.Duration { return o.Response })
}

// AdmittedRatios is like Ratios, but for AdmittedResponse: the time before the last
// submission does not count if earlier submissions were refused.
func (r *Result) AdmittedRatios(keep func(o *Outcome) bool) RatioQuantiles {
	return r.quantiles(keep, func(o *Outcome) time.Duration { return o.AdmittedResponse })
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
		ratio := float64(response(o)) / float64(o.IdealResponse)
		_ = h.RecordValue(min(int64(ratio*ratioScale), highest))
		q.Jobs++
	}
	at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / ratioScale }
	if q.Jobs > 0 {
		q.P50, q.P99, q.P999 = at(50), at(99), at(99.9)
	}
	return q
}
