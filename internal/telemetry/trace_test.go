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

// heldExporter keeps the spans when the tracer shuts down.
type heldExporter struct{ *tracetest.InMemoryExporter }

func (heldExporter) Shutdown(context.Context) error { return nil }

// hop is one daemon's part in a trace.
type hop struct {
	tracer *Tracer
	name   string
}

// spans runs the hops inside each other, the first under parent, and returns
// the exported spans by name.
func spans(t *testing.T, exporter *tracetest.InMemoryExporter, parent string, hops []hop) map[string]tracetest.SpanStub {
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
		return NewExportingTracer(heldExporter{exporter}, 1, role, id)
	}
	executor := daemon(settings.RoleAgent, "a2")
	byName := spans(t, exporter, sampledParent, []hop{
		{daemon(settings.RoleEntry, "e1"), SpanEntry},
		{daemon(settings.RoleAgent, "a1"), SpanHome},
		{executor, SpanExecutor},
		{executor, SpanUpstream},
	})
	if len(byName) != 4 {
		t.Fatalf("got %d spans", len(byName))
	}
	parent := "b7ad6b7169203331"
	for _, name := range []string{SpanEntry, SpanHome, SpanExecutor, SpanUpstream} {
		s := byName[name]
		if got := s.Parent.SpanID().String(); got != parent {
			t.Errorf("parent of %s is %s, want %s", name, got, parent)
		}
		if got := s.SpanContext.TraceID().String(); got != "0af7651916cd43dd8448eb211c80319c" {
			t.Errorf("%s is in trace %s", name, got)
		}
		parent = s.SpanContext.SpanID().String()
	}
	for _, a := range byName[SpanHome].Resource.Attributes() {
		if a.Key == "service.name" && a.Value.AsString() != "dogwoodgauge-agent" {
			t.Errorf("service name is %s", a.Value.AsString())
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
		{"sampled parent goes first", sampledParent, 0, 1},
		{"unsampled parent goes first", unsampled, 1, 0},
		{"malformed parent begins a new trace", "garbage", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			exporter := tracetest.NewInMemoryExporter()
			tracer := NewExportingTracer(heldExporter{exporter}, tt.sampling, settings.RoleEntry, "e1")
			if got := spans(t, exporter, tt.parent, []hop{{tracer, SpanEntry}}); len(got) != tt.want {
				t.Errorf("got %d spans, want %d", len(got), tt.want)
			}
		})
	}
}

func TestTracerThatIsOffHandsTheParentOn(t *testing.T) {
	tracer, err := NewTracer(settings.Trace{Exporter: settings.ExporterOff}, settings.RoleEntry, "e1")
	if err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequest("POST", "/v1/jobs", nil)
	request.Header.Set(TraceparentHeader, sampledParent)
	span, next := tracer.StartRequest(request, SpanEntry)
	span.End()
	if next != sampledParent {
		t.Errorf("got %q, want the parent", next)
	}
	if _, next := tracer.Start("", SpanEntry); next != "" {
		t.Errorf("got %q for no parent", next)
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
			t.Errorf("span %d: %+v, %v", i, span, err)
		}
	}
}
