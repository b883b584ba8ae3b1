package dispatch

import "time"

// checkDeadlines gives up the jobs whose callers no longer wait.
func (c *Core) checkDeadlines() {
	for call, ok := c.deadlines.Pop(c.now.Mono); ok; call, ok = c.deadlines.Pop(c.now.Mono) {
		if j, open := c.jobs[call]; open {
			c.giveUp(j, reasonDeadline)
		}
	}
}

// refuseInfeasible refuses the waiting jobs that cannot meet their deadlines and of which
// no task may have run, and gives up those that were held for too long.
func (c *Core) refuseInfeasible() {
	for call, ok := c.latestStarts.Pop(c.now.Mono); ok; call, ok = c.latestStarts.Pop(c.now.Mono) {
		j, open := c.jobs[call]
		switch {
		case open && j.held:
			c.giveUp(j, reasonMayStartLate)
		case open && j.queued && !j.mayHaveRun:
			c.giveUp(j, j.lateReason(c.cfg.UsefulFactor))
		}
	}
}

// estimateError is the share by which a task may take less time than estimated.
const estimateError = 0.4

// latestStart returns the time from which a job that has not started misses its deadline, or
// its answer comes too late to be of use.
func (j *job) latestStart(usefulFactor float64) time.Duration {
	return j.usefulUntil(usefulFactor, j.longestEstimate) - leastDuration(j.longestEstimate)
}

// leastDuration returns the least time that a task takes, given the error of its estimate.
func leastDuration(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * (1 - estimateError))
}
