package agentd

import (
	"context"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/step"
	"github.com/dogwoodgauge/dogwoodgauge/internal/lifecycle"
	"github.com/dogwoodgauge/dogwoodgauge/internal/process"
)

// flushPoll is the time between two looks at what the transport still holds.
const flushPoll = 5 * time.Millisecond

// leave waits for the end of ctx, then lets the core finish what is in flight.
// The agent goes on serving until the core says that it may exit.
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
		d.logs.Info("tasks cut off by a kill", "tasks", d.cut.Load())
		return ErrKilled
	case <-grace.C:
		d.logs.Info("tasks cut off at the end of the grace time", "tasks", d.tasks.count())
		return ErrCut
	}
}

// flush waits for the last control records and messages, for a bounded time.
func (d *Daemon) flush() {
	_ = lifecycle.WithTimeout(process.FlushTime, d.stream.Flush)
	_ = lifecycle.WithTimeout(process.FlushTime, d.flushMessages)
}

// flushMessages waits until the transport has written or dropped every message.
func (d *Daemon) flushMessages(ctx context.Context) error {
	for d.unsent() && ctx.Err() == nil {
		lifecycle.Wait(flushPoll, ctx.Done())
	}
	return ctx.Err()
}

func (d *Daemon) unsent() bool {
	s := d.transport.Stats()
	left := s.MessagesOut + s.DroppedFull + s.DroppedNoAddress + s.DroppedCut + s.DroppedStale + s.DroppedOther
	return left < d.sent.Load()
}
