package home

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/runnable"
)

const (
	// noMatchTimeoutDivisor sets how long a task waits for a matching upstream to
	// appear: at most timeout / noMatchTimeoutDivisor. If a matching upstream left
	// recently, the task may wait until this time remains before its deadline. The
	// caller can use the rest for an alternative.
	noMatchTimeoutDivisor = 4
	// noMatchRetryAfter is the retry delay sent to the caller of a job that no
	// upstream matched.
	noMatchRetryAfter = 2 * time.Second
)

// observeFleetChange records a change in noMatchWait if the set of upstreams that may
// run tasks may have changed since the last call.
func (c *Core) observeFleetChange() {
	version := c.eligibilityVersion()
	if c.noMatchWait == nil {
		c.noMatchWait = runnable.New(c.now.Mono)
	}
	if version != c.fleetVersion {
		c.fleetVersion = version
		c.noMatchWait.RecordChange(c.now.Mono)
	}
}

// eligibilityVersion changes with the list of executors and with the tasks that
// they may run.
func (c *Core) eligibilityVersion() uint64 { return c.cfg.Eligibility.Version() + c.linksVersion }

// waitForMatchOrFail handles a task t of group g that no executor may run. The task
// waits if a matching upstream may still appear, because the set of upstreams has
// just changed or a matching one left recently. Otherwise its job fails.
func (c *Core) waitForMatchOrFail(t *task, g *group) {
	r := t.record
	if !g.unmatched {
		g.unmatched, g.unmatchedAt = true, c.now.Mono
	}
	left := c.noMatchWait.RemainingWait(c.now.Mono, c.unmatchedTask(t, g))
	if left <= 0 {
		r.retryAfter = noMatchRetryAfter
		c.failJob(r, errkind.NoUpstreamMatches, "no upstream that may take work matches the labels of a task")
		return
	}
	if at := c.now.Mono + left; at > g.recheckAt {
		g.recheckAt = at
		c.timers.Add(at, timer{kind: timerPlace})
	}
	c.fullGroups = append(c.fullGroups, g)
}

// unmatchedTask describes t to the policy that decides how long it waits for a
// match. The deadline in it leaves the caller time for an alternative.
func (c *Core) unmatchedTask(t *task, g *group) runnable.Task {
	r := t.record
	reserve := r.job.Timeout / noMatchTimeoutDivisor
	u := runnable.Task{WaitingSince: g.unmatchedAt, Deadline: min(g.unmatchedAt+reserve, r.deadline)}
	u.LastMatch, u.MatchedBefore = c.cfg.Eligibility.LastEligible(r.job, &r.job.Tasks[t.index])
	if u.MatchedBefore {
		u.Deadline = r.deadline - reserve
	}
	return u
}
