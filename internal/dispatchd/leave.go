package dispatchd

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
)

// leave waits for the end of ctx and then carries out the planned stop. The readiness
// check fails at once. New calls are accepted until the readiness delay has passed, and
// every answer closes its connection. leave returns when all calls are answered, or
// when the grace time has ended.
func (d *Daemon) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.killed.Done():
		return ErrKilled
	}
	d.draining.Store(true)
	d.logs.Info("leaving", "calls", d.submissions.Count())
	grace, cancel := context.WithTimeout(context.Background(), d.timing.Load().Grace)
	defer cancel()
	if !lifecycle.Wait(time.Duration(d.timing.Load().ReadinessDelay), d.killed.Done()) {
		return ErrKilled
	}
	if err := d.callers.Shutdown(grace); err != nil {
		d.logs.Info("calls cut off at the end of the grace time", "calls", d.submissions.Count())
		return ErrGraceExpired
	}
	d.loop.Post(step.Drain{})
	select {
	case <-d.drained.Done():
		return nil
	case <-grace.Done():
		return ErrGraceExpired
	case <-d.killed.Done():
		return ErrKilled
	}
}
