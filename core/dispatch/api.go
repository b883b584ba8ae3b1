// Package dispatch is the role of a process in charge of restartable jobs: it
// holds each job from its caller's request to the answer, places the tasks on
// agents, and starts a task elsewhere only when it cannot be running any more. See
// package lease for the times that make that safe.
package dispatch

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// Job is one submission. It is not stored: it ends with its caller's request.
type Job struct {
	ID string
	// Request is the caller's own name of this submission, for logs, or empty. A job that
	// is submitted again has another one.
	Request string
	// Route is the route that the submission matched.
	Route *site.Route
	Spec  string
	Steps []Step
	// Wait is how long the caller waits for the answer.
	Wait time.Duration
}

// Step is a number of equal tasks.
type Step struct {
	Count  int
	Demand message.Demand
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration
	// After lists the steps that must be done first.
	After []int
	// Requires is a label that the upstream must have, or empty.
	Requires string
	// Near is a label whose upstreams are preferred, or empty.
	Near string
	// MaxPerUpstream bounds the tasks of the step on one upstream. Zero is no bound.
	MaxPerUpstream int
}

// Outcome is how a submission ended.
type Outcome string

// The outcomes.
const (
	// Completed: every task is done.
	Completed Outcome = "completed"
	// Failed: a task has used up its attempts.
	Failed Outcome = "failed"
	// Refused: nothing of the job has run or will run.
	Refused Outcome = "refused"
	// Interrupted: the job was given up after something of it may have run. It may
	// be submitted again.
	Interrupted Outcome = "interrupted"
)

// Submit hands in a job. Call is unique within the process.
type Submit struct {
	Call uint64
	Job  Job
	// Arrived is the monotonic time at which the request was read, or zero.
	Arrived time.Duration
}

// Abandon says that the caller of a submission has gone.
type Abandon struct {
	Call  uint64
	Cause string
}

// Cancel cancels the job with an ID. It is answered with Cancelled.
type Cancel struct {
	Call uint64
	ID   string
}

// SiteChanged delivers the published state, as read from the store.
type SiteChanged struct{ State *site.State }

// Connected says that there is a connection with an agent.
type Connected struct {
	Agent node.Ref
	// Domain is the agent's failure domain.
	Domain string
}

// IsEvent implements step.Event.
func (Submit) IsEvent() {}

// IsEvent implements step.Event.
func (Abandon) IsEvent() {}

// IsEvent implements step.Event.
func (Cancel) IsEvent() {}

// IsEvent implements step.Event.
func (SiteChanged) IsEvent() {}

// IsEvent implements step.Event.
func (Connected) IsEvent() {}

// Answer ends a submission.
type Answer struct {
	Call    uint64
	Outcome Outcome
	// Reason is a name from a closed list, for logs and metrics.
	Reason string
	// RetryAfter is when a refused job has a chance. Zero is unknown.
	RetryAfter time.Duration
	// Elsewhere says that another dispatcher may serve what this one cannot, so that the
	// caller should open a new connection.
	Elsewhere bool
}

// Cancelled answers a Cancel.
type Cancelled struct {
	Call  uint64
	Found bool
}

// Silent says that an agent has not been heard for so long that its connection is
// to be opened anew.
type Silent struct{ Agent node.Ref }

// Overloaded says that the process has begun to fall behind its work, or has caught up
// for a while. Meanwhile callers should be sent to other dispatchers.
type Overloaded struct{ Now bool }

// Published is the newest published state, after a change.
type Published struct{ State *site.State }

// IsAction implements step.Action.
func (Answer) IsAction() {}

// IsAction implements step.Action.
func (Cancelled) IsAction() {}

// IsAction implements step.Action.
func (Silent) IsAction() {}

// IsAction implements step.Action.
func (Overloaded) IsAction() {}

// IsAction implements step.Action.
func (Published) IsAction() {}
