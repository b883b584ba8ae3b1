package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

func start(t *testing.T, cfg Config) *Upstream {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	u := New(cfg)
	if err := u.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	return u
}

// post sends one task and returns the status and body of the answer. The status is
// zero if the upstream closed the connection without an answer.
func post(t *testing.T, u *Upstream, job string, index int, payload []byte) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+u.Addr()+"/v1/tasks", bytes.NewReader(payload))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderJob, job)
	req.Header.Set(HeaderAttempt, "0")
	req.Header.Set(HeaderTask, strconv.Itoa(index))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body
}

func TestTaskAnswerIsDerivedFromTheRequest(t *testing.T) {
	ledger := NewLedger()
	u := start(t, Config{Ledger: ledger})
	payload := []byte(`{"ms":1,"tag":"x"}`)
	status, body := post(t, u, "j1", 3, payload)
	if status != http.StatusOK || !bytes.Equal(body, ExpectedAnswer("j1", 3, payload)) {
		t.Errorf("got status %d, body %s, want 200 and the expected result", status, body)
	}
	if got := ledger.Counts(); got.Starts != 1 || got.Answered != 1 {
		t.Errorf("got counts %+v, want 1 start and 1 answer", got)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults           Faults
		status           int
		starts, answered int
	}{
		"fail all":     {Faults{FailAll: true}, http.StatusInternalServerError, 1, 0},
		"drop answers": {Faults{DropAnswers: true}, 0, 1, 0},
		"refuse":       {Faults{Refuse: true}, http.StatusServiceUnavailable, 0, 0},
		"slow":         {Faults{SlowFactor: 2}, http.StatusOK, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger()
			u := start(t, Config{Ledger: ledger, DefaultTaskDuration: time.Millisecond})
			u.SetFaults(test.faults)
			if status, _ := post(t, u, "j1", 0, nil); status != test.status {
				t.Errorf("got status %d, want the status of this fault", status)
			}
			if got := ledger.Counts(); got.Starts != test.starts || got.Answered != test.answered {
				t.Errorf("got counts %+v, want the starts and answers of this fault", got)
			}
		})
	}
}

func TestLedgerCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Start{Job: "j1", Index: 0, Domain: "d1"}
	retry := Start{Job: "j1", Attempt: 1, Index: 0, Domain: "d1"}
	other := Start{Job: "j1", Index: 1, Domain: "d2"}
	tests := map[string]struct {
		record func(l *Ledger)
		want   Counts
	}{
		"different tasks": {func(l *Ledger) {
			l.recordStart(first, now)
			l.recordStart(other, now)
		}, Counts{Starts: 2}},
		"same task again": {func(l *Ledger) {
			l.recordStart(first, now)
			l.recordStart(first, now)
		}, Counts{Starts: 2, DuplicateStarts: 1}},
		"same task in the next attempt": {func(l *Ledger) {
			l.recordStart(first, now)
			l.recordStart(retry, now)
		}, Counts{Starts: 2, DuplicateStarts: 1}},
		"within the bound after out": {func(l *Ledger) {
			l.RecordDomainOut("d1", now)
			l.recordStart(first, now.Add(DefaultLateAfter))
			l.recordStart(other, now.Add(time.Hour))
		}, Counts{Starts: 2}},
		"late after out": {func(l *Ledger) {
			l.RecordDomainOut("d1", now)
			l.recordStart(first, now.Add(DefaultLateAfter+1))
		}, Counts{Starts: 1, LateDomainStarts: 1}},
		"after return": {func(l *Ledger) {
			l.RecordDomainOut("d1", now)
			l.RecordDomainIn("d1")
			l.recordStart(first, now.Add(time.Hour))
		}, Counts{Starts: 1}},
		"not run, then started": {func(l *Ledger) {
			l.RecordNotRun("j1", 0)
			l.recordStart(first, now)
			l.recordStart(other, now)
		}, Counts{Starts: 2, UntrueNotRun: 1}},
		"started, then not run": {func(l *Ledger) {
			l.recordStart(first, now)
			l.RecordNotRun("j1", 0)
			l.RecordNotRun("j1", 0)
		}, Counts{Starts: 1, UntrueNotRun: 1}},
		"not run, next attempt started": {func(l *Ledger) {
			l.RecordNotRun("j1", 0)
			l.recordStart(retry, now)
		}, Counts{Starts: 1}},
		"task not run, then started": {func(l *Ledger) {
			l.RecordTaskNotRun("j1", 0, 0)
			l.recordStart(first, now)
			l.recordStart(other, now)
		}, Counts{Starts: 2, UntrueNotRun: 1}},
		"task started, then not run": {func(l *Ledger) {
			l.recordStart(first, now)
			l.RecordTaskNotRun("j1", 0, 0)
			l.RecordTaskNotRun("j1", 0, 1)
		}, Counts{Starts: 1, UntrueNotRun: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			test.record(l)
			if got := l.Counts(); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestAnnouncesAndWithdraws(t *testing.T) {
	announced := make(chan Announcement, 100)
	withdrawn := make(chan string, 1)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			withdrawn <- r.URL.Path
			return
		}
		var a Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		announced <- a
	}))
	defer agent.Close()
	u := start(t, Config{Name: "u1", Agent: agent.Listener.Addr().String(), Slots: 8, Connections: 64, TTL: 30 * time.Millisecond})
	for range 2 {
		a := <-announced
		if a.Name != "u1" || a.Addr != u.Addr() || a.Slots != 8 || a.Connections != 64 || a.TTLMillis != 30 {
			t.Errorf("got announcement %+v, want the settings of the upstream", a)
		}
	}
	if err := u.Withdraw(context.Background()); err != nil {
		t.Fatal(err)
	}
	if path := <-withdrawn; path != "/v1/upstream/u1" {
		t.Errorf("got withdrawal at %s, want /v1/upstream/u1", path)
	}
}

// The agent would keep a withdrawn upstream if an announcement in flight arrived after
// the withdrawal.
func TestWithdrawWaitsForAnAnnouncementInFlight(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	deleted := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			close(deleted)
			return
		}
		close(arrived)
		<-release
	}))
	defer agent.Close()
	u := start(t, Config{Name: "u1", Agent: agent.Listener.Addr().String(), TTL: time.Hour})
	<-arrived
	withdrawn := make(chan error, 1)
	go func() { withdrawn <- u.Withdraw(context.Background()) }()
	select {
	case <-deleted:
		t.Error("the withdrawal reached the agent before the announcement in flight was answered")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if err := <-withdrawn; err != nil {
		t.Error(err)
	}
	<-deleted
}
