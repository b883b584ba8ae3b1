package follow

import (
	"context"
	"sync/atomic"

	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// maxQueuedRecords is the number of records that can wait to be appended.
const maxQueuedRecords = 64

// Appender appends records one after the other. It tries each record once. If the
// record then does not appear in the stream, the core requests the append again.
type Appender struct {
	log     logclient.Log
	stream  string
	logs    *telemetry.Logger
	metrics *telemetry.Metrics
	records chan []byte
	// pending counts the records that are queued or being appended.
	pending atomic.Int64
	// appended is a channel of capacity 1 that signals a completed append, whether it
	// succeeded or failed.
	appended chan struct{}
}

// NewAppender returns an appender of records to a stream.
func NewAppender(log logclient.Log, stream string, logs *telemetry.Logger, m *telemetry.Metrics) *Appender {
	return &Appender{
		log:      log,
		stream:   stream,
		logs:     logs,
		metrics:  m,
		records:  make(chan []byte, maxQueuedRecords),
		appended: make(chan struct{}, 1),
	}
}

// Append queues a record. It never blocks; the record is dropped when the queue
// is full.
func (a *Appender) Append(record []byte) {
	a.pending.Add(1)
	select {
	case a.records <- record:
	default:
		a.pending.Add(-1)
		a.logs.Info("control record dropped: the queue of records to append is full")
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

// Flush waits until no record is queued or being appended, or ctx ends.
func (a *Appender) Flush(ctx context.Context) error {
	for a.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.appended:
		}
	}
	return nil
}

func (a *Appender) append(ctx context.Context, record []byte) {
	result := "ok"
	if _, err := a.log.Append(ctx, a.stream, record); err != nil {
		result = "error"
		a.logs.Error(err, "appending a control record to the log failed")
	}
	a.metrics.LogRequests("append", result).Inc()
	a.pending.Add(-1)
	select {
	case a.appended <- struct{}{}:
	default:
	}
}
