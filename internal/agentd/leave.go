package agentd

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// flushPollInterval is the time between two checks for messages that the transport
// has not written yet.
const flushPollInterval = 5 * time.Millisecond

// leave waits until ctx ends and then until the core's tasks and jobs have completed. The
// agent keeps serving until the core reports that it is drained. After the grace time,
// leave gives up and returns ErrGraceExpired.
func (d *Daemon) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.killed.Done():
		return ErrKilled
	}
	d.draining.Store(true)
	d.logs.Info("leaving", "tasks", d.tasks.count())
	d.loop.Post(step.Drain{})
	grace := time.NewTimer(d.cfg.Settings.Timing.Grace)
	defer grace.Stop()
	select {
	case <-d.drained.Done():
		d.flush()
		return nil
	case <-d.killed.Done():
		d.logs.Info("tasks cut off by a kill", "tasks", d.tasksCutOff.Load())
		return ErrKilled
	case <-grace.C:
		d.logs.Info("tasks cut off at the end of the grace time", "tasks", d.tasks.count())
		return ErrGraceExpired
	}
}

// flush waits until the last control records and messages are sent, for a bounded
// time each.
func (d *Daemon) flush() {
	_ = lifecycle.WithTimeout(process.FlushTimeout, d.stream.Flush)
	_ = lifecycle.WithTimeout(process.FlushTimeout, d.flushMessages)
}

// flushMessages waits until the transport has written or dropped every message.
func (d *Daemon) flushMessages(ctx context.Context) error {
	for d.hasUnsentMessages() && ctx.Err() == nil {
		lifecycle.Wait(flushPollInterval, ctx.Done())
	}
	return ctx.Err()
}

// hasUnsentMessages reports whether the transport has neither written nor dropped
// some of the messages that it was given.
func (d *Daemon) hasUnsentMessages() bool {
	s := d.transport.Stats()
	writtenOrDropped := s.MessagesOut + s.DroppedFull + s.DroppedNoAddress + s.DroppedCut + s.DroppedStale + s.DroppedOther
	return writtenOrDropped < d.messagesSent.Load()
}
