package recent

import (
	"fmt"
	"testing"
	"time"
)

// TestMemoryIsBounded guards against a memory that grows with every cancelled job, or that
// keeps refusing an ID for ever.
func TestMemoryIsBounded(t *testing.T) {
	var m Memory
	if m.Known(0, "x") {
		t.Error("an empty memory knows a job")
	}
	for i := range MaxJobs + 1 {
		added, forgotten := m.Add(time.Second, fmt.Sprint(i))
		if want := map[bool]string{true: "0"}[i == MaxJobs]; !added || forgotten != want {
			t.Fatalf("job %d: added %v, forgotten %q; want true and %q", i, added, forgotten, want)
		}
	}
	if added, _ := m.Add(2*time.Second, "1"); added || m.Known(time.Second, "0") || !m.Known(time.Second, "1") {
		t.Errorf("job 1 added again: %v, job 0 known: %v, job 1 known: %v; want false, false, true", added, m.Known(time.Second, "0"), m.Known(time.Second, "1"))
	}
	if end := time.Second + Retention; !m.Known(end, "1") || m.Known(end+1, "1") || len(m.Jobs(end)) != MaxJobs || len(m.Jobs(end+1)) != 0 {
		t.Errorf("jobs are not forgotten %v after they were added", Retention)
	}
}

// TestRenewedJobsAreForgottenLast guards against a job that is forgotten by its first time, or that
// takes another one with it.
func TestRenewedJobsAreForgottenLast(t *testing.T) {
	var m Memory
	for _, at := range []time.Duration{1, 1, 2, 3, 3} {
		m.Add(at, fmt.Sprint(len(m.order)))
	}
	for i, id := range []string{"1", "4", "0", "4", "2"} {
		m.Renew(3+time.Duration(i/2), id)
	}
	if got, want := fmt.Sprint(m.Jobs(5)), "[3 1 0 4 2]"; got != want {
		t.Errorf("got the jobs %s, want %s", got, want)
	}
	if end := 3 + Retention; m.Known(end+1, "3") || m.Known(end+1, "1") || !m.Known(end+1, "0") || !m.Known(end+2, "2") {
		t.Errorf("%v are remembered %v after the last change", m.Jobs(end+1), Retention)
	}
}

// TestRunsOutliveOtherJobs guards against a job that has run and is forgotten while its caller still
// waits for an answer elsewhere, by time or since others have run.
func TestRunsOutliveOtherJobs(t *testing.T) {
	m := NewRuns()
	for i := range MaxRuns {
		if _, forgotten := m.Add(time.Second, fmt.Sprint(i)); forgotten != "" {
			t.Fatalf("job %s was forgotten after %d others", forgotten, i)
		}
	}
	if end := time.Second + RunRetention; !m.Known(end, "0") || m.Known(end+1, "0") {
		t.Errorf("a job that has run is not forgotten %v after it was added", RunRetention)
	}
	if _, forgotten := m.Add(time.Second, "x"); forgotten != "0" || m.Limit() != MaxRuns {
		t.Errorf("job %q was forgotten, want the oldest of %d", forgotten, MaxRuns)
	}
}
