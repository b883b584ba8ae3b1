// Package runnable decides how long a task that no upstream matches may wait
// for one to appear.
//
// While nothing changes, such a task can never run and is refused at once.
// While the fleet is reshaping, or when a matching upstream was there a short
// time ago, the task waits for a bounded time.
package runnable

import "time"

const (
	// settle is the time without changes after which the fleet is stable.
	settle = 2 * time.Second
	// maxWait is the longest wait of one task.
	maxWait = 5 * time.Second
	// restart is how long a matching upstream that has gone is expected back.
	restart = 10 * time.Second
)

// Patience follows the changes of the fleet. It is not safe for concurrent use.
type Patience struct{ changed time.Duration }

// New returns a Patience for a process that started at the monotonic time now.
// It does not yet know the whole fleet, which counts as a change.
func New(now time.Duration) *Patience { return &Patience{changed: now} }

// Changed records that an executor, an upstream, a label or a route has been
// added, removed or changed.
func (p *Patience) Changed(now time.Duration) { p.changed = max(p.changed, now) }

// Stable reports whether the fleet has not changed for a while.
func (p *Patience) Stable(now time.Duration) bool { return now-p.changed >= settle }

// Task describes a task that no upstream matches.
type Task struct {
	// Since is when it began to wait.
	Since time.Duration
	// Deadline is a monotonic instant.
	Deadline time.Duration
	// Matched is true when an upstream matched it before, at LastMatch.
	Matched   bool
	LastMatch time.Duration
}

// Left returns how long t may still wait at now. Zero means that it must be
// refused now. A change during the wait may prolong it up to its limit.
func (p *Patience) Left(now time.Duration, t Task) time.Duration {
	until := p.changed + settle
	if t.Matched {
		until = max(until, t.LastMatch+restart)
	}
	until = min(until, t.Since+maxWait, t.Deadline)
	return max(until-now, 0)
}
