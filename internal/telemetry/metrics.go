package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics is the metric registry of one daemon. It is safe for concurrent use.
// Label values must come from fixed lists because every value adds a time series.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Write writes every metric in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}

// InvariantViolations counts violations of one invariant.
func (m *Metrics) InvariantViolations(invariant string) *metrics.Counter {
	return m.counter(InvariantViolationsTotal, "invariant", invariant)
}

// HTTPRequests counts answered requests by route pattern and status code.
func (m *Metrics) HTTPRequests(route string, status int) *metrics.Counter {
	name := fmt.Sprintf("%s{route=%q,code=\"%d\"}", HTTPRequestsTotal, route, status)
	return m.set.GetOrCreateCounter(name)
}

// JobAnswers counts the final answers to jobs: at an entry by error kind, at a dispatcher
// by outcome or by the reason for which the request was rejected. An empty kind, which
// stands for success at an entry, is counted as "complete".
func (m *Metrics) JobAnswers(kind string) *metrics.Counter {
	if kind == "" {
		kind = "complete"
	}
	return m.counter(JobAnswersTotal, "kind", kind)
}

// JobResponseTime observes the time from request to answer in seconds, by class: the
// priority class of the job at an entry, the name of its route at a dispatcher.
func (m *Metrics) JobResponseTime(class string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf("%s{class=%q}", JobResponseSeconds, class))
}

// TaskStarts counts the tasks that were started on an upstream.
func (m *Metrics) TaskStarts() *metrics.Counter {
	return m.set.GetOrCreateCounter(TaskStartsTotal)
}

// TaskCompletions counts completed tasks by final state.
func (m *Metrics) TaskCompletions(state string) *metrics.Counter {
	return m.counter(TaskCompletionsTotal, "state", state)
}

// TaskRefusals counts the tasks that the executor refused, by reason.
func (m *Metrics) TaskRefusals(reason string) *metrics.Counter {
	return m.counter(TaskRefusalsTotal, "reason", reason)
}

// TaskServiceTime observes the duration in seconds of a task's call to an upstream.
func (m *Metrics) TaskServiceTime() *metrics.Histogram {
	return m.set.GetOrCreateHistogram(TaskServiceSeconds)
}

// Messages counts messages between processes; direction is "sent" or
// "received".
func (m *Metrics) Messages(direction string) *metrics.Counter {
	return m.counter(MessagesTotal, "direction", direction)
}

// MessageBytes counts bytes of frames between processes; direction is "sent"
// or "received".
func (m *Metrics) MessageBytes(direction string) *metrics.Counter {
	return m.counter(MessageBytesTotal, "direction", direction)
}

// FramesRejected counts rejected frames by reason. Each also closes its connection.
func (m *Metrics) FramesRejected(reason string) *metrics.Counter {
	return m.counter(FramesRejectedTotal, "reason", reason)
}

// ConnectionsClosed counts the connections of clients that the server closed, by reason: refused,
// since all others wait for an answer; evicted, to make room; expired, after a time limit.
func (m *Metrics) ConnectionsClosed(reason string) *metrics.Counter {
	return m.counter(ConnectionsClosedTotal, "reason", reason)
}

// HandoversRefused counts handovers of control records that were refused because
// they had no valid signature.
func (m *Metrics) HandoversRefused() *metrics.Counter {
	return m.set.GetOrCreateCounter(HandoversRefusedTotal)
}

// LogRequests counts requests to the log service; operation is "read" or
// "append", result is "ok" or "error".
func (m *Metrics) LogRequests(operation, result string) *metrics.Counter {
	name := fmt.Sprintf("%s{operation=%q,result=%q}", LogRequestsTotal, operation, result)
	return m.set.GetOrCreateCounter(name)
}

// Gauge registers a gauge and calls value at every scrape. The name must be one of
// the constants of this package. A second registration of a name is ignored.
func (m *Metrics) Gauge(name string, value func() float64) {
	m.set.GetOrCreateGauge(name, value)
}

// SetGauge sets a gauge that has no function registered with Gauge. The name must be one
// of the constants of this package.
func (m *Metrics) SetGauge(name string, value float64) {
	m.set.GetOrCreateGauge(name, nil).Set(value)
}

// SettingsReloads counts reloads of the settings file; result is "ok" or "faulty".
func (m *Metrics) SettingsReloads(result string) *metrics.Counter {
	return m.counter(SettingsReloadsTotal, "result", result)
}

// UpstreamCallTime observes the duration in seconds of the calls to a leased upstream,
// by call and result.
func (m *Metrics) UpstreamCallTime(call, result string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf("%s{call=%q,result=%q}", UpstreamCallSeconds, call, result))
}

func (m *Metrics) counter(name, key, value string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, key, value))
}
