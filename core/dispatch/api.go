// Package dispatch implements the dispatcher, the process in charge of restartable jobs.
// It holds each job from the caller's request to the answer, places the tasks on agents,
// and starts a task on another agent only when no earlier run of the task can be alive.
// Package lease defines the times that ensure this.
package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// Job is one submission of a job. It is not stored: it ends with its caller's request.
type Job struct {
	ID string
	// Request is the caller's ID of this submission, for logs, or empty. A resubmission of
	// the job has another one.
	Request string
	// Route is the route that the submission matched.
	Route *site.Route
	Spec  string
	Steps []Step
	// Wait is how long the caller waits for the answer.
	Wait time.Duration
}

// taskCount returns the number of tasks of all steps.
func (j *Job) taskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// asksSame reports whether o asks for the same tasks as j. Estimates and preferences may
// differ.
func (j *Job) asksSame(o Job) bool {
	return j.Spec == o.Spec && slices.EqualFunc(j.Steps, o.Steps, func(x, y Step) bool {
		return x.Count == y.Count && x.Demand == y.Demand && x.RequiredLabel == y.RequiredLabel &&
			x.MaxPerUpstream == y.MaxPerUpstream && slices.Equal(x.After, y.After)
	})
}

// Step is a group of identical tasks.
type Step struct {
	Count  int
	Demand message.Resources
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration
	// After lists the indexes of the steps that must be done first.
	After []int
	// RequiredLabel is a label that the upstream must have, or empty.
	RequiredLabel string
	// PreferredLabel is a label, or empty. Upstreams that have it are preferred.
	PreferredLabel string
	// MaxPerUpstream limits how many tasks of the step one upstream may have at a time.
	// Zero means no limit.
	MaxPerUpstream int
}

// Outcome is the outcome of a submission.
type Outcome string

// The outcomes.
const (
	// Completed: every task has succeeded.
	Completed Outcome = "completed"
	// Failed: a task has used up its attempts.
	Failed Outcome = "failed"
	// Refused: no task of the job has run or will run.
	Refused Outcome = "refused"
	// Interrupted: the job was given up after a task of it may have run. It may be
	// submitted again.
	Interrupted Outcome = "interrupted"
	// Withdrawn: the job was cancelled. Nothing of it is started any more, also if it is
	// submitted again.
	Withdrawn Outcome = "cancelled"
)

// Submit submits a job. Call is unique within the process.
type Submit struct {
	Call uint64
	Job  Job
	// ReceivedAt is the monotonic time at which the request was read, or zero.
	ReceivedAt time.Duration
}

// CallerGone reports that the caller of a submission has closed its request.
type CallerGone struct {
	Call  uint64
	Cause string
}

// Cancel cancels the job with this ID. The answer is a Cancelled.
type Cancel struct {
	Call uint64
	ID   string
}

// SiteChanged delivers the published site state that was read from the store.
type SiteChanged struct{ State *site.State }

// AgentConnected reports that a connection with an agent has been established.
type AgentConnected struct {
	Agent node.Ref
	// Former is an earlier incarnation of the agent that was connected at the same address and
	// has ended, or zero.
	Former node.Ref
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

// Answer is the answer to a Submit.
type Answer struct {
	Call    uint64
	Outcome Outcome
	// Reason is a name from a closed list, for logs and metrics.
	Reason string
	// RetryAfter is the time after which a refused job may be accepted. Zero means
	// unknown.
	RetryAfter time.Duration
	// TryOtherDispatcher is set if another dispatcher may accept what this one cannot. The
	// caller should then open a new connection.
	TryOtherDispatcher bool
}

// Cancelled is the answer to a Cancel.
type Cancelled struct {
	Call  uint64
	Found bool
}

// AgentUnresponsive reports that an agent has sent no heartbeat for so long that its
// connection must be reopened.
type AgentUnresponsive struct{ Agent node.Ref }

// Overloaded reports that the process has begun to fall behind its work (Active is true),
// or that it has kept up again for a while (Active is false). In between, callers should use
// other dispatchers.
type Overloaded struct{ Active bool }

// SiteUpdated delivers the newest published site state after a change.
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
