package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/labstack/echo/v4"
)

// maxPayload bounds the body of a task request.
const maxPayload = 1 << 20

// Payload is the form of payload that sets the duration of a task. Fields
// beside it are allowed.
type Payload struct {
	// Millis is the duration in milliseconds.
	Millis int64 `json:"ms"`
	// Tag makes the payload of a task unlike others.
	Tag string `json:"tag,omitempty"`
}

// Result is the body of an answer. It is derived from the request alone, so
// that a caller can tell its own results from others.
type Result struct {
	Job    job.ID `json:"job"`
	Index  int    `json:"index"`
	Digest string `json:"digest"`
}

// Expect returns the body that answers a task.
func Expect(id job.ID, index int, payload []byte) []byte {
	sum := sha256.Sum256(payload)
	body, err := json.Marshal(Result{Job: id, Index: index, Digest: hex.EncodeToString(sum[:8])})
	if err != nil {
		panic(err) // a Result always encodes
	}
	return body
}

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
		u.cfg.Ledger.started(start, time.Now())
	}
	return u.runTask(c, faults, start, payload)
}

// runTask waits for the task's duration and answers. A task goes on when its
// connection ends.
func (u *Upstream) runTask(c echo.Context, faults Faults, start Start, payload []byte) error {
	if faults.FailAll {
		return echo.NewHTTPError(http.StatusInternalServerError, "this upstream fails every task")
	}
	d := u.duration(payload)
	if faults.Slow > 0 {
		d = time.Duration(float64(d) * faults.Slow)
	}
	if !u.serve(func() bool { return sleep(u.ctx, d) }) || u.currentFaults().DropAnswers {
		panic(http.ErrAbortHandler)
	}
	if u.cfg.Ledger != nil {
		u.cfg.Ledger.ended()
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, Expect(start.Job, start.Index, payload))
}

func (u *Upstream) duration(payload []byte) time.Duration {
	var p Payload
	if err := json.Unmarshal(payload, &p); err != nil || p.Millis <= 0 {
		return u.cfg.DefaultTask
	}
	return time.Duration(p.Millis) * time.Millisecond
}
