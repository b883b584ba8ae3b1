package home

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// watchWorkers tells the fault detector which executors are known.
func (c *Core) watchWorkers() {
	ids := make([]node.ID, 0, len(c.order))
	for _, l := range c.order {
		ids = append(ids, l.ref.ID)
	}
	c.faults.SetWorkers(c.now.Mono, ids)
}

// observeOutcome passes the end of a task to the fault detector. An answer that
// was lost says nothing about the worker, and the executor of this process has
// passed on its own outcomes. The job is what may be to blame besides the
// worker.
func (c *Core) observeOutcome(t *task, worker node.ID, s job.TaskState) {
	if s == job.Unknown || worker == c.cfg.Self.ID {
		return
	}
	c.faults.Observe(c.now.Mono, worker, string(t.record.id), s == job.Failed)
}

// observeSent notes a task sent to another executor, which uses up its trial.
func (c *Core) observeSent(l *link) {
	if l.ref.ID != c.cfg.Self.ID {
		c.faults.RecordSent(c.now.Mono, l.ref.ID)
	}
}

// observeReport takes what another executor reports of itself.
func (c *Core) observeReport(l *link) {
	if l.ref.ID != c.cfg.Self.ID {
		c.faults.SetReportsFailing(l.ref.ID, l.load.Failing)
	}
}

// refreshService notes which executors have come into service since the last
// change of configuration or membership.
func (c *Core) refreshService() {
	version := c.cfg.Eligibility.Version() + c.linksVersion
	if c.serviceVersion == version {
		return
	}
	c.serviceVersion = version
	for _, l := range c.order {
		in := c.cfg.Eligibility.InService(l.ref)
		if in && !l.inService {
			l.upSince = c.now.Mono
		}
		l.inService = in
	}
}
