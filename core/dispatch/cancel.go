package dispatch

import "github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"

// handleCancel answers an open job as withdrawn, and makes the cancellation known.
func (c *Core) handleCancel(e Cancel) {
	j, found := c.byID[e.ID]
	if found {
		c.rememberCancelled(e.ID)
		c.announcements.enqueue(c.now.Mono, notice{cancelled: e.ID})
		c.withdraw(j)
	}
	c.out = append(c.out, Cancelled{Call: e.Call, Found: found})
}

// withdraw answers a cancelled job.
func (c *Core) withdraw(j *job) {
	c.answerJob(j, Withdrawn, reasonCancelled, 0)
	if !j.mayHaveRun {
		c.recordWithdrawal(j)
	}
}

// withdrawResubmission answers a submission of a job that is known to be cancelled. It returns
// false for other jobs.
func (c *Core) withdrawResubmission(j *job) bool {
	if !c.cancelled.Known(c.now.Mono, j.spec.ID) {
		return false
	}
	c.stats.CancelledResubmissions++
	c.answerJob(j, Withdrawn, reasonCancelled, 0)
	return true
}

// learnCancelled processes jobs that were cancelled at other dispatchers.
func (c *Core) learnCancelled(a *agent, ids []string) {
	for _, id := range ids {
		c.rememberCancelled(id)
		if j, open := c.byID[id]; open {
			c.logEvent("cancelled_elsewhere", id, "agent", a.ref.String())
			c.stats.CancelledResubmissions++
			c.withdraw(j)
		}
	}
}

func (c *Core) rememberCancelled(id string) {
	if _, forgotten := c.cancelled.Add(c.now.Mono, id); forgotten != "" {
		c.stats.CancelsForgotten++
		c.logEvent("cancel_forgotten", forgotten, "limit", recent.MaxJobs)
	}
}
