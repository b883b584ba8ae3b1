package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/labstack/echo/v4"
)

// maxPayload bounds the body of a task request, in bytes.
const maxPayload = 1 << 20

// Payload is a task payload that sets the duration of the task. The payload may
// have further fields.
type Payload struct {
	// Millis is the duration in milliseconds.
	Millis int64 `json:"ms"`
	// File is the absolute path of a file. The duration begins when the file exists.
	// Without it, it begins at once.
	File string `json:"file,omitempty"`
	// Tag makes the payload of a task unique.
	Tag string `json:"tag,omitempty"`
}

// Result is the body of an answer. It depends on the request alone, so that a
// caller can distinguish its own results from those of other tasks.
type Result struct {
	Job    job.ID `json:"job"`
	Index  int    `json:"index"`
	Digest string `json:"digest"`
}

// ExpectedAnswer returns the body with which an Upstream answers a task.
func ExpectedAnswer(id job.ID, index int, payload []byte) []byte {
	sum := sha256.Sum256(payload)
	body, err := json.Marshal(Result{Job: id, Index: index, Digest: hex.EncodeToString(sum[:8])})
	if err != nil {
		panic(err) // a Result always encodes
	}
	return body
}

// handleTask serves POST /v1/tasks.
func (u *Upstream) handleTask(c echo.Context) error {
	faults := u.currentFaults()
	if faults.Refuse {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	req := c.Request()
	index, err := strconv.Atoi(req.Header.Get(HeaderTask))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "bad task index")
	}
	attempt, err := strconv.Atoi(req.Header.Get(HeaderAttempt))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "bad attempt")
	}
	payload, err := io.ReadAll(http.MaxBytesReader(c.Response(), req.Body, maxPayload))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	start := Start{Job: job.ID(req.Header.Get(HeaderJob)), Attempt: attempt, Index: index, Domain: u.cfg.Domain}
	if u.cfg.Ledger != nil {
		u.cfg.Ledger.recordStart(start, time.Now())
	}
	return u.runTask(c, faults, start, payload)
}

// runTask waits for the task's duration and answers. The task continues when the
// agent closes the connection.
func (u *Upstream) runTask(c echo.Context, faults Faults, start Start, payload []byte) error {
	if faults.FailAll {
		return echo.NewHTTPError(http.StatusInternalServerError, "this upstream fails every task")
	}
	work, file := u.taskDuration(payload)
	if faults.SlowFactor > 0 {
		work = time.Duration(float64(work) * faults.SlowFactor)
	}
	if !u.runLimited(func() bool { return awaitFile(u.ctx, file) && sleep(u.ctx, work) }) || u.currentFaults().DropAnswers {
		panic(http.ErrAbortHandler)
	}
	if u.cfg.Ledger != nil {
		u.cfg.Ledger.recordAnswer()
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, ExpectedAnswer(start.Job, start.Index, payload))
}

// taskDuration returns the duration that the payload sets, or Config.DefaultTaskDuration,
// and the file at whose creation it begins.
func (u *Upstream) taskDuration(payload []byte) (time.Duration, string) {
	var p Payload
	if err := json.Unmarshal(payload, &p); err != nil || p.Millis <= 0 {
		return u.cfg.DefaultTaskDuration, p.File
	}
	return time.Duration(p.Millis) * time.Millisecond, p.File
}

// filePoll is the time between two looks for Payload.File.
const filePoll = 20 * time.Millisecond

// awaitFile waits until the file exists. It reports false if ctx ended before that. An
// empty path stands for no file.
func awaitFile(ctx context.Context, path string) bool {
	if path == "" {
		return true
	}
	for {
		if _, err := os.Stat(path); err == nil {
			return true
		}
		if !sleep(ctx, filePoll) {
			return false
		}
	}
}
