package follow

import (
	"context"
	"sync/atomic"

	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// appendQueue is the number of records that wait to be appended.
const appendQueue = 64

// Appender appends records one after the other. A record is tried once: the
// core asks again for what it does not read back.
type Appender struct {
	log     logclient.Log
	stream  string
	logs    *telemetry.Logger
	metrics *telemetry.Metrics
	records chan []byte
	pending atomic.Int64
	idle    chan struct{}
}

// NewAppender returns an appender to a stream.
func NewAppender(log logclient.Log, stream string, logs *telemetry.Logger, m *telemetry.Metrics) *Appender {
	return &Appender{
		log:     log,
		stream:  stream,
		logs:    logs,
		metrics: m,
		records: make(chan []byte, appendQueue),
		idle:    make(chan struct{}, 1),
	}
}

// Append queues a record. It never blocks; the record is dropped when too many
// wait.
func (a *Appender) Append(record []byte) {
	a.pending.Add(1)
	select {
	case a.records <- record:
	default:
		a.pending.Add(-1)
		a.logs.Info("control record dropped: too many wait to be appended")
	}
}

// Run appends the queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case record := <-a.records:
			a.append(ctx, record)
		}
	}
}

// Flush waits until no record is queued or ctx ends.
func (a *Appender) Flush(ctx context.Context) error {
	for a.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.idle:
		}
	}
	return nil
}

func (a *Appender) append(ctx context.Context, record []byte) {
	result := "ok"
	if _, err := a.log.Append(ctx, a.stream, record); err != nil {
		result = "error"
		a.logs.Error(err, "appending a control record failed")
	}
	a.metrics.LogRequests("append", result).Inc()
	a.pending.Add(-1)
	select {
	case a.idle <- struct{}{}:
	default:
	}
}
