// Package estimate learns service times from completed tasks and predicts how
// long a new task waits for a slot. Service times that callers declare are not
// used.
package estimate

import "time"

// smoothing is the inverse weight of one observation in the smoothed mean.
const smoothing = 16

// The quantiles of the service time that LowQuantile and HighQuantile return.
const (
	lowQuantile  = 0.10
	highQuantile = 0.95
)

// MinRetryAfter is the minimum that RetryAfter returns.
const MinRetryAfter = 20 * time.Millisecond

// NoSlots is the wait that is assumed for an upstream without slots.
const NoSlots = time.Hour

// Estimator tracks the service time of one upstream. The zero value has no
// observations and is ready for use. It is not safe for concurrent use.
type Estimator struct {
	mean time.Duration
	hist histogram
}

// Observe records the service time of one completed task.
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

// LowQuantile returns the quantile lowQuantile of the service time, or zero
// before any observation.
func (e *Estimator) LowQuantile() time.Duration { return e.hist.quantile(lowQuantile) }

// HighQuantile returns the quantile highQuantile of the service time, or zero
// before any observation.
func (e *Estimator) HighQuantile() time.Duration { return e.hist.quantile(highQuantile) }

// Wait returns the expected time until a task gets a slot, when queued tasks
// wait before it and busy of the slots are in use.
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

// Feasible reports whether a task that first waits for wait may complete within
// timeout. Service times differ between tasks, so Feasible assumes a short one
// (see LowQuantile). A task that need not wait is always feasible while its
// timeout has not passed.
func (e *Estimator) Feasible(wait, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	return wait == 0 || wait+e.LowQuantile() <= timeout
}

// RetryAfter returns the time after which a refused task with this timeout could
// be accepted.
func (e *Estimator) RetryAfter(wait, timeout time.Duration) time.Duration {
	return max(wait+e.LowQuantile()-timeout, MinRetryAfter)
}
