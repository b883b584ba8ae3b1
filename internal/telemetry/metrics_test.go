package telemetry

import (
	"bytes"
	"strings"
	"testing"
)

func written(m *Metrics) string {
	var out bytes.Buffer
	m.Write(&out)
	return out.String()
}

func TestRegistriesAreApart(t *testing.T) {
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
		if !strings.Contains(written(a), want) {
			t.Errorf("%q is missing in:\n%s", want, written(a))
		}
	}
	if got := written(b); got != "" {
		t.Errorf("the other registry has %q", got)
	}
}
