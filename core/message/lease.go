package message

import (
	"fmt"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/site"
)

// Offer asks an agent to run one task of a restartable job under a lease. Seq
// numbers the offers of one dispatcher run, from 1; a repeated Offer with the same
// Seq is never a second start.
type Offer struct {
	Seq  uint64   `json:"seq"`
	Task TaskName `json:"task"`
	// RunNumber is the number of this start among the starts of the task.
	RunNumber int       `json:"run"`
	Service   string    `json:"svc"`
	Spec      string    `json:"spec,omitempty"`
	Demand    Resources `json:"need"`
	// ExpectedDuration is the estimated duration of the task. A run that would take several
	// times as long is stopped, so that the task can run elsewhere. Zero disables the check.
	ExpectedDuration time.Duration `json:"exp,omitempty"`
	// EchoedTimestamp is the last Heartbeat.Timestamp that the sender has received from
	// the receiver, and EchoAge the time since then.
	EchoedTimestamp time.Duration `json:"st"`
	EchoAge         time.Duration `json:"age,omitempty"`
	// FirstWaiting is the sender's next task, after this one, that waits for free capacity.
	FirstWaiting *WaitingTask `json:"wait,omitempty"`
}

// TaskName names a task in the whole fleet.
type TaskName struct {
	Job   string `json:"j"`
	Step  int    `json:"s,omitempty"`
	Index int    `json:"i,omitempty"`
}

// String returns "job/step/index".
func (n TaskName) String() string { return fmt.Sprintf("%s/%d/%d", n.Job, n.Step, n.Index) }

// Resources are what a task needs of an upstream while it runs, or what an upstream
// has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int `json:"cpu,omitempty"`
	MemoryMB     int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// Add returns the sum of d and o.
func (d Resources) Add(o Resources) Resources {
	return Resources{d.MilliCPU + o.MilliCPU, d.MemoryMB + o.MemoryMB, d.Accelerators + o.Accelerators}
}

// Sub returns d less o.
func (d Resources) Sub(o Resources) Resources {
	return Resources{d.MilliCPU - o.MilliCPU, d.MemoryMB - o.MemoryMB, d.Accelerators - o.Accelerators}
}

// Fits reports whether d fits into the free capacity room.
func (d Resources) Fits(room Resources) bool {
	return d.MilliCPU <= room.MilliCPU && d.MemoryMB <= room.MemoryMB && d.Accelerators <= room.Accelerators
}

// RevokeOffer asks an agent to stop the run of an offer, or never to start it. It is
// answered with a RunCompletion.
type RevokeOffer struct {
	Seq uint64 `json:"seq"`
}

// RunResult says how an offer ended.
type RunResult string

// The results of an offer.
const (
	// RunDone: the task has succeeded.
	RunDone RunResult = "done"
	// RunFailed: the upstream reported that the task failed.
	RunFailed RunResult = "failed"
	// RunStopped: the agent stopped the run.
	RunStopped RunResult = "stopped"
	// RunLost: the run has ended without a result of its own.
	RunLost RunResult = "lost"
	// RunRefused: the task was not started and never will be.
	RunRefused RunResult = "refused"
)

// RunCompletion reports the completion of an offer. Nothing of the offer runs any more.
type RunCompletion struct {
	Seq    uint64       `json:"seq"`
	Result RunResult    `json:"res"`
	Reason RefuseReason `json:"why,omitempty"`
	// Duration is how long the run lasted, if it completed by itself.
	Duration time.Duration   `json:"took,omitempty"`
	Capacity *CapacityReport `json:"room,omitempty"`
}

// Reasons of a refused offer, in addition to those of a refused start.
const (
	RefusedNoCapacity   RefuseReason = "no_room"
	RefusedNotReady     RefuseReason = "upstream_not_ready"
	RefusedUnhealthy    RefuseReason = "upstream_unhealthy"
	RefusedStopping     RefuseReason = "same_task_is_stopping"
	RefusedOtherService RefuseReason = "other_service"
	// RefusedTooSlow: the run was stopped for its lack of progress.
	RefusedTooSlow RefuseReason = "too_slow"
	// RefusedTakenOver: the run goes on for another dispatcher, to which the caller
	// has sent the job again.
	RefusedTakenOver RefuseReason = "taken_over"
)

// Heartbeat is sent between a dispatcher and an agent, in both directions. Timestamp is
// the sender's monotonic time. EchoedTimestamp is the last Timestamp that the sender has
// received from the other side; it proves that the sender was alive after that time.
type Heartbeat struct {
	Timestamp       time.Duration `json:"st"`
	EchoedTimestamp time.Duration `json:"echo,omitempty"`
	// Revision is that of the sender's site state.
	Revision int64 `json:"rev"`
	// WantSite asks the peer, whose revision is higher, for its state.
	WantSite bool `json:"want,omitempty"`
	// Site is the sender's state, given to a peer that has asked for it.
	Site *site.State `json:"site,omitempty"`
	// Capacity, from an agent, is the state of its local upstream.
	Capacity *CapacityReport `json:"room,omitempty"`
	// KnownInfoVersion, from a dispatcher, is the version of the upstream info that it has.
	KnownInfoVersion uint64 `json:"kk,omitempty"`
	// FirstWaiting, from a dispatcher, is the first of its tasks that wait for free capacity.
	FirstWaiting *WaitingTask `json:"wait,omitempty"`
}

// WaitingTask describes a task that waits for free capacity.
type WaitingTask struct {
	// Priority is that of its route; 0 comes first.
	Priority int       `json:"prio,omitempty"`
	Demand   Resources `json:"need"`
}

// CapacityReport describes the capacity in use of an agent's local upstream.
type CapacityReport struct {
	// Version rises with each change within one incarnation of the agent.
	Version uint64 `json:"v"`
	// Ready is false while the upstream accepts no new work.
	Ready bool      `json:"ready,omitempty"`
	Used  Resources `json:"used"`
	// InfoVersion is the version of the upstream info. Info is included until the receiver
	// reports this version in KnownInfoVersion.
	InfoVersion uint64        `json:"kv,omitempty"`
	Info        *UpstreamInfo `json:"kind,omitempty"`
	// MaxIncludedSeq is the highest Seq of the receiver's offers that Used includes.
	MaxIncludedSeq uint64 `json:"seen,omitempty"`
}

// UpstreamInfo holds the properties of an upstream that change rarely.
type UpstreamInfo struct {
	Service  string    `json:"svc"`
	Domain   string    `json:"dom"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"cap"`
}
