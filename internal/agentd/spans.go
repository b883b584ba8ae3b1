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

// maxHomeSpans bounds the open spans. While that many are open, further jobs get none.
const maxHomeSpans = 4096

// homeSpans keeps the spans of sampled jobs open from their submission to their
// answer. Only the goroutine of the loop may use it.
type homeSpans struct {
	tracer *telemetry.Tracer
	open   map[submissionKey]telemetry.Span
}

// submissionKey identifies the submission of a job by the entry that sent it and the
// entry's number for the request.
type submissionKey struct {
	entry   node.Ref
	request uint64
}

// startSubmitted starts a span for each sampled submission in an envelope. It replaces
// the trace of the submission, so that later spans of the job become children of the
// new span.
func (h *homeSpans) startSubmitted(env *message.Envelope) {
	for i := range env.Messages {
		if s := env.Messages[i].Submit; s != nil && sampled(s.Trace) {
			h.start(submissionKey{env.From, s.Request}, s)
		}
	}
}

// start starts the span of one submission, unless it is open already.
func (h *homeSpans) start(key submissionKey, s *message.Submit) {
	if _, ok := h.open[key]; ok || len(h.open) >= maxHomeSpans {
		return
	}
	span, trace := h.tracer.Start(s.Trace, telemetry.SpanHome,
		attribute.String("job", string(s.Job.ID)), attribute.Int("tasks", len(s.Job.Tasks)))
	h.open[key] = span
	s.Trace = trace
}

// endAnswered ends the span of a submission if the message to send is its answer.
func (h *homeSpans) endAnswered(a agent.Send) {
	m := a.Message.Answer
	if m == nil {
		return
	}
	key := submissionKey{a.To, m.Request}
	if span, ok := h.open[key]; ok {
		span.SetAttributes(attribute.String("kind", string(m.Answer.Kind)))
		span.End()
		delete(h.open, key)
	}
}

// sampled reports whether the sampled flag of a W3C traceparent value is set.
func sampled(trace string) bool {
	flags, err := strconv.ParseUint(trace[strings.LastIndexByte(trace, '-')+1:], 16, 8)
	return err == nil && flags&1 == 1
}
