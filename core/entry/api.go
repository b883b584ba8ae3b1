package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Tick says that the time of the last SetTimer has come. Early and extra ticks
// are harmless.
type Tick struct{}

// Received delivers an envelope from an agent.
type Received struct{ Envelope message.Envelope }

// PeerDead states that the run Ref has ended: its dedicated port refused a
// connection or is served by another incarnation. Silence is never PeerDead.
type PeerDead struct{ Ref node.Ref }

// PeerReset says that a connection with Ref was lost, so that messages sent on it
// may be lost too.
type PeerReset struct{ Ref node.Ref }

// LogRead reports one successful read of the control stream; see the event of
// the same name in package agent.
type LogRead struct {
	From    int64
	Records [][]byte
	End     int64
	// Oldest is the offset of the oldest record that the log retains.
	Oldest  int64
	AskedAt time.Duration
}

// Published hands over records of the control stream that an operator has just
// had accepted, consecutive from offset From. The entry passes them on, so that
// they are in force even if the log fails before anybody has read them.
type Published struct {
	From    int64
	Records [][]byte
}

// SubmitCall is a caller's submission. Call is the shell's handle; every call
// gets exactly one Reply. A job without an ID is given a minted one. With Wait
// false the reply is Pending as soon as the home has the job.
type SubmitCall struct {
	Call uint64
	Job  job.Job
	Wait bool
	// Trace is a W3C traceparent value, or empty.
	Trace string
}

// FetchCall asks for the answer of a job. With Wait true the reply comes when
// the job is final or after Timeout.
type FetchCall struct {
	Call    uint64
	ID      job.ID
	Attempt int
	Wait    bool
	Timeout time.Duration
}

// CancelCall cancels a job and is answered with its final answer.
type CancelCall struct {
	Call    uint64
	ID      job.ID
	Attempt int
}

// MintCall asks for Count job IDs. It needs no message inside the system.
type MintCall struct {
	Call  uint64
	Count int
}

// InspectCall asks every agent for a report of itself. It is answered with
// Inspected once all have answered or InspectTimeout has passed; the reports are
// in Status. Calls share a round of questions, and no two rounds begin within
// inspectPause.
type InspectCall struct{ Call uint64 }

// CallerGone says that nobody waits for Call any more. The job goes on.
type CallerGone struct{ Call uint64 }

// Drain asks the entry to leave: it emits Drained once every call is answered.
type Drain struct{}

func (Tick) isEvent()        {}
func (Received) isEvent()    {}
func (PeerReset) isEvent()   {}
func (PeerDead) isEvent()    {}
func (LogRead) isEvent()     {}
func (Published) isEvent()   {}
func (SubmitCall) isEvent()  {}
func (FetchCall) isEvent()   {}
func (CancelCall) isEvent()  {}
func (MintCall) isEvent()    {}
func (InspectCall) isEvent() {}
func (CallerGone) isEvent()  {}
func (Drain) isEvent()       {}

// Action is an output of Core.Step. Actions are carried out in order.
type Action interface{ isAction() }

// Send hands a message to the transport. It may be lost.
type Send struct {
	To      node.Ref
	Message message.Message
}

// Reply answers a Submit, Fetch or Cancel call. When Pending is true the job is
// known and not yet final, and Answer carries only its ID and attempt.
type Reply struct {
	Call    uint64
	Pending bool
	Answer  job.Answer
}

// MintReply answers a MintCall. Kind is errkind.Unavailable when no agent is
// known.
type MintReply struct {
	Call uint64
	IDs  []job.ID
	Kind errkind.Kind
}

// Inspected answers an InspectCall.
type Inspected struct{ Call uint64 }

// SetTimer asks for a Tick at the monotonic time At. It replaces the previous
// timer.
type SetTimer struct{ At time.Duration }

// AppendControl appends a record to the control stream. It may be lost, and
// may take effect although its reply is lost.
type AppendControl struct{ Record []byte }

// SetPeers tells the transport the addresses of the known agents.
type SetPeers struct{ Peers []Peer }

// Peer is the address of one agent.
type Peer struct {
	Ref  node.Ref
	Addr string
}

// Drained says that every call is answered and the process may exit.
type Drained struct{}

func (Send) isAction()          {}
func (Reply) isAction()         {}
func (MintReply) isAction()     {}
func (Inspected) isAction()     {}
func (SetTimer) isAction()      {}
func (SetPeers) isAction()      {}
func (AppendControl) isAction() {}
func (Drained) isAction()       {}
