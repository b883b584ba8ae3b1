package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
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

// Published passes the entry records of the control stream that the log has
// just accepted from an operator. They are consecutive from offset From. The
// entry sends them on to the agents, so that they are in force even if the log
// fails before any process has read them.
type Published struct {
	From    int64
	Records [][]byte
}

// SubmitCall submits a caller's job. Call identifies the call in the Reply;
// every call gets exactly one Reply, or none after CallerGone. A job without an
// ID is given a minted one. With Wait false the reply is Pending as soon as the
// home has the job.
type SubmitCall struct {
	Call uint64
	Job  job.Job
	Wait bool
	// Trace is a W3C traceparent value, or empty.
	Trace string
}

// FetchCall requests the answer of a job. With Wait true the reply comes when
// the job is final or after Timeout.
type FetchCall struct {
	Call    uint64
	ID      job.ID
	Attempt int
	Wait    bool
	Timeout time.Duration
}

// CancelCall cancels a job. The reply carries the job's final answer.
type CancelCall struct {
	Call    uint64
	ID      job.ID
	Attempt int
}

// MintCall requests Count job IDs. The entry mints them without sending any
// message.
type MintCall struct {
	Call  uint64
	Count int
}

// InspectCall requests a report from every agent. The entry answers it with
// Inspected once all agents have answered or InspectTimeout has passed; the
// reports are in Status. Calls that arrive during a round share it, and two
// rounds start at least inspectInterval apart.
type InspectCall struct{ Call uint64 }

// CallerGone reports that no caller waits for Call any more. The job continues.
type CallerGone struct{ Call uint64 }

// IsEvent implements Event.
func (Published) IsEvent() {}

// IsEvent implements Event.
func (SubmitCall) IsEvent() {}

// IsEvent implements Event.
func (InspectCall) IsEvent() {}

// IsEvent implements Event.
func (FetchCall) IsEvent() {}

// IsEvent implements Event.
func (CancelCall) IsEvent() {}

// IsEvent implements Event.
func (MintCall) IsEvent() {}

// IsEvent implements Event.
func (CallerGone) IsEvent() {}

// Reply answers a SubmitCall, FetchCall or CancelCall. When Pending is true the
// job is known and not yet final, and Answer carries only its ID and attempt.
type Reply struct {
	Call    uint64
	Pending bool
	Answer  job.Answer
}

// MintReply answers a MintCall. Kind is errkind.Unavailable when no usable
// agent is known or at least half of the usable agents are unresponsive.
type MintReply struct {
	Call uint64
	IDs  []job.ID
	Kind errkind.Kind
}

// Inspected answers an InspectCall.
type Inspected struct{ Call uint64 }

// IsAction implements Action.
func (Reply) IsAction() {}

// IsAction implements Action.
func (MintReply) IsAction() {}

// IsAction implements Action.
func (Inspected) IsAction() {}
