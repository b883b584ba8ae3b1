// Package httpapi is the HTTP/JSON interface that an entry offers to callers and
// operators.
//
//	POST   /v1/jobs?wait=false      submit a job; by default the request waits for the result
//	GET    /v1/jobs/ID?attempt=&wait_ms=   fetch the answer to a job
//	DELETE /v1/jobs/ID?attempt=     cancel a job
//	POST   /v1/ids {"count":n}      create n job IDs
//	GET    /v1/error-kinds          the table of error kinds
//	GET    /v1/status?ask=true      status of this entry; ask=true first requests reports from the agents
//	GET    /healthz, /readyz, /metrics
package httpapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Service answers the calls of the interface. Its methods are safe for concurrent
// use. Submit, Fetch, Cancel, Mint and Status return an error only if they have no
// answer because the caller has disconnected or the process is stopping.
type Service interface {
	Submit(ctx context.Context, j job.Job, wait bool, trace string) (entry.Reply, error)
	Fetch(ctx context.Context, f entry.FetchCall) (entry.Reply, error)
	Cancel(ctx context.Context, id job.ID, attempt int) (entry.Reply, error)
	Mint(ctx context.Context, count int) (entry.MintReply, error)
	// Status returns a value to encode as JSON. If refresh is true, the entry requests
	// reports from the agents first.
	Status(ctx context.Context, refresh bool) (any, error)
	// Ready returns nil when the entry accepts jobs, or the reason why it does not.
	Ready() error
	// Draining reports whether a planned stop has begun. If so, every connection is
	// closed after its next answer.
	Draining() bool
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Config holds the settings and dependencies of the interface.
type Config struct {
	Service Service
	Limits  Limits
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	// Now returns the wall-clock time in milliseconds since the Unix epoch.
	Now func() int64
}

// api holds the handlers.
type api struct{ Config }

// New returns the HTTP handler of the interface.
func New(cfg Config) http.Handler {
	a := &api{cfg}
	e := httpserver.NewRouter(cfg.Metrics)
	e.Use(a.closeWhenDraining)
	e.POST("/v1/jobs", a.submit)
	e.GET("/v1/jobs/:id", a.fetch)
	e.DELETE("/v1/jobs/:id", a.cancel)
	e.POST("/v1/ids", a.mint)
	e.GET("/v1/error-kinds", errorKinds)
	e.GET("/v1/status", a.status)
	httpserver.AddHealthRoutes(e, cfg.Service.Ready, cfg.Service.WriteMetrics)
	return e
}

// closeWhenDraining closes each connection after its next answer during a planned
// stop, so that callers open their next connection to another entry.
func (a *api) closeWhenDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if a.Service.Draining() {
				c.Response().Header().Set(echo.HeaderConnection, "close")
			}
		})
		return next(c)
	}
}

func (a *api) submit(c echo.Context) error {
	wait, err := boolParam(c, "wait", true)
	if err != nil {
		return err
	}
	return httpserver.ReadBody(c, a.Limits.MaxBodyBytes, func(body []byte) error {
		var j job.Job
		err := httpserver.Decode(c, body, func(body []byte) (err error) {
			j, err = DecodeJob(body, a.Now(), a.Limits)
			return err
		})
		if err != nil {
			return err
		}
		return a.submitJob(c, j, wait)
	})
}

// submitJob submits a decoded job and writes the answer.
func (a *api) submitJob(c echo.Context, j job.Job, wait bool) error {
	started := time.Now()
	span, trace := a.Tracer.StartRequest(c.Request(), telemetry.SpanEntry)
	defer span.End()
	reply, err := a.Service.Submit(c.Request().Context(), j, wait, trace)
	if err != nil {
		return abortConnection()
	}
	if !reply.Pending {
		a.Metrics.JobAnswers(string(reply.Answer.Kind)).Inc()
		a.Metrics.JobResponseTime(string(j.Class)).UpdateDuration(started)
	}
	answer := NewJobAnswer(&reply)
	return answer.write(c, answer.httpStatus())
}

func (a *api) fetch(c echo.Context) error {
	attempt, err := intParam(c, "attempt", 0, maxAttempt)
	if err != nil {
		return err
	}
	waitMillis, err := intParam(c, "wait_ms", 0, int(a.Limits.MaxTimeout.Milliseconds()))
	if err != nil {
		return err
	}
	id, err := idParam(c)
	if err != nil {
		return err
	}
	reply, err := a.Service.Fetch(c.Request().Context(), entry.FetchCall{
		ID:      id,
		Attempt: attempt,
		Wait:    waitMillis > 0,
		Timeout: time.Duration(waitMillis) * time.Millisecond,
	})
	if err != nil {
		return abortConnection()
	}
	answer := NewJobAnswer(&reply)
	return answer.write(c, answer.httpStatus())
}

// cancel answers with status 200 when the job is cancelled, although the error kind
// "cancelled" has another status. Otherwise it answers like fetch.
func (a *api) cancel(c echo.Context) error {
	attempt, err := intParam(c, "attempt", 0, maxAttempt)
	if err != nil {
		return err
	}
	id, err := idParam(c)
	if err != nil {
		return err
	}
	reply, err := a.Service.Cancel(c.Request().Context(), id, attempt)
	if err != nil {
		return abortConnection()
	}
	answer := NewJobAnswer(&reply)
	status := answer.httpStatus()
	if reply.Answer.Kind == errkind.Cancelled {
		status = http.StatusOK
	}
	return answer.write(c, status)
}

func (a *api) status(c echo.Context) error {
	refresh, err := boolParam(c, "ask", false)
	if err != nil {
		return err
	}
	s, err := a.Service.Status(c.Request().Context(), refresh)
	if err != nil {
		return abortConnection()
	}
	return httpserver.WriteJSON(c, http.StatusOK, s)
}

// abortConnection closes the connection without an answer, because the state of the
// job is unknown and every answer could be wrong.
func abortConnection() error { panic(http.ErrAbortHandler) }
