// Package estimate learns service times from finished tasks and predicts the
// time that a new task waits for a slot. Declared times are not used.
package estimate

import "time"

// Estimator tracks the service time of one upstream. The zero value is ready.
// It is not safe for concurrent use.
type Estimator struct{}

// Observe records the service time of one finished task.
func (e *Estimator) Observe(d time.Duration) {}

// Mean returns the smoothed mean service time, or zero before any observation.
func (e *Estimator) Mean() time.Duration { return 0 }

// High returns a high quantile of the service time, or zero before any
// observation.
func (e *Estimator) High() time.Duration { return 0 }

// Wait returns the expected time until a task behind queued others gets one of
// slots slots, of which busy are in use.
func (e *Estimator) Wait(queued, busy, slots int) time.Duration { return 0 }

// Feasible reports whether a task that waits for wait can be expected to end
// within timeout.
func (e *Estimator) Feasible(wait, timeout time.Duration) bool { return true }

// RetryAfter returns when a refused task with this timeout could be accepted.
func (e *Estimator) RetryAfter(wait, timeout time.Duration) time.Duration { return 0 }
