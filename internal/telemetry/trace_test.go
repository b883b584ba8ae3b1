package telemetry

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

const sampledParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// retainingExporter keeps its spans when the tracer shuts down, so that a test can
// read them afterwards.
type retainingExporter struct{ *tracetest.InMemoryExporter }

func (retainingExporter) Shutdown(context.Context) error { return nil }

// tracedHop is one span of a trace and the tracer of the daemon that starts it.
type tracedHop struct {
	tracer *Tracer
	name   string
}

// exportSpans starts nested spans, the first under parent, and returns the exported
// spans by name.
func exportSpans(t *testing.T, exporter *tracetest.InMemoryExporter, parent string, hops []tracedHop) map[string]tracetest.SpanStub {
	t.Helper()
	var started []Span
	for _, h := range hops {
		span, next := h.tracer.Start(parent, h.name)
		started = append(started, span)
		parent = next
	}
	for i := range started {
		started[len(started)-1-i].End()
	}
	for _, h := range hops {
		if err := h.tracer.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	byName := map[string]tracetest.SpanStub{}
	for _, s := range exporter.GetSpans() {
		byName[s.Name] = s
	}
	return byName
}

func TestSpanTreeOfOneJob(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	daemon := func(role settings.Role, id node.ID) *Tracer {
		return NewExportingTracer(retainingExporter{exporter}, 1, role, id)
	}
	executor := daemon(settings.RoleAgent, "a2")
	byName := exportSpans(t, exporter, sampledParent, []tracedHop{
		{daemon(settings.RoleEntry, "e1"), SpanEntry},
		{daemon(settings.RoleAgent, "a1"), SpanHome},
		{executor, SpanExecutor},
		{executor, SpanUpstream},
	})
	if len(byName) != 4 {
		t.Fatalf("got %d spans, want 4", len(byName))
	}
	parent := "b7ad6b7169203331"
	for _, name := range []string{SpanEntry, SpanHome, SpanExecutor, SpanUpstream} {
		s := byName[name]
		if got := s.Parent.SpanID().String(); got != parent {
			t.Errorf("parent of %s is %s, want %s", name, got, parent)
		}
		if got := s.SpanContext.TraceID().String(); got != "0af7651916cd43dd8448eb211c80319c" {
			t.Errorf("%s is in trace %s, want the trace of the caller", name, got)
		}
		parent = s.SpanContext.SpanID().String()
	}
	for _, a := range byName[SpanHome].Resource.Attributes() {
		if a.Key == "service.name" && a.Value.AsString() != "dogwoodgauge-agent" {
			t.Errorf("service name is %s, want dogwoodgauge-agent", a.Value.AsString())
		}
	}
}

func TestSampling(t *testing.T) {
	const unsampled = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"
	tests := []struct {
		name, parent string
		sampling     float64
		want         int
	}{
		{"all new traces", "", 1, 1},
		{"no new traces", "", 0, 0},
		{"sampled parent overrides the fraction", sampledParent, 0, 1},
		{"unsampled parent overrides the fraction", unsampled, 1, 0},
		{"malformed parent begins a new trace", "garbage", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			exporter := tracetest.NewInMemoryExporter()
			tracer := NewExportingTracer(retainingExporter{exporter}, tt.sampling, settings.RoleEntry, "e1")
			if got := exportSpans(t, exporter, tt.parent, []tracedHop{{tracer, SpanEntry}}); len(got) != tt.want {
				t.Errorf("got %d spans, want %d", len(got), tt.want)
			}
		})
	}
}

func TestDisabledTracerReturnsTheParent(t *testing.T) {
	tracer, err := NewTracer(settings.Trace{Exporter: settings.ExporterOff}, settings.RoleEntry, "e1")
	if err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequest("POST", "/v1/jobs", nil)
	request.Header.Set(TraceparentHeader, sampledParent)
	span, next := tracer.StartRequest(request, SpanEntry)
	span.End()
	if next != sampledParent {
		t.Errorf("got traceparent %q, want the parent", next)
	}
	if _, next := tracer.Start("", SpanEntry); next != "" {
		t.Errorf("got traceparent %q without a parent, want none", next)
	}
}

func TestFileExporterAppendsSpans(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	for range 2 {
		s := settings.Trace{Exporter: settings.ExporterFile, File: settings.Path(path), Sampling: 1}
		tracer, err := NewTracer(s, settings.RoleAgent, "a1")
		if err != nil {
			t.Fatal(err)
		}
		span, _ := tracer.Start("", SpanHome)
		span.End()
		if err := tracer.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	for i := range 2 {
		var span struct{ Name string }
		if err := decoder.Decode(&span); err != nil || span.Name != SpanHome {
			t.Errorf("span %d is %+v with error %v, want a home span without an error", i, span, err)
		}
	}
}
