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

// ErrorObject holds the kind and the reason of a refusal.
type ErrorObject struct {
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
}

// NewRouter returns a router that counts the requests in m and answers with an
// ErrorBody when a handler returns an error.
func NewRouter(m *telemetry.Metrics) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	e.Use(countRequests(m))
	return e
}

// AddHealthRoutes adds the routes GET /healthz, /readyz and /metrics to a router.
// Ready returns nil when the process accepts work, or the reason why it does not.
// WriteMetrics writes the metrics in the Prometheus text format.
func AddHealthRoutes(e *echo.Echo, ready func() error, writeMetrics func(io.Writer)) {
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

// writeError answers a request whose handler returned an error. The status of an
// *Error is the one of its kind. A request that matches no route is answered with
// the status that the router chose. Any other error is answered with status 500.
func writeError(err error, c echo.Context) {
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

// countRequests returns middleware that counts the answered requests by route and
// status. All requests that match no route are counted as "none", so that clients
// cannot add time series.
func countRequests(m *telemetry.Metrics) echo.MiddlewareFunc {
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
