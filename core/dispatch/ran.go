package dispatch

import "github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"

// ranState holds the jobs answered here of which a task may have run, so that a submission
// that comes later is not refused as not run. Most jobs are completed and not submitted again;
// they do not displace the others.
type ranState struct{ completed, others recent.Memory }

func newRanState() ranState { return ranState{others: recent.NewRuns()} }

// rememberRan remembers a job that is answered after a task of it may have run, here or in an
// earlier submission. Each answer renews this, since the job may be submitted again after it.
func (c *Core) rememberRan(j *job, outcome Outcome) {
	switch {
	case !j.startedHereOrBefore():
	case outcome == Completed:
		c.ran.completed.Renew(c.now.Mono, j.spec.ID)
	default:
		if forgotten := c.ran.others.Renew(c.now.Mono, j.spec.ID); forgotten != "" {
			c.logEvent("run_forgotten", forgotten, "limit", c.ran.others.Limit())
		}
	}
}

// ranBefore reports whether a task of a job may have run in a submission that was answered here.
func (c *Core) ranBefore(id string) bool {
	return c.ran.others.Known(c.now.Mono, id) || c.ran.completed.Known(c.now.Mono, id)
}

// MayHaveRun reports whether a task of a job may have run, or may run, in an earlier submission: the
// job must not be refused as one that never runs.
func (c *Core) MayHaveRun(id string) bool {
	_, open := c.byID[id]
	return open || c.resuming() || c.ranBefore(id) || c.cancelled.Known(c.now.Mono, id) ||
		c.holds.known.Held(c.now.Mono, id) || c.crashes.JobKnown(id) || c.crashes.JobCondemned(id)
}

// startedBefore reports whether a task may have been started by an earlier submission.
func (j *job) startedBefore() bool { return j.crashed || j.ranBefore }

// startedHereOrBefore reports whether a task may have been started by this submission or an earlier
// one. Only other jobs are refused as not run.
func (j *job) startedHereOrBefore() bool { return j.mayHaveRun || j.startedBefore() }
