package agentd

import (
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/attribute"

	"github.com/dogwoodgauge/dogwoodgauge/core/agent"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// maxHomeSpans bounds the spans of jobs in progress.
const maxHomeSpans = 4096

// homeSpans keeps the spans of sampled jobs from their submission to their
// answer. It belongs to the goroutine of the loop.
type homeSpans struct {
	tracer *telemetry.Tracer
	open   map[submission]telemetry.Span
}

// submission names one request of one entry.
type submission struct {
	entry   node.Ref
	request uint64
}

// received starts the spans of the submissions in an envelope and makes them
// the parents of what follows.
func (h *homeSpans) received(env *message.Envelope) {
	for i := range env.Messages {
		if s := env.Messages[i].Submit; s != nil && sampled(s.Trace) {
			h.start(submission{env.From, s.Request}, s)
		}
	}
}

func (h *homeSpans) start(key submission, s *message.Submit) {
	if _, ok := h.open[key]; ok || len(h.open) >= maxHomeSpans {
		return
	}
	span, trace := h.tracer.Start(s.Trace, telemetry.SpanHome,
		attribute.String("job", string(s.Job.ID)), attribute.Int("tasks", len(s.Job.Tasks)))
	h.open[key] = span
	s.Trace = trace
}

// sent ends the span of a submission that is answered.
func (h *homeSpans) sent(a agent.Send) {
	m := a.Message.Answer
	if m == nil {
		return
	}
	key := submission{a.To, m.Request}
	if span, ok := h.open[key]; ok {
		span.SetAttributes(attribute.String("kind", string(m.Answer.Kind)))
		span.End()
		delete(h.open, key)
	}
}

// sampled reports whether a traceparent value asks for the trace to be kept.
func sampled(trace string) bool {
	flags, err := strconv.ParseUint(trace[strings.LastIndexByte(trace, '-')+1:], 16, 8)
	return err == nil && flags&1 == 1
}
