package telemetry

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func renderMetrics(m *Metrics) string {
	var out bytes.Buffer
	m.Write(&out)
	return out.String()
}

// TestRegistriesAreIndependent guards against daemons of one process that count into
// each other's metrics.
func TestRegistriesAreIndependent(t *testing.T) {
	a, b := NewMetrics(), NewMetrics()
	a.TaskStarts().Inc()
	a.InvariantViolations("duplicate_start").Inc()
	a.LogRequests("read", "ok").Add(2)
	a.HTTPRequests("/v1/jobs", 200).Inc()
	a.JobAnswers("").Inc()
	a.Gauge(SlotsBusy, func() float64 { return 5 })
	for _, want := range []string{
		"dogwoodgauge_task_starts_total 1\n",
		`dogwoodgauge_invariant_violations_total{invariant="duplicate_start"} 1` + "\n",
		`dogwoodgauge_log_requests_total{operation="read",result="ok"} 2` + "\n",
		`dogwoodgauge_http_requests_total{route="/v1/jobs",code="200"} 1` + "\n",
		`dogwoodgauge_job_answers_total{kind="complete"} 1` + "\n",
		"dogwoodgauge_slots_busy 5\n",
	} {
		if !strings.Contains(renderMetrics(a), want) {
			t.Errorf("%q is missing in:\n%s", want, renderMetrics(a))
		}
	}
	if got := renderMetrics(b); got != "" {
		t.Errorf("the unused registry contains %q, want nothing", got)
	}
}

// TestPageDescribesEveryMetric compares the names in names.go with those in
// docs/METRICS.md. Every metric must appear in both.
func TestPageDescribesEveryMetric(t *testing.T) {
	source, err := os.ReadFile("names.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	pattern := regexp.MustCompile(`dogwoodgauge_[a-z_]+`)
	names := pattern.FindAllString(string(source), -1)
	described := pattern.FindAllString(string(page), -1)
	slices.Sort(names)
	slices.Sort(described)
	if !slices.Equal(names, slices.Compact(described)) {
		t.Errorf("names.go has\n%v\ndocs/METRICS.md has\n%v", names, described)
	}
}
