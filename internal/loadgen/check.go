package loadgen

import (
	"bytes"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// validity is the result of the check of one answer.
type validity int

const (
	valid validity = iota
	// partial: the answer is neither pending, nor a failure without results, nor a success
	// with all results.
	partial
	// misdelivered: the answer contains the ID or a result of another job or task.
	misdelivered
)

// checkAnswer counts an invalid answer, and reports to the ledger the tasks that have not
// run according to the answer.
func (c *call) checkAnswer(r *httpapi.JobRequest, a *httpapi.JobAnswer) {
	switch validateAnswer(r, a) {
	case partial:
		c.g.recorder.count(func(counts *Counts) { counts.PartialAnswers++ })
	case misdelivered:
		c.g.recorder.count(func(counts *Counts) { counts.MisdeliveredAnswers++ })
	}
	if a.Error == nil || a.ID == "" {
		return
	}
	if nothingStarted(a.Error.Kind) {
		c.g.target.Ledger.RecordNotRun(a.ID, r.Attempt)
	}
	for i, state := range a.Error.States {
		if state == job.NotRun {
			c.g.target.Ledger.RecordTaskNotRun(a.ID, r.Attempt, i)
		}
	}
}

// validateAnswer compares an answer with its request.
func validateAnswer(r *httpapi.JobRequest, a *httpapi.JobAnswer) validity {
	if r.ID != "" && a.ID != "" && a.ID != r.ID {
		return misdelivered
	}
	switch a.Status {
	case httpapi.Complete:
		return validateResults(r, a)
	case httpapi.Failed:
		if a.Error == nil || len(a.Results) > 0 {
			return partial
		}
		return valid
	case httpapi.Pending:
		return valid
	}
	if a.Error != nil && len(a.Results) == 0 {
		return valid
	}
	return partial
}

// validateResults compares the results of a complete answer with the expected ones.
func validateResults(r *httpapi.JobRequest, a *httpapi.JobAnswer) validity {
	if len(a.Results) != len(r.Tasks) || a.Error != nil {
		return partial
	}
	for i := range r.Tasks {
		if !bytes.Equal(a.Results[i], upstream.ExpectedAnswer(a.ID, i, r.Tasks[i].Payload)) {
			return misdelivered
		}
	}
	return valid
}
