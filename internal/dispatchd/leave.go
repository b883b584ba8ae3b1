package dispatchd

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/dispatch"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
)

// closingShare is the divisor that gives the last part of the grace time, in which answers are
// written and idle connections closed: 500 ms of the default 5 s. A host with 0.144 cores takes
// tens of milliseconds to read a request.
const closingShare = 10

// leave waits for the end of ctx and then carries out the planned stop. The readiness
// check fails at once, and every answer closes its connection. leave returns when all calls
// are answered, or when the grace time has ended.
func (d *Daemon) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.killed.Done():
		return ErrKilled
	}
	d.draining.Store(true)
	d.logs.Info("leaving", "calls", d.submissions.Count())
	timing := d.timing.Load()
	grace, cancel := context.WithTimeout(context.Background(), timing.Grace)
	defer cancel()
	finishCalls := d.shutdownCallers
	if d.cfg.Settings.Timing.DrainConnections {
		finishCalls = d.drainCallers
	}
	if err := finishCalls(grace, timing.Grace, time.Duration(timing.ReadinessDelay)); err != nil {
		return err
	}
	select {
	case <-d.drained.Done():
		return nil
	case <-grace.Done():
		if d.drained.IsSet() {
			return nil
		}
		return ErrGraceExpired
	case <-d.killed.Done():
		return ErrKilled
	}
}

// shutdownCallers accepts calls until the readiness delay has passed. Then it waits until the
// calls in flight are answered. It may close a connection on which a request has just arrived.
func (d *Daemon) shutdownCallers(grace context.Context, _, delay time.Duration) error {
	if !lifecycle.Wait(delay, d.killed.Done()) {
		return ErrKilled
	}
	if err := d.callers.Shutdown(grace); err != nil {
		d.logs.Info("calls cut off at the end of the grace time", "calls", d.submissions.Count())
		return ErrGraceExpired
	}
	d.loop.Post(step.Drain{})
	return nil
}

// drainCallers accepts calls until the readiness delay has passed and no connection is left, or
// until the grace time is nearly over. It then closes idle connections with a refusal. The calls that
// are still in flight after half of the rest of the time are answered as interrupted. The other half
// is for writing these answers. A process that stood still begins it late, and then exceeds the
// grace time rather than closing the connections without an answer.
func (d *Daemon) drainCallers(grace context.Context, length, delay time.Duration) error {
	end, _ := grace.Deadline()
	writing := length / closingShare / 2
	closeAt, answerBy := end.Add(-2*writing), end.Add(-writing)
	d.answerBy.Store(&answerBy)
	d.callers.StartDraining()
	if !lifecycle.Wait(min(delay, time.Until(closeAt)), d.killed.Done()) {
		return ErrKilled
	}
	accepting, cancel := context.WithDeadline(grace, closeAt)
	defer cancel()
	if err := d.untilKilled(accepting, d.callers.AwaitDrained); err == ErrKilled {
		return err
	}
	d.logs.Info("closing connections", "calls", d.submissions.Count(), "ms_left", time.Until(end).Milliseconds())
	answering, finish := context.WithCancel(context.Background())
	defer finish()
	cutOff := time.AfterFunc(time.Until(answerBy), func() {
		d.cutOffCalls()
		time.AfterFunc(writing, finish)
	})
	defer cutOff.Stop()
	err := d.untilKilled(answering, d.callers.Retire)
	if err == ErrKilled {
		return err
	}
	if err != nil {
		d.logs.Info("connections still open at the end of the grace time", "calls", d.submissions.Count())
	}
	d.loop.Post(step.Drain{})
	if d.callsCutOff.Load() > 0 {
		return ErrGraceExpired
	}
	return nil
}

// cutOffCalls answers the calls in flight as interrupted.
func (d *Daemon) cutOffCalls() {
	n := d.submissions.Count()
	d.callsCutOff.Store(int64(n))
	d.cutOff.Set()
	d.loop.Post(step.Drain{})
	if n > 0 {
		d.logs.Info("calls cut off at the end of the grace time", "calls", n)
	}
}

// untilKilled calls wait with a context that also ends when the daemon is killed. It then returns
// ErrKilled.
func (d *Daemon) untilKilled(ctx context.Context, wait func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- wait(ctx) }()
	select {
	case err := <-result:
		return err
	case <-d.killed.Done():
		return ErrKilled
	}
}

// estimateError is the share by which a task may take more time than estimated.
const estimateError = 0.4

// limitWait lets a job of a call that arrives during a planned stop end while it can still be
// answered. It leaves a job no time that may not end by then, so that the core refuses it at
// once. A job that was submitted before is not refused, but interrupted.
func (d *Daemon) limitWait(j *dispatch.Job) {
	by := d.answerBy.Load()
	if by == nil {
		return
	}
	left := time.Until(*by)
	if float64(expectedDuration(j))*(1+estimateError) > float64(left) {
		left = 0
	}
	j.Wait = min(j.Wait, left)
}

// expectedDuration returns the sum of the estimates on the longest chain of steps.
func expectedDuration(j *dispatch.Job) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, before := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
