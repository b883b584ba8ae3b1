package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/internal/httpapi"
	"github.com/dogwoodgauge/dogwoodgauge/internal/standin/upstream"
)

var testMix = Mix{
	{Name: "check", Team: "desk", Class: job.Urgent, Weight: 3, MinTasks: 1, MaxTasks: 1, MinTaskDuration: time.Millisecond, MaxTaskDuration: 5 * time.Millisecond, Timeout: 5 * time.Second},
	{Name: "audit", Team: "audit", Class: job.Batch, Weight: 1, MinTasks: 2, MaxTasks: 5, MinTaskDuration: time.Millisecond, MaxTaskDuration: 5 * time.Millisecond, LongTaskShare: 0.1, LongTaskDuration: 10 * time.Millisecond, Timeout: 5 * time.Second},
}

func TestPlanIsAFunctionOfItsConfig(t *testing.T) {
	cfg := Config{Seed: 1, Duration: time.Second, Mix: testMix, Load: 0.5, Slots: 8, ResubmitShare: 0.2}
	plan := NewPlan(cfg)
	if !reflect.DeepEqual(plan, NewPlan(cfg)) {
		t.Error("got two different plans for the same config")
	}
	cfg.Seed = 2
	if reflect.DeepEqual(plan, NewPlan(cfg)) {
		t.Error("got equal plans for two seeds")
	}
}

// The durations of all tasks must add up to the configured load, within 4 percent.
func TestPlanOffersTheLoad(t *testing.T) {
	cfg := Config{Seed: 1, Duration: 100 * time.Second, Mix: testMix, Load: 0.5, Slots: 8}
	var work time.Duration
	for _, a := range NewPlan(cfg) {
		for _, p := range a.Payloads {
			var task upstream.Payload
			if err := json.Unmarshal(p, &task); err != nil {
				t.Fatal(err)
			}
			work += time.Duration(task.Millis) * time.Millisecond
		}
	}
	load := work.Seconds() / cfg.Duration.Seconds() / float64(cfg.Slots)
	if load < 0.48 || load > 0.52 {
		t.Errorf("got load %.3f, want 0.48 to 0.52", load)
	}
}

// During a burst with factor 3 the rate of arrivals must be about three times the rate
// outside.
func TestBurstRaisesTheRate(t *testing.T) {
	cfg := Config{Seed: 1, Duration: 3 * time.Second, Mix: testMix, Load: 0.5, Slots: 8, Burst: Burst{Start: time.Second, Length: time.Second, Factor: 3}}
	var during, others int
	for _, a := range NewPlan(cfg) {
		if a.At >= time.Second && a.At < 2*time.Second {
			during++
		} else {
			others++
		}
	}
	if ratio := float64(during) / float64(others) * 2; ratio < 2.5 || ratio > 3.5 {
		t.Errorf("got %d arrivals during the burst, %d outside; want a rate 2.5 to 3.5 times as high", during, others)
	}
}

func TestValidateAnswer(t *testing.T) {
	request := &httpapi.JobRequest{ID: "j1", Tasks: []httpapi.TaskRequest{{Payload: []byte("a")}, {Payload: []byte("b")}}}
	first, second := upstream.ExpectedAnswer("j1", 0, []byte("a")), upstream.ExpectedAnswer("j1", 1, []byte("b"))
	failed := &httpapi.JobError{Kind: errkind.UpstreamFailed}
	tests := map[string]struct {
		answer httpapi.JobAnswer
		want   validity
	}{
		"whole":               {httpapi.JobAnswer{ID: "j1", Status: httpapi.Complete, Results: [][]byte{first, second}}, valid},
		"failed":              {httpapi.JobAnswer{ID: "j1", Status: httpapi.Failed, Error: failed}, valid},
		"error without a job": {httpapi.JobAnswer{Error: &httpapi.JobError{Kind: errkind.BadRequest}}, valid},
		"result missing":      {httpapi.JobAnswer{ID: "j1", Status: httpapi.Complete, Results: [][]byte{first}}, partial},
		"results and error":   {httpapi.JobAnswer{ID: "j1", Status: httpapi.Failed, Error: failed, Results: [][]byte{first}}, partial},
		"nothing":             {httpapi.JobAnswer{}, partial},
		"crossed":             {httpapi.JobAnswer{ID: "j1", Status: httpapi.Complete, Results: [][]byte{second, first}}, misdelivered},
		"another job":         {httpapi.JobAnswer{ID: "j2", Status: httpapi.Complete, Results: [][]byte{first, second}}, misdelivered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := validateAnswer(request, &test.answer); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// testRetryAfter is the delay that fakeEntry asks for before a refused job is submitted
// again.
const testRetryAfter = 50 * time.Millisecond

// fakeEntry answers jobs at once. It refuses every third request if this is the job's
// first attempt.
type fakeEntry struct {
	mu       sync.Mutex
	requests int
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/jobs" {
		_, _ = w.Write([]byte(`{"ids":[]}`))
		return
	}
	var request httpapi.JobRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.mu.Lock()
	e.requests++
	refuse := request.Attempt == 0 && e.requests%3 == 0
	e.mu.Unlock()
	answer := httpapi.JobAnswer{ID: request.ID, Attempt: request.Attempt, Status: httpapi.Complete}
	if answer.ID == "" {
		answer.ID = "given"
	}
	for i, task := range request.Tasks {
		answer.Results = append(answer.Results, upstream.ExpectedAnswer(answer.ID, i, task.Payload))
	}
	if refuse {
		answer.Status, answer.Results = httpapi.Failed, nil
		answer.Error = &httpapi.JobError{Kind: errkind.NotRun, RetryAfterMillis: testRetryAfter.Milliseconds()}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// The generator must submit refused jobs again until all are complete. Before each retry
// it must wait for as long as the refusal asked.
func TestRunRetriesRefusedJobs(t *testing.T) {
	server := httptest.NewServer(&fakeEntry{})
	defer server.Close()
	target := Target{
		Entries: func() []string { return []string{server.Listener.Addr().String()} },
		Ledger:  upstream.NewLedger(),
	}
	plan := NewPlan(Config{Seed: 1, Duration: 300 * time.Millisecond, Mix: testMix, Load: 0.5, Slots: 8, ResubmitShare: 0.2})
	result := Run(context.Background(), target, plan)
	got := result.Counts
	if got.Jobs != len(plan) || got.Complete != len(plan) || got.Resubmissions == 0 {
		t.Errorf("with %d jobs planned: got counts %+v, errors %v; want all jobs complete and some resubmissions", len(plan), got, result.Errors)
	}
	if got.PartialAnswers+got.MisdeliveredAnswers+got.CutOffRequests != 0 {
		t.Errorf("got counts %+v, want no partial, misdelivered or cut-off answers", got)
	}
	if got.Refusals == 0 || got.UnpacedRefusals != 0 {
		t.Errorf("got counts %+v, want refusals, none of them unpaced", got)
	}
	for _, o := range result.Outcomes {
		if delay := o.Response - o.AdmittedResponse; delay < time.Duration(o.Refusals)*testRetryAfter {
			t.Errorf("got a delay of %v for %d refusals, want at least %v for each", delay, o.Refusals, testRetryAfter)
		}
	}
	all := result.Ratios(func(*Outcome) bool { return true })
	if all.Jobs != len(plan) || all.P50 <= 0 || all.P50 > all.P99 {
		t.Errorf("got quantiles %+v, want all planned jobs and 0 < P50 <= P99", all)
	}
}
