package entryd

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// leave waits until ctx ends and then until the calls in flight are answered.
// Ready fails at once, but the entry accepts calls until the readiness delay has
// passed. The grace time includes that delay. When it ends, leave gives up and returns
// ErrGraceExpired.
func (d *Daemon) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.killed.Done():
		return ErrKilled
	}
	d.draining.Store(true)
	d.logs.Info("leaving", "calls", d.calls.Count())
	grace, cancel := context.WithTimeout(context.Background(), d.cfg.Settings.Timing.Grace)
	defer cancel()
	if !lifecycle.Wait(time.Duration(d.cfg.Settings.Timing.ReadinessDelay), d.killed.Done()) {
		return ErrKilled
	}
	err := d.finish(grace)
	switch err {
	case ErrKilled:
		d.logs.Info("calls cut off by a kill", "calls", d.callsCutOff.Load())
	case ErrGraceExpired:
		d.logs.Info("calls cut off at the end of the grace time", "calls", d.calls.Count())
	}
	return err
}

// finish closes the HTTP interface for callers and waits until every call is answered
// and the core is drained.
func (d *Daemon) finish(grace context.Context) error {
	answered := make(chan error, 1)
	go func() { answered <- d.api.Shutdown(grace) }()
	select {
	case err := <-answered:
		if err != nil {
			return ErrGraceExpired
		}
	case <-d.killed.Done():
		return ErrKilled
	}
	d.loop.Post(step.Drain{})
	select {
	case <-d.drained.Done():
		_ = lifecycle.WithTimeout(process.FlushTimeout, d.stream.Flush)
		return nil
	case <-grace.Done():
		return ErrGraceExpired
	case <-d.killed.Done():
		return ErrKilled
	}
}
