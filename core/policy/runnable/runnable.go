// Package runnable limits how long a task that matches no upstream may wait for a
// matching upstream to appear.
//
// When the fleet has not changed for a while, such a task is refused at once,
// because it could never run. While the fleet is changing, or when the task matched
// an upstream a short time ago, the task waits for a limited time.
package runnable

import "time"

const (
	// settleTime is the time without changes after which the fleet counts as
	// stable.
	settleTime = 2 * time.Second
	// maxWait limits the wait of one task.
	maxWait = 5 * time.Second
	// restartTime is how long after the last match an upstream that has left is
	// expected to restart and match again.
	restartTime = 10 * time.Second
)

// WaitLimit computes from the last change of the fleet how long unmatched tasks may
// wait. It is not safe for concurrent use.
type WaitLimit struct{ lastChangeAt time.Duration }

// New returns a WaitLimit for a process that started at the monotonic time now. The
// start counts as a change, because the process does not know the whole fleet yet.
func New(now time.Duration) *WaitLimit { return &WaitLimit{lastChangeAt: now} }

// RecordChange records that an executor, an upstream, a label or a route was added,
// removed or changed at now.
func (w *WaitLimit) RecordChange(now time.Duration) { w.lastChangeAt = max(w.lastChangeAt, now) }

// Stable reports whether the fleet has not changed for the settle time.
func (w *WaitLimit) Stable(now time.Duration) bool { return now-w.lastChangeAt >= settleTime }

// Task describes a task that matches no upstream. All times are monotonic.
type Task struct {
	// WaitingSince is when the task began to wait.
	WaitingSince time.Duration
	Deadline     time.Duration
	// MatchedBefore is true when the task matched an upstream before. LastMatch
	// is the last time of a match.
	MatchedBefore bool
	LastMatch     time.Duration
}

// RemainingWait returns how long t may still wait at now. Zero means that t
// must be refused now. A change of the fleet during the wait prolongs the wait
// up to maxWait.
func (w *WaitLimit) RemainingWait(now time.Duration, t Task) time.Duration {
	until := w.lastChangeAt + settleTime
	if t.MatchedBefore {
		until = max(until, t.LastMatch+restartTime)
	}
	until = min(until, t.WaitingSince+maxWait, t.Deadline)
	return max(until-now, 0)
}
