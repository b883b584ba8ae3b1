package dispatch

import "time"

// Reasons of answers, for logs and metrics.
const (
	reasonDraining     = "draining"
	reasonTooManyJobs  = "too_many_jobs"
	reasonTooManyTasks = "too_many_tasks"
	reasonTooLarge     = "larger_than_every_upstream"
	reasonNoUpstream   = "no_upstream"
	reasonOverloaded   = "overloaded"
	reasonDeadline     = "deadline_passed"
	reasonNoUse        = "answer_of_no_use"
	reasonPredicted    = "predicted_too_late"
	reasonStartsLate   = "would_start_late"
	reasonAttemptsUsed = "attempts_used_up"
	reasonCrashes      = "upstreams_crashed"
	reasonConfined     = "route_confined"
	reasonCallerGone   = "caller_gone"
	reasonCancelled    = "cancelled"
	reasonPaused       = "process_was_paused"
	reasonTakenOver    = "submitted_again_elsewhere"
	reasonIDInUse      = "id_in_use"
	reasonMayStartLate = "may_start_late"
)

// answerJob answers a job and revokes its open offers.
func (c *Core) answerJob(j *job, outcome Outcome, reason string, retry time.Duration) {
	outlook := c.outlookFields(j, reason)
	for _, t := range j.tasks {
		if t.state == offered {
			c.revoke(t)
		}
	}
	c.rememberRan(j, outcome)
	c.dequeue(j)
	if c.jobs[j.call] == j {
		c.openTasks -= j.countedTasks()
	}
	delete(c.jobs, j.call)
	if c.byID[j.spec.ID] == j {
		delete(c.byID, j.spec.ID)
	}
	c.logEvent("job_ended", j.spec.ID, append([]any{
		"request", j.spec.Request, "outcome", outcome, "reason", reason, "route", j.spec.Route.Name,
		"tasks", len(j.tasks), "offers", j.offerCount, "unplaced", j.unplaced, "took_ms", (c.now.Mono - j.arrivedAt).Milliseconds(),
		"objective_ms", (j.objective - j.arrivedAt).Milliseconds(), "failures", j.mostFailures(), "max_attempts", c.maxAttempts(j), "revision", c.site.Revision,
	}, outlook...)...)
	c.out = append(c.out, Answer{Call: j.call, Outcome: outcome, Reason: reason, RetryAfter: retry})
}

// giveUp answers Interrupted for a job of which a task may have run, also in an earlier
// submission, otherwise Refused.
func (c *Core) giveUp(j *job, reason string) {
	if j.startedHereOrBefore() {
		c.answerJob(j, Interrupted, reason, 0)
		return
	}
	c.answerJob(j, Refused, reason, c.retryDelay(j))
	c.recordWithdrawal(j)
}

// mostFailures returns the number of failed runs of the task that has most.
func (j *job) mostFailures() int {
	most := 0
	for _, t := range j.tasks {
		most = max(most, t.failures)
	}
	return most
}
