// Package follow keeps a core in step with the control stream of the platform's
// log: a Reader polls it, an Appender adds to it.
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
	// DefaultWait is how long one read waits for a record.
	DefaultWait = time.Second
	// readLimit is the number of records of one read.
	readLimit = 500
	// Delays between reads that fail.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
)

// Reader polls a stream. Its fields are set before Run.
type Reader struct {
	Log    logclient.Log
	Stream string
	// Offset returns the offset to read from.
	Offset func() int64
	// Mono returns the monotonic time.
	Mono func() time.Duration
	// Deliver takes in a read; Offset reflects it when it returns. It reports
	// false when the reader must stop.
	Deliver func(step.LogRead) bool
	// Wait is how long a read waits at the end of the stream.
	Wait time.Duration
	// Logs receives a line when an outage begins and ends.
	Logs *telemetry.Logger
	// Metrics counts the reads.
	Metrics *telemetry.Metrics
}

// Run reads until ctx ends. During an outage it retries with a jittered
// exponential delay.
func (r *Reader) Run(ctx context.Context) error {
	delay := newRetry()
	failing := false
	for ctx.Err() == nil {
		asked := r.Mono()
		res, err := r.Log.Read(ctx, r.Stream, r.Offset(), readLimit, r.Wait)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.Metrics.LogRequests("read", "error").Inc()
			r.noteFailure(failing, err)
			failing = true
			sleep(ctx, delay.NextBackOff())
			continue
		}
		r.Metrics.LogRequests("read", "ok").Inc()
		if failing {
			r.Logs.Info("the log answers again", "end", res.End)
		}
		failing = false
		delay.Reset()
		if !r.Deliver(logRead(res, asked)) {
			return nil
		}
	}
	return nil
}

// logRead returns the event of a read that was asked for at the monotonic time
// asked.
func logRead(r logclient.ReadResult, asked time.Duration) step.LogRead {
	return step.LogRead{From: r.From, Records: r.Records, End: r.End, Oldest: r.Oldest, AskedAt: asked}
}

func (r *Reader) noteFailure(failing bool, err error) {
	if !failing {
		r.Logs.Error(err, "reading the log failed; retrying")
	}
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetry
	b.MaxInterval = maxRetry
	return b
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
