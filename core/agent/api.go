package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Tick says that the time of the last SetTimer has come. Early and extra ticks
// are harmless.
type Tick struct{}

// Received delivers an envelope from another process. The transport has
// checked the version; the core checks the destination incarnation.
type Received struct{ Envelope message.Envelope }

// PeerDead states that the run Ref has ended: its dedicated port refused a
// connection or is served by another incarnation. Silence is never PeerDead.
type PeerDead struct{ Ref node.Ref }

// UpstreamAnnounced adds an upstream beside the agent, or renews or changes it.
// The announcement lapses after TTL.
type UpstreamAnnounced struct {
	Name        string
	Slots       int
	Connections int
	Labels      label.Set
	TTL         time.Duration
}

// UpstreamWithdrawn removes an upstream. Tasks running there go on; no other
// task starts there.
type UpstreamWithdrawn struct{ Name string }

// TaskEnded reports the end of a task that a StartTask action began. State is
// job.Done, job.Failed, or job.Unknown when the upstream's answer was lost.
// NotRun reports that the upstream provably did not get the request.
type TaskEnded struct {
	Handle uint64
	State  job.TaskState
	Body   []byte
	Detail string
}

// PeerReset says that a connection with Ref was lost, so that messages sent on it
// may be lost too.
type PeerReset struct{ Ref node.Ref }

// LogRead reports one successful read of the control stream. Records are
// consecutive from offset From. End is the end of the stream when the log
// service answered, AskedAt the monotonic time at which the read was sent.
type LogRead struct {
	From    int64
	Records [][]byte
	End     int64
	// Oldest is the offset of the oldest record that the log retains.
	Oldest  int64
	AskedAt time.Duration
}

// Drain asks the agent to leave: it takes no new work and emits Drained once
// nothing is in flight.
type Drain struct{}

func (Tick) isEvent()              {}
func (Received) isEvent()          {}
func (PeerReset) isEvent()         {}
func (PeerDead) isEvent()          {}
func (UpstreamAnnounced) isEvent() {}
func (UpstreamWithdrawn) isEvent() {}
func (TaskEnded) isEvent()         {}
func (LogRead) isEvent()           {}
func (Drain) isEvent()             {}

// Action is an output of Core.Step. Actions are carried out in order.
type Action interface{ isAction() }

// Send hands a message to the transport. It may be lost.
type Send struct {
	To      node.Ref
	Message message.Message
}

// StartTask starts a task on the named upstream. The shell must check, right
// before it writes to the upstream, that the monotonic clock has not passed
// NotAfter; past it the shell reports TaskEnded with job.NotRun.
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
	// NotAfter is a monotonic instant.
	NotAfter time.Duration
	// Trace is a W3C traceparent value, or empty.
	Trace string
}

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

// Drained says that nothing is in flight and the process may exit.
type Drained struct{}

func (Send) isAction()          {}
func (StartTask) isAction()     {}
func (SetTimer) isAction()      {}
func (AppendControl) isAction() {}
func (SetPeers) isAction()      {}
func (Drained) isAction()       {}
