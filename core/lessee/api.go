// Package lessee implements the part of an agent that runs tasks under leases on the
// agent's local upstream, for any number of dispatchers.
//
// The upstream ends every run whose lease lapses. The lessee renews the lease while it
// has runs and polls the upstream's list of completed runs. It stops the runs of a
// dispatcher that does not prove in time that it is alive; see package lease.
package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// Announcement describes an upstream, as announced by the upstream itself.
type Announcement struct {
	ID string
	// Incarnation is the number of the upstream's incarnation; a later one has a higher
	// number.
	Incarnation int64 `json:"Born"`
	// Seq rises with each announcement of one incarnation.
	Seq int64
	// Clock is the upstream's own clock.
	Clock    time.Duration
	Service  string
	Domain   string
	Labels   []string
	Capacity message.Resources
	// Draining is set when the upstream accepts no new runs.
	Draining bool
}

// Announced delivers an announcement.
type Announced struct{ Announcement Announcement }

// AnnouncementRestored delivers the last announcement of the upstream that an earlier
// incarnation of the agent persisted, so that the new one need not wait for the next
// announcement. The current Seq, Clock and Draining of the upstream are not known.
type AnnouncementRestored struct{ Announcement Announcement }

// Withdrawn reports that an incarnation of the upstream leaves. It does not name the
// incarnation.
type Withdrawn struct{ ID string }

// SiteChanged delivers the published site state, as read from the store.
type SiteChanged struct{ State *site.State }

// CallResult is what the lessee knows about the result of a call to the upstream.
type CallResult int

// The results of a call.
const (
	// CallOK: the upstream has executed the call.
	CallOK CallResult = iota
	// CallUnknown: no answer; the upstream may have executed the call or may do so later.
	CallUnknown
	// CallFenced: refused, since the upstream has received a higher fencing token.
	CallFenced
	// CallStaleRun: refused, since the upstream has received this run number or a higher one.
	CallStaleRun
	// CallLeaseExpired: refused, since the requested lease ends in the past.
	CallLeaseExpired
	// CallNoCapacity: refused for lack of free capacity.
	CallNoCapacity
	// CallUnhealthy: refused by an unhealthy upstream; nothing was done.
	CallUnhealthy
	// CallWrongIncarnation: refused, since the upstream is in a newer incarnation.
	CallWrongIncarnation
	// CallRejected: refused for any other reason; nothing was done.
	CallRejected
	// CallNoListener: the upstream's port refused the connection; nothing was done.
	CallNoListener
)

// StartCallCompleted reports the result of a StartRun action.
type StartCallCompleted struct {
	Handle uint64
	Result CallResult
	// Clock is the upstream's clock in the answer, or zero.
	Clock time.Duration
}

// StopCallCompleted reports the result of a StopRun action.
type StopCallCompleted struct {
	Name      message.TaskName
	RunNumber int
	Result    CallResult
}

// ActiveRun is one row of the upstream's list of runs.
type ActiveRun struct {
	Name      message.TaskName
	RunNumber int
	// Percent is the completed share of the work.
	Percent int
}

// Completion is how a run at the upstream completed.
type Completion string

// The completions of a run.
const (
	CompletionDone    Completion = "done"
	CompletionFailed  Completion = "failed"
	CompletionStopped Completion = "stopped"
	CompletionLapsed  Completion = "lapsed"
)

// CompletedRun is one row of the upstream's list of completed runs.
type CompletedRun struct {
	// Number rises by one with each completion in one incarnation of the upstream.
	Number     int64
	Name       message.TaskName
	RunNumber  int
	Completion Completion
}

// PollCompleted reports the result of a Poll action.
type PollCompleted struct {
	Renewal bool
	Result  CallResult
	// SentAt and LeaseFrom are Poll.SentAt and Poll.LeaseFrom.
	SentAt, LeaseFrom time.Duration
	// Token is the fencing token that the call carried.
	Token int64
	// AcknowledgedUpTo is the CompletedRun.Number that the call acknowledged.
	AcknowledgedUpTo int64
	Incarnation      int64
	Clock            time.Duration
	Running          []ActiveRun
	Completed        []CompletedRun
}

// IsEvent implements step.Event.
func (Announced) IsEvent() {}

// IsEvent implements step.Event.
func (AnnouncementRestored) IsEvent() {}

// IsEvent implements step.Event.
func (Withdrawn) IsEvent() {}

// IsEvent implements step.Event.
func (SiteChanged) IsEvent() {}

// IsEvent implements step.Event.
func (StartCallCompleted) IsEvent() {}

// IsEvent implements step.Event.
func (StopCallCompleted) IsEvent() {}

// IsEvent implements step.Event.
func (PollCompleted) IsEvent() {}

// StartRun calls the upstream to start a run.
type StartRun struct {
	Handle    uint64
	Upstream  string
	Name      message.TaskName
	RunNumber int
	Spec      string
	Token     int64
	// LeaseUntil is the end of the lease on the upstream's clock.
	LeaseUntil time.Duration
	// Try counts the calls for this run, from 1.
	Try int
}

// StopRun calls the upstream to stop a run. If the run has not started, the upstream never
// starts it.
type StopRun struct {
	Upstream  string
	Name      message.TaskName
	RunNumber int
	Token     int64
}

// Poll calls the upstream for its lists of runs. The upstream answers a renewal at once
// and extends the lease; any other poll is a long poll for the next completion.
type Poll struct {
	Upstream string
	Renewal  bool
	// SentAt is the monotonic time of the request, for PollCompleted.SentAt.
	SentAt time.Duration
	Token  int64
	// AcknowledgedUpTo acknowledges the completions up to this CompletedRun.Number.
	AcknowledgedUpTo int64
	// LeaseUntil is the end of the lease on the upstream's clock, and LeaseFrom the monotonic
	// time from which the lease counts. Zero extends nothing.
	LeaseUntil, LeaseFrom time.Duration
	// Wait is how long the upstream may wait for a completion.
	Wait time.Duration
}

// IsAction implements step.Action.
func (StartRun) IsAction() {}

// IsAction implements step.Action.
func (StopRun) IsAction() {}

// IsAction implements step.Action.
func (Poll) IsAction() {}

// PersistAnnouncement stores an announcement for the next incarnation of the agent.
type PersistAnnouncement struct{ Announcement Announcement }

// IsAction implements step.Action.
func (PersistAnnouncement) IsAction() {}

// callResults holds the names of the results, indexed by CallResult.
var callResults = []string{
	"ok", "unknown", "fenced", "old_run", "late", "no_room", "unhealthy", "other_life", "rejected", "no_listener",
}

// String returns the name of the result.
func (r CallResult) String() string { return callResults[r] }
