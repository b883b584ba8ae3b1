// Package admission sheds load before it waits: it refuses a task at once when
// the observed queue delay shows that it would come too late.
//
// The controller follows CoDel: a class is over its target once its queue delay
// has not fallen below the target for a whole interval. A class that is over
// its target sheds every lower class, and bounds its own queue delay to the
// target instead of the deadline. That ends once neither a delay nor a request
// has been above the target for a recovery time, so that no backlog outlives a
// burst and none builds up again while the burst lasts.
package admission

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// The queue delay that each class may have under lasting load.
const (
	UrgentTarget = 20 * time.Millisecond
	NormalTarget = 500 * time.Millisecond
	BatchTarget  = 2 * time.Second
)

// interval is the time for which the delay of a class must stay above its
// target before the class counts as over it.
const interval = 100 * time.Millisecond

// Recovery is the time without pressure after which a class is no longer over
// its target.
const Recovery = time.Second

// minRetryAfter is the least time given to a refused task.
const minRetryAfter = interval

// classes is the number of classes.
const classes = 3

// targets are queue delays, indexed by rank.
type targets [classes]time.Duration

var taskTargets = targets{UrgentTarget, NormalTarget, BatchTarget}

// unbounded is a target that no delay exceeds.
const unbounded = time.Duration(1<<63 - 1)

// jobTargets bound the delay at a home. Large jobs of the lower classes wait for
// their own tasks, so that only a deadline bounds them.
var jobTargets = targets{UrgentTarget, unbounded, unbounded}

// Request describes a task or a job that asks to be queued.
type Request struct {
	Class job.Class
	// Timeout is the time that remains until the deadline.
	Timeout time.Duration
	// Wait is the expected time until a slot is free for the class, and Service
	// the least time to allow for the work itself; see package estimate.
	Wait    time.Duration
	Service time.Duration
	// Margin is the part of Wait that may not come. It does not count against
	// the deadline.
	Margin time.Duration
}

// Reason says why a task was refused.
type Reason string

// The reasons of a refusal.
const (
	// Admitted: the task was not refused.
	Admitted Reason = ""
	// Late: the task could not end before its deadline.
	Late Reason = "late"
	// Shed: a higher class is over its target.
	Shed Reason = "shed"
	// Overload: the own class is over its target and the task would wait longer.
	Overload Reason = "overload"
)

// Decision is the answer to a Request.
type Decision struct {
	OK     bool
	Reason Reason
	// RetryAfter is when a refused task may be sent again. It is the same for
	// tasks refused together; see retry.Backoff.Spread.
	RetryAfter time.Duration
}

// Controller watches the queue delay of each class. It is not safe for
// concurrent use.
type Controller struct {
	targets targets
	state   [classes]delayState
	floor   time.Duration
}

// SetFloor sets the least target of every class: the time in which one slot is
// expected to become free. Below it, slots would stay idle for want of a task.
func (c *Controller) SetFloor(d time.Duration) { c.floor = d }

// Target returns the queue delay that class may have under lasting load.
func (c *Controller) Target(class job.Class) time.Duration { return c.target(class.Rank()) }

func (c *Controller) target(rank int) time.Duration { return max(c.targets[rank], c.floor) }

// New returns a controller for the tasks of an executor that has seen no delay.
func New() *Controller { return &Controller{targets: taskTargets} }

// NewForJobs returns a controller for the jobs of a home that has seen no delay.
func NewForJobs() *Controller { return &Controller{targets: jobTargets} }

// Observe records the queue delay of a task that left the queue at now.
func (c *Controller) Observe(now time.Duration, class job.Class, delay time.Duration) {
	r := class.Rank()
	c.state[r].observe(now, delay > c.target(r))
}

// Over reports whether class is over its target at now.
func (c *Controller) Over(now time.Duration, class job.Class) bool {
	return c.state[class.Rank()].over(now)
}

// Admit decides on r at the monotonic time now. A task that finds a slot free
// for its class is refused only when its deadline has passed.
func (c *Controller) Admit(now time.Duration, r Request) Decision {
	own := r.Class.Rank()
	c.state[own].observe(now, r.Wait > c.target(own))
	if r.Timeout <= 0 {
		return refuse(Late, 0)
	}
	if r.Wait <= 0 {
		return Decision{OK: true}
	}
	if late := r.Wait - r.Margin + r.Service - r.Timeout; late > 0 {
		return refuse(Late, late)
	}
	for higher := range own {
		if c.state[higher].over(now) {
			return refuse(Shed, r.Wait)
		}
	}
	if r.Wait > c.target(own) && c.state[own].press(now) {
		return refuse(Overload, r.Wait-c.target(own))
	}
	return Decision{OK: true}
}

func refuse(reason Reason, after time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: max(after, minRetryAfter)}
}
