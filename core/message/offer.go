package message

import (
	"fmt"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// Offer asks an agent to run one task of a restartable job under a lease. Seq numbers the
// offers of one dispatcher incarnation, from 1. A repeated Offer with the same Seq never
// causes a second start.
type Offer struct {
	Seq  uint64   `json:"seq"`
	Task TaskName `json:"task"`
	// RunNumber is the number of this start among the starts of the task.
	RunNumber int    `json:"run"`
	Service   string `json:"svc"`
	// RequiredLabel is a label that the upstream must have, or empty.
	RequiredLabel string `json:"lbl,omitempty"`
	// Route is the name of the route of the task's job.
	Route  string    `json:"route,omitempty"`
	Spec   string    `json:"spec,omitempty"`
	Demand Resources `json:"need"`
	// Isolation is set for a task that may crash its upstream.
	Isolation Isolation `json:"iso,omitempty"`
	// ExpectedDuration is the estimated duration of the task. The agent stops a run that
	// takes several times as long, so that the task can run elsewhere. Zero disables the
	// check.
	ExpectedDuration time.Duration `json:"exp,omitempty"`
	// EchoedTimestamp is the last Heartbeat.Timestamp that the sender has received from
	// the receiver, and EchoAge the time since then. Their sum is at most the receiver's
	// time when the offer was sent, and proves that the sender was alive then.
	EchoedTimestamp time.Duration `json:"st"`
	EchoAge         time.Duration `json:"age,omitempty"`
	// FirstSentAt, in a repeated offer, is EchoedTimestamp as of the first one. The receiver may have
	// answered the offer at any time since, and have forgotten that.
	FirstSentAt time.Duration `json:"first,omitempty"`
	// FirstWaiting is the first of the sender's other tasks that wait for free capacity.
	FirstWaiting *WaitingTask `json:"wait,omitempty"`
	// Priority, Due and Late are those of a WaitingTask, for this task. They are set only if
	// the sender orders tasks across dispatchers.
	Priority int           `json:"prio,omitempty"`
	Due      time.Duration `json:"due,omitempty"`
	Late     bool          `json:"late,omitempty"`
	// Slowdown is the CapacityReport.Slowdown of the receiver if the sender takes it into account
	// and it exceeds 100, or zero. The check of ExpectedDuration allows that much more time.
	Slowdown int `json:"slow,omitempty"`
}

// Isolation limits which other tasks may start on an upstream together with a task. If the
// upstream crashes, the limits show which task is to blame.
type Isolation uint8

// The isolations of a task.
const (
	// NotIsolated: the task must not start right after an Alone task of another job.
	NotIsolated Isolation = iota
	// Isolated: the same, and no Alone task of another job starts right after it.
	Isolated
	// Alone: no task of another job starts right after it.
	Alone
)

// String returns "none", "isolated" or "alone".
func (i Isolation) String() string {
	switch i {
	case Isolated:
		return "isolated"
	case Alone:
		return "alone"
	default:
		return "none"
	}
}

// TaskName identifies a task in the whole fleet.
type TaskName struct {
	Job   string `json:"j"`
	Step  int    `json:"s,omitempty"`
	Index int    `json:"i,omitempty"`
}

// String returns "job/step/index".
func (n TaskName) String() string { return fmt.Sprintf("%s/%d/%d", n.Job, n.Step, n.Index) }

// Resources are the demand of a task on its upstream, or the capacity of an upstream.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int `json:"cpu,omitempty"`
	MemoryMB     int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into the free capacity.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// RevokeOffer asks an agent to stop the run of an offer, or never to start it. The agent
// answers with a RunCompletion.
type RevokeOffer struct {
	Seq uint64 `json:"seq"`
}

// RunResult is the result of an offer.
type RunResult string

// The results of an offer.
const (
	// RunDone: the task succeeded.
	RunDone RunResult = "done"
	// RunFailed: the upstream reported that the task failed.
	RunFailed RunResult = "failed"
	// RunStopped: the agent stopped the run.
	RunStopped RunResult = "stopped"
	// RunLost: the run has completed without a known result.
	RunLost RunResult = "lost"
	// RunRefused: the offer has started no run and never will.
	RunRefused RunResult = "refused"
)

// RunCompletion reports the completion of an offer. No run of the offer is alive any
// more.
type RunCompletion struct {
	Seq    uint64       `json:"seq"`
	Result RunResult    `json:"res"`
	Reason RefuseReason `json:"why,omitempty"`
	// MayHaveRun, in a refusal, is set if a task of the job may have run at the upstream all the
	// same, by another offer of this dispatcher or another.
	MayHaveRun bool `json:"ran,omitempty"`
	// Duration is how long the run took, if it completed by itself.
	Duration time.Duration   `json:"took,omitempty"`
	Capacity *CapacityReport `json:"room,omitempty"`
}

// Reasons for a refused offer or a stopped run, in addition to those for a refused start.
const (
	RefusedNoCapacity RefuseReason = "no_room"
	// RefusedNotReady: the upstream accepts no runs now, or has refused the start call.
	RefusedNotReady  RefuseReason = "upstream_not_ready"
	RefusedUnhealthy RefuseReason = "upstream_unhealthy"
	// RefusedStopping: another run of the task is being stopped.
	RefusedStopping     RefuseReason = "same_task_is_stopping"
	RefusedOtherService RefuseReason = "other_service"
	// RefusedIDInUse: a task of another job that has the same ID is there.
	RefusedIDInUse RefuseReason = "id_in_use"
	// RefusedMissingLabel: the upstream does not have the label that the task requires.
	RefusedMissingLabel RefuseReason = "missing_label"
	// RefusedTooSlow: the agent stopped the run for lack of progress.
	RefusedTooSlow RefuseReason = "too_slow"
	// RefusedTakenOver: the run continues for another dispatcher, to which the caller has
	// submitted the job again.
	RefusedTakenOver RefuseReason = "taken_over"
	// RefusedProving: an isolated task of another job has just started.
	RefusedProving RefuseReason = "other_isolated_task"
	// RefusedCancelled: the task's job was cancelled.
	RefusedCancelled RefuseReason = "job_cancelled"
	// LostUpstreamCrashed: the upstream crashed while the run was there.
	LostUpstreamCrashed RefuseReason = "upstream_crashed"
	// LostForgotten: the agent may have answered the offer before, and no longer knows how.
	LostForgotten RefuseReason = "answer_forgotten"
)

// Heartbeat is sent between a dispatcher and an agent, in both directions. Timestamp is
// the sender's monotonic time. EchoedTimestamp is the last Timestamp that the sender has
// received from its peer; it proves to the peer that the sender was alive after that
// time.
type Heartbeat struct {
	Timestamp       time.Duration `json:"st"`
	EchoedTimestamp time.Duration `json:"echo,omitempty"`
	// Revision is the revision of the sender's site state.
	Revision int64 `json:"rev"`
	// WantSite requests the site state of the peer, whose revision is higher.
	WantSite bool `json:"want,omitempty"`
	// Site is the sender's site state, for a peer that has requested it.
	Site *site.State `json:"site,omitempty"`
	// Capacity, from an agent, describes its local upstream.
	Capacity *CapacityReport `json:"room,omitempty"`
	// KnownInfoVersion, from a dispatcher, is the version of the upstream info that it
	// holds.
	KnownInfoVersion uint64 `json:"kk,omitempty"`
	// FirstWaiting, from a dispatcher, is the first of its tasks that wait for free capacity.
	FirstWaiting *WaitingTask `json:"wait,omitempty"`
	// WantReply, from a dispatcher, requests a heartbeat at once.
	WantReply bool `json:"reply,omitempty"`
	// AcceptsIdleInterval, from a dispatcher, permits the agent to send heartbeats at
	// IdleInterval.
	AcceptsIdleInterval bool `json:"iv,omitempty"`
	// IdleInterval, from an agent, is the longest pause until its next heartbeat while it has
	// no runs of the receiver. Zero means lease.HeartbeatInterval.
	IdleInterval time.Duration `json:"idle,omitempty"`
	// Crashes, from an agent, are the recent crashes of its upstream that the receiver has
	// not acknowledged, in order of Number.
	Crashes []Crash `json:"crashes,omitempty"`
	// KnownCrash, from a dispatcher, acknowledges the crashes up to this Number.
	KnownCrash uint64 `json:"kc,omitempty"`
	// Watch, from a dispatcher, requests Evidence.
	Watch *InterferenceWatch `json:"ifw,omitempty"`
	// Evidence, from an agent, is sent every few seconds to dispatchers that request it.
	Evidence *InterferenceReport `json:"ifr,omitempty"`
	// Cancelled, from a dispatcher, are jobs that it has cancelled. From an agent, they are
	// jobs that other dispatchers have cancelled.
	Cancelled []string `json:"cancel,omitempty"`
	// Unanswered, from an agent, lists the Seq of the receiver's offers whose runs are open and of
	// which a start call got no answer: the upstream, or its next incarnation, may execute it yet.
	Unanswered []uint64 `json:"unanswered,omitempty"`
	// Started, from an agent, lists the Seq of the receiver's offers whose runs are open and of
	// which every start call was answered.
	Started []uint64 `json:"started,omitempty"`
	// LateStarts, from a dispatcher, are the changes of its own holds. From an agent, they are those
	// of other dispatchers, and LateStartSeq numbers the last one. The agent repeats them until
	// the dispatcher states that number, or a higher one, in KnownLateStart.
	LateStarts     []LateStart `json:"late,omitempty"`
	LateStartSeq   uint64      `json:"ls,omitempty"`
	KnownLateStart uint64      `json:"kl,omitempty"`
}

// Crash describes an unplanned end of an agent's local upstream.
type Crash struct {
	// Number counts the crashes within one incarnation of the agent, from 1.
	Number uint64 `json:"n"`
	// Age is the time since the crash was detected.
	Age time.Duration `json:"age,omitempty"`
	// Sign is what the agent took for a crash. Silent is one too: the upstream answered no poll
	// until its runs had lapsed, and may be alive.
	Sign liveness.Sign `json:"sign,omitempty"`
	// Runs are the runs that were lost, the one that was started last first.
	Runs []CrashedRun `json:"runs,omitempty"`
}

// CrashedRun is a run that was lost when its upstream crashed.
type CrashedRun struct {
	Task  TaskName `json:"task"`
	Route string   `json:"route,omitempty"`
	// Age is how long before the crash the run was started.
	Age time.Duration `json:"age,omitempty"`
}

// WaitingTask describes a task that waits for free capacity.
type WaitingTask struct {
	// Priority is the priority of the task's route; 0 comes first.
	Priority int       `json:"prio,omitempty"`
	Demand   Resources `json:"need"`
	// Due is the time until the objective of the task's job. It is negative after the
	// objective, and zero if the sender does not order tasks across dispatchers.
	Due time.Duration `json:"due,omitempty"`
	// Late is set if the job can no longer meet its objective.
	Late bool `json:"late,omitempty"`
}

// CapacityReport describes the readiness and capacity in use of an agent's local
// upstream.
type CapacityReport struct {
	// Version increases with each change within one incarnation of the agent.
	Version uint64 `json:"v"`
	// Ready is false while the upstream accepts no new work.
	Ready bool `json:"ready,omitempty"`
	// Used is the part of UpstreamInfo.Capacity that is in use, or that the upstream
	// refuses to provide. It exceeds UpstreamInfo.Capacity if that has been reduced to less
	// than what runs there.
	Used Resources `json:"used"`
	// InfoVersion is the version of the upstream info. Info is included until the receiver
	// reports this version in KnownInfoVersion.
	InfoVersion uint64        `json:"kv,omitempty"`
	Info        *UpstreamInfo `json:"kind,omitempty"`
	// MaxIncludedSeq is the highest Seq of the receiver's offers that Used includes.
	MaxIncludedSeq uint64 `json:"seen,omitempty"`
	// Slowdown is the ratio of the durations of recent runs to their ExpectedDuration, in
	// percent, rounded to 5. Zero means not known.
	Slowdown int `json:"slow,omitempty"`
	// Running holds the number of open runs of each route in the receiver's Watch.Routes that
	// has any.
	Running map[string]int `json:"rts,omitempty"`
}

// UpstreamInfo holds the properties of an upstream that change rarely.
type UpstreamInfo struct {
	Service  string    `json:"svc"`
	Domain   string    `json:"dom"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"cap"`
}
