package httpserver

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// ErrorBody is the JSON form of an Error.
type ErrorBody struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject names the kind and the reason of a refusal.
type ErrorObject struct {
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
}

// NewRouter returns a router that counts requests and answers errors in JSON.
func NewRouter(m *telemetry.Metrics) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = answerError
	e.Use(count(m))
	return e
}

// Health adds GET /healthz, /readyz and /metrics. Ready returns nil when the
// process takes work, or the reason why it does not. WriteMetrics writes the
// metrics in the Prometheus text format.
func Health(e *echo.Echo, ready func() error, writeMetrics func(io.Writer)) {
	e.GET("/healthz", func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/readyz", func(c echo.Context) error {
		if err := ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		writeMetrics(c.Response())
		return nil
	})
}

// answerError turns the error of a handler into an answer. A path or method
// without a route keeps its own status.
func answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, object := http.StatusInternalServerError, ErrorObject{Kind: errkind.Unavailable, Detail: err.Error()}
	switch e := err.(type) {
	case *Error:
		object = ErrorObject{Kind: e.Kind, Detail: e.Detail}
		if row, ok := errkind.Lookup(e.Kind); ok {
			status = row.Status
		}
	case *echo.HTTPError:
		status = e.Code
		object = ErrorObject{
			Kind:   errkind.BadRequest,
			Detail: "no route for " + c.Request().Method + " " + c.Request().URL.Path,
		}
	}
	_ = WriteJSON(c, status, ErrorBody{Error: object})
}

// count counts answered requests by route.
func count(m *telemetry.Metrics) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := next(c); err != nil {
				c.Error(err)
			}
			route := c.Path()
			if route == "" {
				route = "none"
			}
			m.HTTPRequests(route, c.Response().Status).Inc()
			return nil
		}
	}
}
