package home

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// updateKnownWorkers passes the list of executors to the fault detector.
func (c *Core) updateKnownWorkers() {
	ids := make([]node.ID, 0, len(c.order))
	for _, l := range c.order {
		ids = append(ids, l.ref.ID)
	}
	c.faults.SetWorkers(c.now.Mono, ids)
}

// observeOutcome reports the outcome of a task to the fault detector. It omits
// unknown outcomes, which are no evidence for or against the worker. It also omits
// those of the local executor, which reports them to the detector itself. The job's
// ID is reported because the job instead of the worker may have caused a failure.
func (c *Core) observeOutcome(t *task, worker node.ID, s job.TaskState) {
	if s == job.Unknown || worker == c.cfg.Self.ID {
		return
	}
	c.faults.Observe(c.now.Mono, worker, string(t.record.id), s == job.Failed)
}

// observeSent tells the fault detector that a task was sent to another executor: a
// worker on probation gets one trial task at a time.
func (c *Core) observeSent(l *link) {
	if l.ref.ID != c.cfg.Self.ID {
		c.faults.RecordSent(c.now.Mono, l.ref.ID)
	}
}

// observeReportedFailing passes on to the fault detector whether another executor
// reports that its own worker is failing.
func (c *Core) observeReportedFailing(l *link) {
	if l.ref.ID != c.cfg.Self.ID {
		c.faults.SetReportsFailing(l.ref.ID, l.load.Failing)
	}
}

// refreshInService updates which executors are in service, and since when, if the
// configuration or the list of executors has changed.
func (c *Core) refreshInService() {
	version := c.cfg.Eligibility.Version() + c.linksVersion
	if c.inServiceVersion == version {
		return
	}
	c.inServiceVersion = version
	for _, l := range c.order {
		in := c.cfg.Eligibility.InService(l.ref)
		if in && !l.inService {
			l.inServiceSince = c.now.Mono
		}
		l.inService = in
	}
}
