// Package httpapi is the HTTP/JSON interface that an entry offers to callers and
// operators.
//
//	POST   /v1/jobs?wait=false      submit a job
//	GET    /v1/jobs/ID?attempt=&wait_ms=
//	DELETE /v1/jobs/ID?attempt=     cancel a job
//	POST   /v1/ids {"count":n}      get job IDs
//	GET    /v1/error-kinds          the table of error kinds
//	GET    /v1/status?ask=true      what this entry knows; ask gets reports of the agents first
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

// Service answers the calls of the interface. Its methods are safe for
// concurrent use. An error means that no answer can be given: the caller has
// gone or the process ends.
type Service interface {
	Submit(ctx context.Context, j job.Job, wait bool, trace string) (entry.Reply, error)
	Fetch(ctx context.Context, f entry.FetchCall) (entry.Reply, error)
	Cancel(ctx context.Context, id job.ID, attempt int) (entry.Reply, error)
	Mint(ctx context.Context, count int) (entry.MintReply, error)
	// Status returns a value to be encoded as JSON. With ask the agents are asked
	// for reports first.
	Status(ctx context.Context, ask bool) (any, error)
	// Ready returns nil when the entry takes work, or the reason why it does not.
	Ready() error
	// Draining reports whether connections are to be closed after their answer.
	Draining() bool
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Config holds what the interface needs.
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

// New returns the handler of the interface.
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
	httpserver.Health(e, cfg.Service.Ready, cfg.Service.WriteMetrics)
	return e
}

// closeWhenDraining lets clients open their next connection elsewhere.
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
	body, err := httpserver.ReadBody(c, a.Limits.Body)
	if err != nil {
		return err
	}
	j, err := DecodeJob(body, a.Now(), a.Limits)
	if err != nil {
		return err
	}
	started := time.Now()
	span, trace := a.Tracer.StartRequest(c.Request(), telemetry.SpanEntry)
	defer span.End()
	reply, err := a.Service.Submit(c.Request().Context(), j, wait, trace)
	if err != nil {
		return cut()
	}
	if !reply.Pending {
		a.Metrics.JobAnswers(string(reply.Answer.Kind)).Inc()
		a.Metrics.JobResponse(string(j.Class)).UpdateDuration(started)
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
		return cut()
	}
	answer := NewJobAnswer(&reply)
	return answer.write(c, answer.httpStatus())
}

// cancel answers 200 when the job is cancelled, and like fetch otherwise.
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
		return cut()
	}
	answer := NewJobAnswer(&reply)
	status := answer.httpStatus()
	if reply.Answer.Kind == errkind.Cancelled {
		status = http.StatusOK
	}
	return answer.write(c, status)
}

func (a *api) status(c echo.Context) error {
	ask, err := boolParam(c, "ask", false)
	if err != nil {
		return err
	}
	s, err := a.Service.Status(c.Request().Context(), ask)
	if err != nil {
		return cut()
	}
	return httpserver.WriteJSON(c, http.StatusOK, s)
}

// cut closes the connection without an answer: nothing true can be said.
func cut() error { panic(http.ErrAbortHandler) }
