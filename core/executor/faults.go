package executor

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// Quarantined reports whether the local worker is in quarantine, so that the
// executor refuses new tasks. On probation it accepts one task at a time.
func (c *Core) Quarantined(now clock.Now) bool {
	return c.cfg.Faults.Quarantined(now.Mono, c.cfg.Self)
}

// observeOutcome reports the outcome of a task to the fault detector. If that puts
// the worker in quarantine, the executor refuses all waiting tasks, so that their
// homes can place them elsewhere.
func (c *Core) observeOutcome(now clock.Now, t *task, state job.TaskState) {
	if state != job.Done && state != job.Failed {
		return
	}
	c.cfg.Faults.Observe(now.Mono, c.cfg.Self, string(t.start.ID), state == job.Failed)
	if state == job.Done || !c.Quarantined(now) {
		return
	}
	for _, waiting := range c.queue.RemoveFunc(func(*task) bool { return true }) {
		c.refuse(waiting, message.RefusedBusy, 0)
	}
}
