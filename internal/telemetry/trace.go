package telemetry

import (
	"context"
	"net/http"
	"os"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// Names of the spans of one job: one for each process or call that it passes through.
const (
	SpanEntry    = "entry.job"
	SpanHome     = "home.job"
	SpanExecutor = "executor.task"
	SpanUpstream = "upstream.call"
)

// TraceparentHeader is the HTTP header that carries a W3C trace context.
const TraceparentHeader = "traceparent"

// Span is one timed operation in a trace.
type Span = trace.Span

// Tracer starts the spans of one daemon. It is safe for concurrent use.
type Tracer struct {
	tracer     trace.Tracer
	shutdown   func(context.Context) error
	propagator propagation.TraceContext
}

// NewTracer returns a tracer with the exporter that the settings name. Later failures
// of the exporter are logged and never block the daemon.
func NewTracer(s settings.Trace, role settings.Role, id node.ID) (*Tracer, error) {
	switch s.Exporter {
	case settings.ExporterFile:
		return newFileTracer(s, role, id)
	case settings.ExporterOTLP:
		return newOTLPTracer(s, role, id)
	default:
		return newNoopTracer(), nil
	}
}

func newNoopTracer() *Tracer {
	return &Tracer{
		tracer:   noop.NewTracerProvider().Tracer(""),
		shutdown: func(context.Context) error { return nil },
	}
}

func newFileTracer(s settings.Trace, role settings.Role, id node.ID) (*Tracer, error) {
	file, err := os.OpenFile(string(s.File), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Wrap(err, "create file exporter")
	}
	t := NewExportingTracer(exporter, s.Sampling, role, id)
	stop := t.shutdown
	t.shutdown = func(ctx context.Context) error {
		return errors.Join(stop(ctx), file.Close())
	}
	return t, nil
}

func newOTLPTracer(s settings.Trace, role settings.Role, id node.ID) (*Tracer, error) {
	exporter, err := otlptracehttp.New(
		context.Background(),
		otlptracehttp.WithEndpoint(s.Endpoint.String()),
		otlptracehttp.WithInsecure(),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create OTLP exporter")
	}
	return NewExportingTracer(exporter, s.Sampling, role, id), nil
}

// NewExportingTracer returns a tracer that passes sampled spans to exporter in
// batches. Sampling is the fraction of the traces started here that is kept. A span
// with a parent is kept if its parent is.
func NewExportingTracer(exporter sdktrace.SpanExporter, sampling float64, role settings.Role, id node.ID) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(loggedExporter{SpanExporter: exporter, log: NewLogger("trace")}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sampling))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "dogwoodgauge-"+string(role)),
			attribute.String("service.instance.id", string(id)),
		)),
	)
	return &Tracer{
		tracer:   provider.Tracer("github.com/dogwoodgauge/dogwoodgauge"),
		shutdown: provider.Shutdown,
	}
}

// Start begins a span whose parent is the given W3C traceparent value, which may be
// empty. It returns the traceparent value to send to the next process. The caller
// must end the span. A tracer that is switched off returns the parent unchanged.
func (t *Tracer) Start(parent, name string, attributes ...attribute.KeyValue) (Span, string) {
	ctx := t.propagator.Extract(context.Background(), traceparentCarrier(parent))
	ctx, span := t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	next := propagation.MapCarrier{}
	t.propagator.Inject(ctx, next)
	return span, next[TraceparentHeader]
}

// StartRequest is like Start and uses the traceparent header of an HTTP request as
// the parent.
func (t *Tracer) StartRequest(r *http.Request, name string, attributes ...attribute.KeyValue) (Span, string) {
	return t.Start(r.Header.Get(TraceparentHeader), name, attributes...)
}

// Shutdown exports the remaining spans and releases the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error {
	return t.shutdown(ctx)
}

func traceparentCarrier(parent string) propagation.MapCarrier {
	if parent == "" {
		return nil
	}
	return propagation.MapCarrier{TraceparentHeader: parent}
}

// loggedExporter turns export errors into rate-limited log lines.
type loggedExporter struct {
	sdktrace.SpanExporter
	log *Logger
}

// ExportSpans exports the spans. It logs a failure, drops the spans and returns nil.
func (e loggedExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil {
		e.log.Error(err, "dropped spans that could not be exported", "count", len(spans))
	}
	return nil
}
