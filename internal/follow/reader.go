// Package follow keeps a core up to date with the control stream of the platform's
// log. A Reader reads the stream continuously, and an Appender appends records to it.
package follow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/logclient"
	"github.com/dogwoodgauge/dogwoodgauge/internal/telemetry"
)

// Defaults of a Reader.
const (
	// DefaultWait is how long one read waits for a record at the end of the stream.
	DefaultWait = time.Second
	// readLimit is the maximum number of records of one read.
	readLimit = 500
	// minRetryDelay and maxRetryDelay bound the delay after a failed read.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Reader reads a stream continuously. Its fields must be set before Run is called.
type Reader struct {
	Log    logclient.Log
	Stream string
	// Offset returns the offset of the next record to read.
	Offset func() int64
	// Mono returns the monotonic time.
	Mono func() time.Duration
	// Deliver applies the result of a read; after it returns, Offset includes the
	// records that were read. It reports false when the reader must stop.
	Deliver func(step.LogRead) bool
	// Wait is how long a read waits at the end of the stream.
	Wait time.Duration
	// Logs receives a line when an outage of the log begins and ends.
	Logs *telemetry.Logger
	// Metrics counts the successful and failed reads.
	Metrics *telemetry.Metrics
}

// Run reads until ctx ends. During an outage of the log it retries with a jittered
// exponential backoff.
func (r *Reader) Run(ctx context.Context) error {
	retry := newBackOff()
	failing := false
	for ctx.Err() == nil {
		sentAt := r.Mono()
		res, err := r.Log.Read(ctx, r.Stream, r.Offset(), readLimit, r.Wait)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.Metrics.LogRequests("read", "error").Inc()
			r.logFailure(failing, err)
			failing = true
			sleep(ctx, retry.NextBackOff())
			continue
		}
		r.Metrics.LogRequests("read", "ok").Inc()
		if failing {
			r.Logs.Info("the log answers again", "end", res.End)
		}
		failing = false
		retry.Reset()
		if !r.Deliver(logRead(res, sentAt)) {
			return nil
		}
	}
	return nil
}

// logRead returns the event for the reply to a read request that was sent at the
// monotonic time sentAt.
func logRead(r logclient.ReadResult, sentAt time.Duration) step.LogRead {
	return step.LogRead{From: r.From, Records: r.Records, End: r.End, Oldest: r.Oldest, SentAt: sentAt}
}

// logFailure logs the first failed read of an outage.
func (r *Reader) logFailure(failing bool, err error) {
	if !failing {
		r.Logs.Error(err, "reading the log failed; retrying")
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// sleep waits for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
