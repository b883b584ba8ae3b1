// Package estimate learns service times from finished tasks and predicts the
// time that a new task waits for a slot. Declared times are not used.
package estimate

import "time"

// smoothing is the weight of one observation in the mean, as a divisor.
const smoothing = 16

// The quantiles of the service time that are used.
const (
	lowQuantile  = 0.10
	highQuantile = 0.95
)

// MinRetryAfter is the least time given to a refused task.
const MinRetryAfter = 20 * time.Millisecond

// NoSlots is the wait for an upstream without slots.
const NoSlots = time.Hour

// Estimator tracks the service time of one upstream. The zero value is ready.
// It is not safe for concurrent use.
type Estimator struct {
	mean time.Duration
	hist histogram
}

// Observe records the service time of one finished task.
func (e *Estimator) Observe(d time.Duration) {
	d = max(d, 0)
	if e.hist.total == 0 {
		e.mean = d
	}
	e.mean += (d - e.mean) / smoothing
	e.hist.add(d)
}

// Mean returns the smoothed mean service time, or zero before any observation.
func (e *Estimator) Mean() time.Duration { return e.mean }

// Low returns a low quantile of the service time, or zero before any
// observation.
func (e *Estimator) Low() time.Duration { return e.hist.quantile(lowQuantile) }

// High returns a high quantile of the service time, or zero before any
// observation.
func (e *Estimator) High() time.Duration { return e.hist.quantile(highQuantile) }

// Wait returns the expected time until a task behind queued others gets one of
// slots slots, of which busy are in use.
func (e *Estimator) Wait(queued, busy, slots int) time.Duration {
	if slots <= 0 {
		return NoSlots
	}
	ahead := queued + 1 - (slots - busy)
	if ahead <= 0 {
		return 0
	}
	return e.mean * time.Duration(ahead) / time.Duration(slots)
}

// Feasible reports whether a task that waits for wait can be expected to end
// within timeout. Tasks differ, so it allows for a short one, and a task that
// need not wait is always given the chance.
func (e *Estimator) Feasible(wait, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	return wait == 0 || wait+e.Low() <= timeout
}

// RetryAfter returns when a refused task with this timeout could be accepted.
func (e *Estimator) RetryAfter(wait, timeout time.Duration) time.Duration {
	return max(wait+e.Low()-timeout, MinRetryAfter)
}
