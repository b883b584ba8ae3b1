// Package lessee is the part of an agent that runs tasks under leases on the
// upstream beside it, for any number of dispatchers.
//
// The upstream ends everything whose lease lapses. The lessee renews the lease
// while it has runs, watches the upstream's list of ends, and keeps the runs of a
// dispatcher only as long as that proves that it is alive; see package lease.
package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID string
	// Born distinguishes the lives of an upstream; a later life has a higher one.
	Born int64
	// Seq rises with each announcement of one life.
	Seq int64
	// Clock is the upstream's own clock.
	Clock    time.Duration
	Service  string
	Domain   string
	Labels   []string
	Capacity message.Demand
	// Draining is set when the upstream takes no new work.
	Draining bool
}

// Announced delivers an announcement.
type Announced struct{ Announcement Announcement }

// Remembered delivers the last announcement of the upstream that an earlier run of the
// agent has noted, so that a new run need not wait for the next one. Its clock, its
// sequence number and whether it drains are not known.
type Remembered struct{ Announcement Announcement }

// Withdrawn says that the upstream has left.
type Withdrawn struct{ ID string }

// SiteChanged delivers the published state, as read from the store.
type SiteChanged struct{ State *site.State }

// CallResult says what is known of a call to the upstream.
type CallResult int

// The results of a call.
const (
	// CallOK: carried out.
	CallOK CallResult = iota
	// CallUnknown: no answer; the call may be carried out, also later.
	CallUnknown
	// CallFenced: refused, since a higher fencing token has been seen.
	CallFenced
	// CallOldRun: refused, since this run number or a higher one has been there.
	CallOldRun
	// CallLate: refused, since the lease that it asks for has passed.
	CallLate
	// CallNoRoom: refused for want of room.
	CallNoRoom
	// CallUnhealthy: refused by an unhealthy upstream; nothing was done.
	CallUnhealthy
	// CallOtherLife: refused, since the upstream has begun another life.
	CallOtherLife
	// CallRejected: refused for any other reason; nothing was done.
	CallRejected
	// CallNoListener: the upstream's port refused the connection: it has ended.
	CallNoListener
)

// StartEnded reports the end of a StartRun action.
type StartEnded struct {
	Handle uint64
	Result CallResult
	// Clock is the upstream's clock in the answer, or zero.
	Clock time.Duration
}

// StopEnded reports the end of a StopRun action.
type StopEnded struct {
	Name   message.TaskName
	Run    int
	Result CallResult
}

// RunningTask is one row of the upstream's list of runs.
type RunningTask struct {
	Name message.TaskName
	Run  int
	// Percent is the share of the work done.
	Percent int
}

// HowEnded says how a run at the upstream ended.
type HowEnded string

// The ends of a run.
const (
	EndedDone    HowEnded = "done"
	EndedFailed  HowEnded = "failed"
	EndedStopped HowEnded = "stopped"
	EndedLapsed  HowEnded = "lapsed"
)

// EndedTask is one row of the upstream's list of ends.
type EndedTask struct {
	// Number rises by one with each end in one life of the upstream.
	Number int64
	Name   message.TaskName
	Run    int
	How    HowEnded
}

// Looked reports the end of a Look action.
type Looked struct {
	Renewal bool
	Result  CallResult
	// SentAt is the monotonic time at which the call was sent.
	SentAt time.Duration
	// Token is the fencing token that the call carried.
	Token int64
	// SeenUpto is the number that the call acknowledged.
	SeenUpto int64
	Born     int64
	Clock    time.Duration
	Running  []RunningTask
	Ended    []EndedTask
}

// IsEvent implements step.Event.
func (Announced) IsEvent() {}

// IsEvent implements step.Event.
func (Remembered) IsEvent() {}

// IsEvent implements step.Event.
func (Withdrawn) IsEvent() {}

// IsEvent implements step.Event.
func (SiteChanged) IsEvent() {}

// IsEvent implements step.Event.
func (StartEnded) IsEvent() {}

// IsEvent implements step.Event.
func (StopEnded) IsEvent() {}

// IsEvent implements step.Event.
func (Looked) IsEvent() {}

// StartRun calls the upstream to start a run.
type StartRun struct {
	Handle   uint64
	Upstream string
	Name     message.TaskName
	Run      int
	Spec     string
	Token    int64
	// Until is the end of the lease on the upstream's clock.
	Until time.Duration
	// Try counts the calls for this run, from 1.
	Try int
}

// StopRun calls the upstream to stop a run, or never to start it.
type StopRun struct {
	Upstream string
	Name     message.TaskName
	Run      int
	Token    int64
}

// Look calls the upstream for its lists. A renewal answers at once and extends the
// lease; another look waits for the next end.
type Look struct {
	Upstream string
	Renewal  bool
	Token    int64
	// SeenUpto acknowledges the ends up to this number.
	SeenUpto int64
	// Until is the end of the lease on the upstream's clock. Zero extends nothing.
	Until time.Duration
	// Wait is how long the upstream may wait for an end.
	Wait time.Duration
}

// IsAction implements step.Action.
func (StartRun) IsAction() {}

// IsAction implements step.Action.
func (StopRun) IsAction() {}

// IsAction implements step.Action.
func (Look) IsAction() {}

// Remember asks to note an announcement for a later run of the agent.
type Remember struct{ Announcement Announcement }

// IsAction implements step.Action.
func (Remember) IsAction() {}

// callResults holds the names of the results, in their order.
var callResults = []string{
	"ok", "unknown", "fenced", "old_run", "late", "no_room", "unhealthy", "other_life", "rejected", "no_listener",
}

// String returns the name of the result.
func (r CallResult) String() string { return callResults[r] }
