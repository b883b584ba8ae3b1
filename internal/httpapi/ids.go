package httpapi

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpserver"
)

const (
	// maxIDs bounds the IDs that one request creates.
	maxIDs = 10_000
	// maxAttempt bounds the attempt number of a job.
	maxAttempt = 1 << 20
	// maxSmallBodyBytes bounds the body of a request other than a submission.
	maxSmallBodyBytes = 64 << 10
)

// IDsRequest is the body of POST /v1/ids.
type IDsRequest struct {
	Count int `json:"count"`
}

// IDsAnswer is the answer to POST /v1/ids.
type IDsAnswer struct {
	IDs []job.ID `json:"ids"`
}

// ErrorKindRow is one row of GET /v1/error-kinds.
type ErrorKindRow struct {
	Kind           errkind.Kind `json:"kind"`
	Status         int          `json:"status"`
	NothingStarted bool         `json:"nothing_started"`
	Retryable      bool         `json:"retryable"`
	Meaning        string       `json:"meaning"`
}

func (a *api) mint(c echo.Context) error {
	var r IDsRequest
	err := httpserver.ReadBody(c, maxSmallBodyBytes, func(body []byte) error { return httpserver.DecodeJSON(body, &r) })
	if err != nil {
		return err
	}
	if r.Count < 1 || r.Count > maxIDs {
		return httpserver.BadRequest("count is %d; it must be from 1 to %d", r.Count, maxIDs)
	}
	reply, err := a.Service.Mint(c.Request().Context(), r.Count)
	if err != nil {
		return abortConnection()
	}
	if reply.Kind != errkind.None {
		return &httpserver.Error{Kind: reply.Kind, Detail: "no agent is known that could be the home of a job"}
	}
	return httpserver.WriteJSON(c, http.StatusOK, IDsAnswer{IDs: reply.IDs})
}

func errorKinds(c echo.Context) error {
	var rows []ErrorKindRow
	for _, r := range errkind.Table() {
		rows = append(rows, ErrorKindRow(r))
	}
	return httpserver.WriteJSON(c, http.StatusOK, rows)
}

// idParam returns the job ID in the path.
func idParam(c echo.Context) (job.ID, error) {
	id := job.ID(c.Param("id"))
	return id, checkID(id)
}

// boolParam parses a query parameter. It returns fallback if the parameter is absent.
func boolParam(c echo.Context, name string, fallback bool) (bool, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, httpserver.BadRequest("%s is %q; true or false is expected", name, text)
	}
	return v, nil
}

// intParam parses a query parameter that is a number from 0 to limit. It returns
// fallback if the parameter is absent.
func intParam(c echo.Context, name string, fallback, limit int) (int, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 || v > limit {
		return 0, httpserver.BadRequest("%s is %q; a number from 0 to %d is expected", name, text, limit)
	}
	return v, nil
}
