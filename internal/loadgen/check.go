package loadgen

import (
	"bytes"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

// verdict is what a check of one answer found.
type verdict int

const (
	good verdict = iota
	// partial: the answer is neither whole nor failed.
	partial
	// misdelivered: the answer has content of another job or task.
	misdelivered
)

// check counts faults of one answer and tells the ledger what it claims.
func (c *call) check(r *httpapi.JobRequest, a *httpapi.JobAnswer) {
	switch judge(r, a) {
	case partial:
		c.g.recorder.count(func(counts *Counts) { counts.PartialAnswers++ })
	case misdelivered:
		c.g.recorder.count(func(counts *Counts) { counts.MisdeliveredAnswers++ })
	}
	if a.Error == nil || a.ID == "" {
		return
	}
	if nothingStarted(a.Error.Kind) {
		c.g.target.Ledger.ToldNotRun(a.ID, r.Attempt)
	}
	for i, state := range a.Error.States {
		if state == job.NotRun {
			c.g.target.Ledger.ToldTaskNotRun(a.ID, r.Attempt, i)
		}
	}
}

// judge compares an answer with its request.
func judge(r *httpapi.JobRequest, a *httpapi.JobAnswer) verdict {
	if r.ID != "" && a.ID != "" && a.ID != r.ID {
		return misdelivered
	}
	switch a.Status {
	case httpapi.Complete:
		return judgeResults(r, a)
	case httpapi.Failed:
		if a.Error == nil || len(a.Results) > 0 {
			return partial
		}
		return good
	case httpapi.Pending:
		return good
	}
	if a.Error != nil && len(a.Results) == 0 {
		return good
	}
	return partial
}

func judgeResults(r *httpapi.JobRequest, a *httpapi.JobAnswer) verdict {
	if len(a.Results) != len(r.Tasks) || a.Error != nil {
		return partial
	}
	for i := range r.Tasks {
		if !bytes.Equal(a.Results[i], upstream.Expect(a.ID, i, r.Tasks[i].Payload)) {
			return misdelivered
		}
	}
	return good
}
