package examples_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// service returns an answer without an error to every call of the API.
type service struct{}

func (service) Submit(_ context.Context, j job.Job, wait bool, _ string) (entry.Reply, error) {
	return entry.Reply{Pending: !wait, Answer: job.Answer{ID: j.ID, Results: make([][]byte, len(j.Tasks))}}, nil
}

func (service) Fetch(_ context.Context, f entry.FetchCall) (entry.Reply, error) {
	return entry.Reply{Answer: job.Answer{ID: f.ID}}, nil
}

func (service) Cancel(_ context.Context, id job.ID, _ int) (entry.Reply, error) {
	return entry.Reply{Answer: job.Answer{ID: id, Kind: "cancelled"}}, nil
}

func (service) Mint(_ context.Context, count int) (entry.MintReply, error) {
	return entry.MintReply{IDs: make([]job.ID, count)}, nil
}

func (service) Status(context.Context, bool) (any, error) { return struct{}{}, nil }
func (service) Ready() error                              { return nil }
func (service) Draining() bool                            { return false }
func (service) WriteMetrics(io.Writer)                    {}

// curlCall matches a curl call of an entry in the README: its options, path and body,
// and the status in the response shown below it, if any.
var curlCall = regexp.MustCompile(`(?s)\$ curl ((?:-\S+ (?:[A-Z]+ )?)*)'?127\.0\.0\.1:8080([^\s']*)'?(?: -d '(.*?)')?(?:\s+#[^\n]*)?\n(?:\s*HTTP/1.1 (\S+) )?`)

// fullID replaces the job IDs that the README shortens.
const fullID = "dg1.agent-a1.1.1.1.1"

// TestReadmeCallsAreAnswered sends every call of the README to the API. It guards against
// a README that shows a path, body or status that the API does not have.
func TestReadmeCallsAreAnswered(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(page), "dg1.agent-a1...", fullID)
	tracer, err := telemetry.NewTracer(settings.Trace{}, settings.RoleEntry, "entry-a1")
	if err != nil {
		t.Fatal(err)
	}
	handler := httpapi.New(httpapi.Config{
		Service: service{},
		Limits:  httpapi.Limits{MaxBodyBytes: job.MaxBodyBytes, MaxTimeout: time.Minute, ClockBound: time.Second},
		Metrics: telemetry.NewMetrics(),
		Tracer:  tracer,
		Now:     func() int64 { return 1 },
	})
	calls := curlCall.FindAllStringSubmatch(text, -1)
	if want := strings.Count(text, "curl") - strings.Count(text, ":9201/"); len(calls) != want {
		t.Errorf("found %d calls of an entry in the README, want %d", len(calls), want)
	}
	for _, c := range calls {
		checkCall(t, handler, c[1], c[2], c[3], c[4])
	}
}

// checkCall sends a call to handler and compares the status of the response with that
// in the README, if any. Every call must have a path that the API serves.
func checkCall(t *testing.T, handler http.Handler, options, path, body, status string) {
	t.Helper()
	method := http.MethodGet
	switch {
	case strings.Contains(options, "-X DELETE"):
		method = http.MethodDelete
	case body != "":
		method = http.MethodPost
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	got := answer.Result().Status
	if status != "" && !strings.HasPrefix(got, status) {
		t.Errorf("%s %s: got status %s, the README says %s: %s", method, path, got, status, answer.Body)
	}
	if strings.Contains(answer.Body.String(), "no route") {
		t.Errorf("%s %s: the API has no such path: %s", method, path, answer.Body)
	}
}
