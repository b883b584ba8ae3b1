// Package step defines the interface to the deterministic core of every role. A core
// processes one event at a time and returns actions for the caller to carry out. The
// package holds the events and actions that all roles share. Each role's package adds its
// own.
package step

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Event is an input of Core.Step.
type Event interface{ IsEvent() }

// Action is an output of Core.Step. The caller carries out actions in order.
type Action interface{ IsAction() }

// Core is the state machine of one process. The same events at the same times produce the
// same actions. It is not safe for concurrent use.
type Core interface {
	// Step processes one event. The monotonic time of now must never decrease from
	// one call to the next. The returned slice is valid until the next call.
	Step(now clock.Now, event Event) []Action
	// Offset returns the offset of the next record of the control stream that the core needs.
	Offset() int64
	// Synced reports whether the core holds every record before Offset.
	Synced() bool
}

// Tick reports that the time of the last SetTimer has come. Early and additional ticks
// are harmless.
type Tick struct{}

// Received delivers an envelope from another process. The transport has checked the version
// of the protocol and the destination incarnation.
type Received struct{ Envelope message.Envelope }

// PeerDead reports that the incarnation Ref has ended: its dedicated port is served by another
// incarnation. A lack of messages is never reported as PeerDead. Only the roles with a control
// stream also receive it after connections were refused for long; see docs/design/liveness.md.
type PeerDead struct{ Ref node.Ref }

// PeerSuspect reports a hint that the incarnation Ref may have ended. It may be alive.
type PeerSuspect struct {
	Ref  node.Ref
	Hint liveness.Sign
}

// PeerReset reports that a connection with Ref was lost. Messages that were sent on it may
// be lost too.
type PeerReset struct{ Ref node.Ref }

// LogRead reports one successful read of the control stream. Records are
// consecutive from offset From. End is the end of the stream when the log service
// answered. SentAt is the monotonic time at which the read was sent.
type LogRead struct {
	From    int64
	Records [][]byte
	End     int64
	// Oldest is the offset of the oldest record that the log retains.
	Oldest int64
	SentAt time.Duration
}

// Drain asks the process to leave. The core emits Drained once no work is in flight.
type Drain struct{}

// IsEvent implements Event.
func (Tick) IsEvent() {}

// IsEvent implements Event.
func (Received) IsEvent() {}

// IsEvent implements Event.
func (PeerDead) IsEvent() {}

// IsEvent implements Event.
func (PeerSuspect) IsEvent() {}

// IsEvent implements Event.
func (PeerReset) IsEvent() {}

// IsEvent implements Event.
func (LogRead) IsEvent() {}

// IsEvent implements Event.
func (Drain) IsEvent() {}

// Send passes a message to the transport. The message may be lost.
type Send struct {
	To      node.Ref
	Message message.Message
}

// SetTimer requests a Tick at the monotonic time At. It replaces the previous timer.
type SetTimer struct{ At time.Duration }

// AppendControl appends a record to the control stream. The append may fail, and may take
// effect although its reply is lost.
type AppendControl struct{ Record []byte }

// SetPeers passes the addresses of the known agents to the transport.
type SetPeers struct{ Peers []Peer }

// Peer is the address of one agent.
type Peer struct {
	Ref  node.Ref
	Addr string
}

// LogEvent is a line for the log: an event and the values that caused it.
type LogEvent struct {
	Event string
	// Job names the job, or is empty.
	Job string
	// Fields are alternating keys and values.
	Fields []any
}

// Drained reports that no work is in flight and the process may exit.
type Drained struct{}

// IsAction implements Action.
func (Send) IsAction() {}

// IsAction implements Action.
func (SetTimer) IsAction() {}

// IsAction implements Action.
func (AppendControl) IsAction() {}

// IsAction implements Action.
func (SetPeers) IsAction() {}

// IsAction implements Action.
func (Drained) IsAction() {}

// IsAction implements Action.
func (LogEvent) IsAction() {}
