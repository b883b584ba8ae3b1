package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

// Status states whether a job has its final answer, and whether it succeeded.
type Status string

// The values of Status.
const (
	Complete Status = "complete"
	Failed   Status = "failed"
	Pending  Status = "pending"
)

// JobAnswer is the answer to a submission, a fetch or a cancellation. Error is
// present only when Status is Failed. Results is present only when Status is
// Complete: one result per task in the order of the tasks, base64 in JSON.
type JobAnswer struct {
	ID      job.ID    `json:"id"`
	Attempt int       `json:"attempt"`
	Status  Status    `json:"status"`
	Error   *JobError `json:"error,omitempty"`
	Results [][]byte  `json:"results,omitempty"`
}

// JobError states why a job failed.
type JobError struct {
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
	// RetryAfterMillis is how long the caller should wait before it submits the job
	// again. It is absent when no time is known.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// States has one state per task. It is absent when the job was not admitted.
	States []job.TaskState `json:"states,omitempty"`
}

// NewJobAnswer returns the answer that encodes a reply of the core.
func NewJobAnswer(r *entry.Reply) JobAnswer {
	a := JobAnswer{ID: r.Answer.ID, Attempt: r.Answer.Attempt}
	switch {
	case r.Pending:
		a.Status = Pending
	case r.Answer.Complete():
		a.Status = Complete
		a.Results = nilToEmpty(r.Answer.Results)
	default:
		a.Status = Failed
		a.Error = &JobError{
			Kind:             r.Answer.Kind,
			Detail:           r.Answer.Detail,
			RetryAfterMillis: unitsRoundedUp(r.Answer.RetryAfter, time.Millisecond),
			States:           r.Answer.States,
		}
	}
	return a
}

// nilToEmpty returns the results with nil replaced by empty bodies, because nil
// would become null in JSON, and callers expect "".
func nilToEmpty(results [][]byte) [][]byte {
	out := make([][]byte, len(results))
	for i, body := range results {
		out[i] = append([]byte{}, body...)
	}
	return out
}

// httpStatus returns the HTTP status code of an answer. For a failed job, the table
// of package errkind gives it.
func (a *JobAnswer) httpStatus() int {
	switch a.Status {
	case Pending:
		return http.StatusAccepted
	case Complete:
		return http.StatusOK
	}
	if row, ok := errkind.Lookup(a.Error.Kind); ok {
		return row.Status
	}
	return http.StatusInternalServerError
}

// write sends the answer with its Retry-After and Location headers, if any.
func (a *JobAnswer) write(c echo.Context, status int) error {
	if a.Error != nil && a.Error.RetryAfterMillis > 0 {
		wait := time.Duration(a.Error.RetryAfterMillis) * time.Millisecond
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(unitsRoundedUp(wait, time.Second), 10))
	}
	if a.Status == Pending {
		c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+string(a.ID))
	}
	return httpserver.WriteJSON(c, status, a)
}

// unitsRoundedUp returns d as a number of units, rounded up.
func unitsRoundedUp(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}
