package home

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
)

const (
	// noMatchWait is how long a task waits for a matching upstream to appear, but
	// not longer than one part in noMatchShare of its timeout.
	noMatchWait  = 2 * time.Second
	noMatchShare = 4
)

// noMatch fails the job of t once the wait for a matching upstream is over. The
// wait is a part of the timeout, so that the caller is told while time is left.
func (c *Core) noMatch(t *task) {
	r := t.record
	wait := min(noMatchWait, r.job.Timeout/noMatchShare)
	since := c.now.Mono - (r.deadline - r.job.Timeout)
	if since >= wait {
		r.retryAfter = noMatchWait
		c.fail(r, errkind.NoUpstreamMatches, "no upstream that may take work matches the labels of a task")
		return
	}
	if r.matchTimer {
		return
	}
	r.matchTimer = true
	c.timers.Add(c.now.Mono+wait-since, timer{kind: timerPlace})
}
