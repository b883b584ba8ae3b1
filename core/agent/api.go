package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// Event is an input of Core.Step: one of the events below.
type Event = step.Event

// Events common to all roles.
type (
	Tick        = step.Tick
	Received    = step.Received
	PeerDead    = step.PeerDead
	PeerSuspect = step.PeerSuspect
	PeerReset   = step.PeerReset
	LogRead     = step.LogRead
	Drain       = step.Drain
)

// Action is an output of Core.Step: one of the actions below.
type Action = step.Action

// Actions common to all roles.
type (
	Send          = step.Send
	SetTimer      = step.SetTimer
	AppendControl = step.AppendControl
	SetPeers      = step.SetPeers
	Peer          = step.Peer
	Drained       = step.Drained
)

var _ step.Core = (*Core)(nil)

// UpstreamAnnounced adds an upstream that is local to the agent, or renews or
// changes it. The announcement expires after TTL. With zero slots no further
// task starts on the upstream until the next announcement.
type UpstreamAnnounced struct {
	Name        string
	Slots       int
	Connections int
	Labels      label.Set
	TTL         time.Duration
}

// UpstreamWithdrawn removes an upstream. Tasks that run there continue; no
// other task starts there.
type UpstreamWithdrawn struct{ Name string }

// TaskEnded reports the completion of a task that a StartTask action started.
// State is job.Done, job.Failed, job.Unknown when the upstream's answer was
// lost, or job.NotRun when the upstream provably did not get the request.
type TaskEnded struct {
	Handle uint64
	State  job.TaskState
	Body   []byte
	Detail string
}

// IsEvent implements Event.
func (UpstreamAnnounced) IsEvent() {}

// IsEvent implements Event.
func (UpstreamWithdrawn) IsEvent() {}

// IsEvent implements Event.
func (TaskEnded) IsEvent() {}

// StartTask starts a task on the named upstream. Right before it writes to the
// upstream, the shell must check that the monotonic clock has not passed
// NotAfter. If it has, the shell does not start the task and reports TaskEnded
// with job.NotRun.
type StartTask struct {
	Handle   uint64
	Upstream string
	ID       job.ID
	Attempt  int
	Index    int
	Team     string
	Payload  []byte
	Labels   label.Set
	// Timeout is the time left until the job's deadline.
	Timeout time.Duration
	// NotAfter is the monotonic instant after which the agent may no longer
	// start the task.
	NotAfter time.Duration
	// Trace is a W3C traceparent value, or empty.
	Trace string
}

// IsAction implements Action.
func (StartTask) IsAction() {}
