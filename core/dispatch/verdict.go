package dispatch

// recordTaskFailure counts a reported failure. The task is retried, preferably on other
// agents, until its attempts are used up.
func (c *Core) recordTaskFailure(t *task) {
	t.failures++
	if t.failures >= c.maxAttempts(t.job) {
		c.answerJob(t.job, Failed, reasonAttemptsUsed, 0)
		return
	}
	c.requeue(t)
}

// maxAttempts returns the number of reported failures of a task after which the job fails: the
// highest of the configurations under which it was submitted and of the one in force.
func (c *Core) maxAttempts(j *job) int {
	limit := j.acceptedAttempts
	if r := c.site.Route(j.spec.Route.Name); r != nil {
		limit = max(limit, r.MaxAttempts)
	}
	return limit
}
