package home

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/runnable"
)

const (
	// noMatchShare is the part of its timeout for which a task waits for a
	// matching upstream to appear at most. When such an upstream has left lately,
	// it is the part that is kept for the caller.
	noMatchShare = 4
	// noMatchRetry is when a caller may submit a job again that no upstream
	// matched.
	noMatchRetry = 2 * time.Second
)

// followFleet notes when the answers of Eligibility have changed.
func (c *Core) followFleet() {
	version := c.eligibleVersion()
	if c.patience == nil {
		c.patience = runnable.New(c.now.Mono)
	}
	if version != c.fleetVersion {
		c.fleetVersion = version
		c.patience.RecordChange(c.now.Mono)
	}
}

// eligibleVersion changes with the executors and with what they may run.
func (c *Core) eligibleVersion() uint64 { return c.cfg.Eligibility.Version() + c.linksVersion }

// noMatch fails the job of t, which no executor of g may run, unless one may yet
// appear: the fleet has just changed, or an upstream that matched left lately.
func (c *Core) noMatch(t *task, g *group) {
	r := t.record
	if !g.unmatched {
		g.unmatched, g.unmatchedAt = true, c.now.Mono
	}
	left := c.patience.RemainingWait(c.now.Mono, c.unmatchedTask(t, g))
	if left <= 0 {
		r.retryAfter = noMatchRetry
		c.fail(r, errkind.NoUpstreamMatches, "no upstream that may take work matches the labels of a task")
		return
	}
	if at := c.now.Mono + left; at > g.lookAt {
		g.lookAt = at
		c.timers.Add(at, timer{kind: timerPlace})
	}
	c.full = append(c.full, g)
}

// unmatchedTask describes t to the policy. Its deadline leaves the caller time
// to do something else.
func (c *Core) unmatchedTask(t *task, g *group) runnable.Task {
	r := t.record
	reserve := r.job.Timeout / noMatchShare
	u := runnable.Task{WaitingSince: g.unmatchedAt, Deadline: min(g.unmatchedAt+reserve, r.deadline)}
	u.LastMatch, u.MatchedBefore = c.cfg.Eligibility.LastEligible(r.job, &r.job.Tasks[t.index])
	if u.MatchedBefore {
		u.Deadline = r.deadline - reserve
	}
	return u
}
