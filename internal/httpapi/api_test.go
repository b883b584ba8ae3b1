package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// fakeService answers with the values of its first fields and records the arguments
// of the last calls in the others.
type fakeService struct {
	reply    entry.Reply
	mint     entry.MintReply
	err      error
	notReady error
	draining bool

	submitted job.Job
	wait      bool
	trace     string
	fetched   entry.FetchCall
	cancelled job.ID
}

func (s *fakeService) Submit(_ context.Context, j job.Job, wait bool, trace string) (entry.Reply, error) {
	s.submitted, s.wait, s.trace = j, wait, trace
	return s.reply, s.err
}

func (s *fakeService) Fetch(_ context.Context, f entry.FetchCall) (entry.Reply, error) {
	s.fetched = f
	return s.reply, s.err
}

func (s *fakeService) Cancel(_ context.Context, id job.ID, _ int) (entry.Reply, error) {
	s.cancelled = id
	return s.reply, s.err
}

func (s *fakeService) Mint(context.Context, int) (entry.MintReply, error) { return s.mint, s.err }
func (s *fakeService) Status(context.Context, bool) (any, error) {
	return map[string]int{"calls": 3}, nil
}
func (s *fakeService) Ready() error             { return s.notReady }
func (s *fakeService) Draining() bool           { return s.draining }
func (s *fakeService) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "m 1\n") }

func newServer(t *testing.T, s *fakeService) *httptest.Server {
	t.Helper()
	tracer, err := telemetry.NewTracer(settings.Trace{}, settings.RoleEntry, node.ID("e"))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(New(Config{
		Service: s,
		Limits:  testLimits,
		Metrics: telemetry.NewMetrics(),
		Tracer:  tracer,
		Now:     func() int64 { return testNow },
	}))
	t.Cleanup(server.Close)
	return server
}

// request sends one request and returns the response and its trimmed body.
func request(t *testing.T, method, url, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, strings.TrimSpace(string(text))
}

const oneTask = `{"team":"records","tasks":[{"payload":"aGk="}]}`

func TestSubmitAnswers(t *testing.T) {
	tests := []struct {
		name       string
		reply      entry.Reply
		status     int
		body       string
		retryAfter string
	}{
		{
			"complete",
			entry.Reply{Answer: job.Answer{ID: "a", Results: [][]byte{[]byte("hi"), nil}}},
			200, `{"id":"a","attempt":0,"status":"complete","results":["aGk=",""]}`, "",
		},
		{
			"pending",
			entry.Reply{Pending: true, Answer: job.Answer{ID: "a", Attempt: 1}},
			202, `{"id":"a","attempt":1,"status":"pending"}`, "",
		},
		{
			"not run with a retry time",
			entry.Reply{Answer: job.Answer{ID: "a", Kind: errkind.NotRun, Detail: "full", RetryAfter: 1200*time.Millisecond + 1}},
			503, `{"id":"a","attempt":0,"status":"failed","error":{"kind":"not_run","detail":"full","retry_after_ms":1201}}`, "2",
		},
		{
			"states",
			entry.Reply{Answer: job.Answer{ID: "a", Kind: errkind.DeadlinePassed, States: []job.TaskState{job.Done, job.Running}}},
			504, `{"id":"a","attempt":0,"status":"failed","error":{"kind":"deadline_passed","states":["done","running"]}}`, "",
		},
		{
			"a kind that is not in the table",
			entry.Reply{Answer: job.Answer{ID: "a", Kind: "other"}},
			500, `{"id":"a","attempt":0,"status":"failed","error":{"kind":"other"}}`, "",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := &fakeService{reply: tt.reply}
			server := newServer(t, service)
			resp, body := request(t, "POST", server.URL+"/v1/jobs", oneTask)
			if resp.StatusCode != tt.status || body != tt.body {
				t.Errorf("answer %d %s, want %d %s", resp.StatusCode, body, tt.status, tt.body)
			}
			if got := resp.Header.Get("Retry-After"); got != tt.retryAfter {
				t.Errorf("Retry-After %q, want %q", got, tt.retryAfter)
			}
			if !service.wait || string(service.submitted.Tasks[0].Payload) != "hi" {
				t.Errorf("submitted %+v, wait %v; want payload hi and wait true", service.submitted, service.wait)
			}
			if !strings.HasPrefix(service.trace, "00-0af7651916cd43dd8448eb211c80319c-") {
				t.Errorf("trace %q, want the trace ID of the caller", service.trace)
			}
		})
	}
}

