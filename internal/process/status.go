package process

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Errors of readiness and of snapshots.
var (
	// ErrStopped says that the core has ended.
	ErrStopped = errors.New("the process has stopped")
	// ErrLeaving says that a planned stop has begun.
	ErrLeaving = errors.New("the process is leaving")
	// ErrNoConfiguration says that nothing of the control stream has come.
	ErrNoConfiguration = errors.New("the configuration has not been read yet")
)

// Snapshot calls look on the goroutine of the core and returns its value. It
// returns ErrStopped when the core has ended, or the error of ctx.
func Snapshot[T any](ctx context.Context, l *Loop, look func() T) (T, error) {
	snapshot := make(chan T, 1)
	go l.Call(func() { snapshot <- look() })
	var none T
	select {
	case s := <-snapshot:
		return s, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.Done():
		return none, ErrStopped
	}
}

// Probe calls snapshot with the bound of a readiness check.
func Probe[T any](snapshot func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTime)
	defer cancel()
	s, err := snapshot(ctx)
	if err != nil {
		return s, errors.Wrap(err, "the core does not answer")
	}
	return s, nil
}

// WriteMetrics writes the metrics in the Prometheus text format, after collect
// has copied a snapshot into them. A core that does not answer leaves the last
// values.
func WriteMetrics[T any](w io.Writer, m *telemetry.Metrics, snapshot func(context.Context) (T, error), collect func(T)) {
	if s, err := Probe(snapshot); err == nil {
		collect(s)
	}
	m.Write(w)
}

// CollectCounts copies the counts of violated invariants and of the transport
// into the metrics.
func CollectCounts(m *telemetry.Metrics, violations map[invariant.Name]uint64, s transport.Stats) {
	for name, count := range violations {
		m.InvariantViolations(string(name)).Set(count)
	}
	m.Messages("sent").Set(s.MessagesOut)
	m.Messages("received").Set(s.MessagesIn)
	m.MessageBytes("sent").Set(s.BytesOut)
	m.MessageBytes("received").Set(s.BytesIn)
	m.FramesRejected("bad").Set(s.BadFrames)
}
