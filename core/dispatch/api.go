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
	Demand message.Resources
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration
	// After lists the steps that must be done first.
	After []int
	// RequiredLabel is a label that the upstream must have, or empty.
	RequiredLabel string
	// PreferredLabel is a label whose upstreams are preferred, or empty.
	PreferredLabel string
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
	// ReceivedAt is the monotonic time at which the request was read, or zero.
	ReceivedAt time.Duration
}

// CallerGone says that the caller of a submission has closed its request.
type CallerGone struct {
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

// AgentConnected says that a connection with an agent has been established.
type AgentConnected struct {
	Agent node.Ref
	// Domain is the agent's failure domain.
	Domain string
}

// IsEvent implements step.Event.
func (Submit) IsEvent() {}

// IsEvent implements step.Event.
func (CallerGone) IsEvent() {}

// IsEvent implements step.Event.
func (Cancel) IsEvent() {}

// IsEvent implements step.Event.
func (SiteChanged) IsEvent() {}

// IsEvent implements step.Event.
func (AgentConnected) IsEvent() {}

// Answer ends a submission.
type Answer struct {
	Call    uint64
	Outcome Outcome
	// Reason is a name from a closed list, for logs and metrics.
	Reason string
	// RetryAfter is when a refused job has a chance. Zero is unknown.
	RetryAfter time.Duration
	// TryOtherDispatcher says that another dispatcher may serve what this one cannot, so
	// that the caller should open a new connection.
	TryOtherDispatcher bool
}

// Cancelled answers a Cancel.
type Cancelled struct {
	Call  uint64
	Found bool
}

// AgentUnresponsive says that no message of an agent has been received for so long that
// the connection must be reopened.
type AgentUnresponsive struct{ Agent node.Ref }

// Overloaded says that the process has begun to fall behind its work (Active), or has
// been caught up for a while. While it is active, callers should use other dispatchers.
type Overloaded struct{ Active bool }

// SiteUpdated delivers the newest published state after a change.
type SiteUpdated struct{ State *site.State }

// IsAction implements step.Action.
func (Answer) IsAction() {}

// IsAction implements step.Action.
func (Cancelled) IsAction() {}

// IsAction implements step.Action.
func (AgentUnresponsive) IsAction() {}

// IsAction implements step.Action.
func (Overloaded) IsAction() {}

// IsAction implements step.Action.
func (SiteUpdated) IsAction() {}