// TestErrorKindsAnswerByTable checks that each error kind is answered with the status
// in the table of package errkind, and that callers can read the whole table.
func TestErrorKindsAnswerByTable(t *testing.T) {
	for _, row := range errkind.Table() {
		t.Run(string(row.Kind), func(t *testing.T) {
			server := newServer(t, &fakeService{reply: entry.Reply{Answer: job.Answer{ID: "a", Kind: row.Kind}}})
			if resp, _ := request(t, "GET", server.URL+"/v1/jobs/a", ""); resp.StatusCode != row.Status {
				t.Errorf("status %d, want %d", resp.StatusCode, row.Status)
			}
		})
	}
	server := newServer(t, &fakeService{})
	_, body := request(t, "GET", server.URL+"/v1/error-kinds", "")
	var rows []ErrorKindRow
	if err := json.Unmarshal([]byte(body), &rows); err != nil || len(rows) != len(errkind.Table()) {
		t.Errorf("got %d rows with error %v, want the whole table", len(rows), err)
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
		kind                     errkind.Kind
	}{
		{"bad job", "POST", "/v1/jobs", `{}`, 400, errkind.BadRequest},
		{"bad wait", "POST", "/v1/jobs?wait=maybe", oneTask, 400, errkind.BadRequest},
		{"large body", "POST", "/v1/jobs", strings.Repeat(" ", 1<<20) + oneTask, 413, errkind.TooLarge},
		{"bad attempt", "GET", "/v1/jobs/a?attempt=x", "", 400, errkind.BadRequest},
		{"long wait", "GET", "/v1/jobs/a?wait_ms=60001", "", 400, errkind.BadRequest},
		{"bad ID", "GET", "/v1/jobs/a%2Fb", "", 400, errkind.BadRequest},
		{"no IDs", "POST", "/v1/ids", `{"count":0}`, 400, errkind.BadRequest},
		{"too many IDs", "POST", "/v1/ids", `{"count":10001}`, 400, errkind.BadRequest},
		{"no route", "GET", "/v2", "", 404, errkind.BadRequest},
		{"wrong method", "PUT", "/v1/jobs", "", 405, errkind.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := newServer(t, &fakeService{err: errors.New("an invalid request reached the service")})
			resp, body := request(t, tt.method, server.URL+tt.path, tt.body)
			var refused struct {
				Error struct {
					Kind   errkind.Kind `json:"kind"`
					Detail string       `json:"detail"`
				} `json:"error"`
			}
			if err := json.Unmarshal([]byte(body), &refused); err != nil {
				t.Fatalf("body %q: %v", body, err)
			}
			if resp.StatusCode != tt.status || refused.Error.Kind != tt.kind || refused.Error.Detail == "" {
				t.Errorf("answer %d %s, want %d %s", resp.StatusCode, body, tt.status, tt.kind)
			}
		})
	}
}

func TestOtherRoutes(t *testing.T) {
	service := &fakeService{
		reply: entry.Reply{Answer: job.Answer{ID: "a", Kind: errkind.Cancelled}},
		mint:  entry.MintReply{IDs: []job.ID{"x", "y"}},
	}
	server := newServer(t, service)
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"submit without waiting", "POST", "/v1/jobs?wait=false", oneTask, 409, `"cancelled"`},
		{"cancel", "DELETE", "/v1/jobs/a?attempt=1", "", 200, `"cancelled"`},
		{"fetch", "GET", "/v1/jobs/b?attempt=2&wait_ms=30", "", 409, `"cancelled"`},
		{"mint", "POST", "/v1/ids", `{"count":2}`, 200, `{"ids":["x","y"]}`},
		{"status", "GET", "/v1/status", "", 200, `{"calls":3}`},
		{"health", "GET", "/healthz", "", 200, "ok"},
		{"ready", "GET", "/readyz", "", 200, "ready"},
		{"metrics", "GET", "/metrics", "", 200, "m 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := request(t, tt.method, server.URL+tt.path, tt.body)
			if resp.StatusCode != tt.status || !strings.Contains(body, tt.want) {
				t.Errorf("answer %d %s, want %d %s", resp.StatusCode, body, tt.status, tt.want)
			}
		})
	}
	want := entry.FetchCall{ID: "b", Attempt: 2, Wait: true, Timeout: 30 * time.Millisecond}
	if service.wait || service.cancelled != "a" || service.fetched != want {
		t.Errorf("wait %v, cancelled %q, fetched %+v; want the parameters of the requests", service.wait, service.cancelled, service.fetched)
	}
}

func TestLeavingEntryClosesConnections(t *testing.T) {
	server := newServer(t, &fakeService{draining: true, notReady: errors.New("leaving")})
	resp, body := request(t, "GET", server.URL+"/readyz", "")
	if resp.StatusCode != 503 || body != "leaving" || !resp.Close {
		t.Errorf("answer %d %q, close %v; want 503 \"leaving\" and close true", resp.StatusCode, body, resp.Close)
	}
}

// TestUnknownOutcomeAbortsTheConnection guards against a made-up answer when the
// service stops before it knows the outcome of a job.
func TestUnknownOutcomeAbortsTheConnection(t *testing.T) {
	server := newServer(t, &fakeService{err: errors.New("stopped")})
	resp, err := http.Post(server.URL+"/v1/jobs", "application/json", strings.NewReader(oneTask))
	if err == nil {
		resp.Body.Close()
		t.Errorf("answer %d, want a connection closed without an answer", resp.StatusCode)
	}
}

func TestMintWithoutAgentsIsUnavailable(t *testing.T) {
	server := newServer(t, &fakeService{mint: entry.MintReply{Kind: errkind.Unavailable}})
	resp, body := request(t, "POST", server.URL+"/v1/ids", `{"count":1}`)
	if resp.StatusCode != 503 || !strings.Contains(body, "unavailable") {
		t.Errorf("answer %d %s, want 503 and kind unavailable", resp.StatusCode, body)
	}
}
