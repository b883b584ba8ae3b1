// Package admission sheds load early: it refuses a task on arrival, before it
// is queued, when the observed queue delays show that the task would start or
// complete too late.
//
// The controller follows CoDel: a class is over its target once every queue
// delay has exceeded the target for a whole interval. While a class is over its
// target, all lower classes are shed, and the wait of its own tasks is limited
// by the target instead of by their deadlines. This ends once no observed delay
// and no expected wait of a request has exceeded the target during the recovery
// time. Thus no backlog outlives a burst, and none builds up again while the
// burst lasts.
package admission

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// The target queue delay of each class under sustained load.
const (
	UrgentTarget = 20 * time.Millisecond
	NormalTarget = 500 * time.Millisecond
	BatchTarget  = 2 * time.Second
)

// interval is how long all delays of a class must exceed its target before the
// class counts as over its target.
const interval = 100 * time.Millisecond

// Recovery is how long no delay and no expected wait may exceed the target of a
// class before the class is no longer over its target.
const Recovery = time.Second

// minRetryAfter is the minimum Decision.RetryAfter.
const minRetryAfter = interval

// numClasses is the number of priority classes.
const numClasses = 3

// targets holds a target queue delay for each class, indexed by its rank.
type targets [numClasses]time.Duration

var taskTargets = targets{UrgentTarget, NormalTarget, BatchTarget}

// unbounded is a target that no delay exceeds.
const unbounded = time.Duration(1<<63 - 1)

// jobTargets limit the queue delay at a home. A large job of a lower class waits
// mostly for its own tasks, so only its deadline limits its delay.
var jobTargets = targets{UrgentTarget, unbounded, unbounded}

// Request describes a task or a job that is to be queued.
type Request struct {
	Class job.Class
	// Timeout is the time that remains until the deadline.
	Timeout time.Duration
	// Wait is the expected time until a slot is free for the class. Service is
	// the shortest service time to allow for; see package estimate.
	Wait    time.Duration
	Service time.Duration
	// Margin is the uncertain part of Wait, which may turn out to be zero. It is
	// subtracted when Wait is compared with the deadline.
	Margin time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// Admitted means that the request was not refused.
	Admitted Reason = ""
	// Late means that the task cannot complete before its deadline.
	Late Reason = "late"
	// Shed means that a higher class is over its target.
	Shed Reason = "shed"
	// Overload means that the class of the task is over its target and the task
	// would wait longer than the target.
	Overload Reason = "overload"
)

// Decision tells whether a Request is admitted.
type Decision struct {
	OK     bool
	Reason Reason
	// RetryAfter is the time after which a refused task may be sent again. Tasks
	// refused together get the same time; retry.Backoff.AddJitter adds the jitter
	// that keeps their senders from returning together.
	RetryAfter time.Duration
}

// Controller tracks the queue delay of each class and decides which requests
// are admitted. It is not safe for concurrent use.
type Controller struct {
	targets targets
	state   [numClasses]delayState
	floor   time.Duration
}

// SetFloor sets the minimum target of every class: the time in which one slot is
// expected to become free. With a lower target, slots would idle because no task
// waits.
func (c *Controller) SetFloor(d time.Duration) { c.floor = d }

// Target returns the target queue delay of class under sustained load.
func (c *Controller) Target(class job.Class) time.Duration { return c.target(class.Rank()) }

func (c *Controller) target(rank int) time.Duration { return max(c.targets[rank], c.floor) }

// New returns a controller for the tasks of an executor, without observations.
func New() *Controller { return &Controller{targets: taskTargets} }

// NewForJobs returns a controller for the jobs of a home, without observations.
func NewForJobs() *Controller { return &Controller{targets: jobTargets} }

// Observe records the queue delay of a task that left the queue at now.
func (c *Controller) Observe(now time.Duration, class job.Class, delay time.Duration) {
	r := class.Rank()
	c.state[r].observe(now, delay > c.target(r))
}

// OverTarget reports whether class is over its target at the monotonic time now.
func (c *Controller) OverTarget(now time.Duration, class job.Class) bool {
	return c.state[class.Rank()].over(now)
}

// Admit decides whether r is admitted at the monotonic time now. When a slot is
// free for the class (Wait is zero), Admit refuses r only if its deadline has
// passed.
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
	if r.Wait > c.target(own) && c.state[own].recordPressure(now) {
		return refuse(Overload, r.Wait-c.target(own))
	}
	return Decision{OK: true}
}

func refuse(reason Reason, after time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: max(after, minRetryAfter)}
}
