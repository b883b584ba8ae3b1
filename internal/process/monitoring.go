package process

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Errors of readiness checks and of snapshots.
var (
	// ErrStopped is returned if the core has stopped.
	ErrStopped = errors.New("the process has stopped")
	// ErrLeaving is returned if a planned stop has begun.
	ErrLeaving = errors.New("the process is leaving")
	// ErrNoConfiguration is returned until a configuration has been read from the control
	// stream or the store.
	ErrNoConfiguration = errors.New("the configuration has not been read yet")
)

// Snapshot calls read on the goroutine of the core and returns the result. It returns
// ErrStopped if the core has stopped, or the error of ctx if ctx ends first.
func Snapshot[T any](ctx context.Context, l *Loop, read func() T) (T, error) {
	snapshot := make(chan T, 1)
	go l.Call(func() { snapshot <- read() })
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

// Probe calls snapshot with the timeout of a readiness check.
func Probe[T any](snapshot func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
	defer cancel()
	s, err := snapshot(ctx)
	if err != nil {
		return s, errors.Wrap(err, "the core does not answer")
	}
	return s, nil
}

// WriteMetrics calls collect, which copies a snapshot of the core into the metrics, and
// writes the metrics in the Prometheus text format. If the core does not answer, the
// metrics keep their last values.
func WriteMetrics[T any](w io.Writer, m *telemetry.Metrics, snapshot func(context.Context) (T, error), collect func(T)) {
	if s, err := Probe(snapshot); err == nil {
		collect(s)
	}
	m.Write(w)
}

// CopyCounters copies the counters of violated invariants and of the transport into the
// metrics.
func CopyCounters(m *telemetry.Metrics, violations map[invariant.Name]uint64, s transport.Stats) {
	for name, count := range violations {
		m.InvariantViolations(string(name)).Set(count)
	}
	m.Messages("sent").Set(s.MessagesOut)
	m.Messages("received").Set(s.MessagesIn)
	m.MessageBytes("sent").Set(s.BytesOut)
	m.MessageBytes("received").Set(s.BytesIn)
	m.FramesRejected("bad").Set(s.BadFrames)
}
