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

// Status says whether a job is final.
type Status string

// The values of Status.
const (
	Complete Status = "complete"
	Failed   Status = "failed"
	Pending  Status = "pending"
)

// JobAnswer is the answer to a submission, a fetch or a cancellation. Error is
// present only when Status is Failed; Results only when it is Complete, one per
// task in the order of the tasks, in base64.
type JobAnswer struct {
	ID      job.ID    `json:"id"`
	Attempt int       `json:"attempt"`
	Status  Status    `json:"status"`
	Error   *JobError `json:"error,omitempty"`
	Results [][]byte  `json:"results,omitempty"`
}

// JobError says why a job failed.
type JobError struct {
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
	// RetryAfterMillis is absent when no time is known.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// States has one state per task when the job was admitted.
	States []job.TaskState `json:"states,omitempty"`
}

// NewJobAnswer returns the JSON form of a reply.
func NewJobAnswer(r *entry.Reply) JobAnswer {
	a := JobAnswer{ID: r.Answer.ID, Attempt: r.Answer.Attempt}
	switch {
	case r.Pending:
		a.Status = Pending
	case r.Answer.Complete():
		a.Status = Complete
		a.Results = withoutNil(r.Answer.Results)
	default:
		a.Status = Failed
		a.Error = &JobError{
			Kind:             r.Answer.Kind,
			Detail:           r.Answer.Detail,
			RetryAfterMillis: ceil(r.Answer.RetryAfter, time.Millisecond),
			States:           r.Answer.States,
		}
	}
	return a
}

// withoutNil replaces absent bodies by empty ones, which are "" in JSON.
func withoutNil(results [][]byte) [][]byte {
	out := make([][]byte, len(results))
	for i, body := range results {
		out[i] = append([]byte{}, body...)
	}
	return out
}

// httpStatus returns the HTTP status of an answer.
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

// write sends the answer with its Retry-After header.
func (a *JobAnswer) write(c echo.Context, status int) error {
	if a.Error != nil && a.Error.RetryAfterMillis > 0 {
		wait := time.Duration(a.Error.RetryAfterMillis) * time.Millisecond
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(ceil(wait, time.Second), 10))
	}
	if a.Status == Pending {
		c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+string(a.ID))
	}
	return httpserver.WriteJSON(c, status, a)
}

// ceil returns d in units, rounded up.
func ceil(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}
