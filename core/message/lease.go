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
	// Run is the number of this start among the starts of the task.
	Run     int    `json:"run"`
	Service string `json:"svc"`
	Spec    string `json:"spec,omitempty"`
	Demand  Demand `json:"need"`
	// Expected is the estimated duration of the task. A run that would take several
	// times as long is stopped, so that the task can go elsewhere. Zero lets it run.
	Expected time.Duration `json:"exp,omitempty"`
	// Stamp is the last Beat stamp of the receiver that the sender has, and Age
	// the time since it came.
	Stamp time.Duration `json:"st"`
	Age   time.Duration `json:"age,omitempty"`
	// Waiting is the first of the sender's tasks that find no room, after this one.
	Waiting *Waiting `json:"wait,omitempty"`
}

// TaskName names a task in the whole fleet.
type TaskName struct {
	Job   string `json:"j"`
	Step  int    `json:"s,omitempty"`
	Index int    `json:"i,omitempty"`
}

// String returns "job/step/index".
func (n TaskName) String() string { return fmt.Sprintf("%s/%d/%d", n.Job, n.Step, n.Index) }

// Demand is what a task needs of an upstream while it runs, or what an upstream
// has.
type Demand struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int `json:"cpu,omitempty"`
	MemoryMB     int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// Add returns the sum of d and o.
func (d Demand) Add(o Demand) Demand {
	return Demand{d.MilliCPU + o.MilliCPU, d.MemoryMB + o.MemoryMB, d.Accelerators + o.Accelerators}
}

// Sub returns d less o.
func (d Demand) Sub(o Demand) Demand {
	return Demand{d.MilliCPU - o.MilliCPU, d.MemoryMB - o.MemoryMB, d.Accelerators - o.Accelerators}
}

// Fits reports whether d fits into room.
func (d Demand) Fits(room Demand) bool {
	return d.MilliCPU <= room.MilliCPU && d.MemoryMB <= room.MemoryMB && d.Accelerators <= room.Accelerators
}

// Recall asks an agent to stop the run of an offer, or never to start it. It is
// answered with a RunEnd.
type Recall struct {
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

// RunEnd reports the end of an offer. After it nothing of the offer runs.
type RunEnd struct {
	Seq    uint64       `json:"seq"`
	Result RunResult    `json:"res"`
	Reason RefuseReason `json:"why,omitempty"`
	// Took is how long the run lasted, when it has ended by itself.
	Took time.Duration `json:"took,omitempty"`
	Room *Room         `json:"room,omitempty"`
}

// Reasons of a refused offer, besides those of a refused start.
const (
	RefusedRoom      RefuseReason = "no_room"
	RefusedNotReady  RefuseReason = "upstream_not_ready"
	RefusedUnhealthy RefuseReason = "upstream_unhealthy"
	RefusedStopping  RefuseReason = "same_task_is_stopping"
	RefusedService   RefuseReason = "other_service"
	// RefusedTooSlow: the run was stopped for its lack of progress.
	RefusedTooSlow RefuseReason = "too_slow"
	// RefusedTakenOver: the run goes on for another dispatcher, to which the caller
	// has sent the job again.
	RefusedTakenOver RefuseReason = "taken_over"
)

// Beat passes between a dispatcher and an agent. Stamp is the sender's monotonic
// time. Echo is the last Stamp that the sender has received from the other side;
// it proves that the sender has run since then.
type Beat struct {
	Stamp time.Duration `json:"st"`
	Echo  time.Duration `json:"echo,omitempty"`
	// Revision is that of the sender's site state.
	Revision int64 `json:"rev"`
	// WantSite asks the peer, whose revision is higher, for its state.
	WantSite bool `json:"want,omitempty"`
	// Site is the sender's state, given to a peer that has asked for it.
	Site *site.State `json:"site,omitempty"`
	// Room is the state of the upstream, given by an agent.
	Room *Room `json:"room,omitempty"`
	// KnownKind, from a dispatcher, is the version of the upstream's kind that it knows.
	KnownKind uint64 `json:"kk,omitempty"`
	// Waiting, from a dispatcher, is the first of its tasks that find no room.
	Waiting *Waiting `json:"wait,omitempty"`
}

// Waiting describes a task that waits for room.
type Waiting struct {
	// Priority is that of its route; 0 comes first.
	Priority int    `json:"prio,omitempty"`
	Need     Demand `json:"need"`
}

// Room describes what of the upstream beside an agent is in use.
type Room struct {
	// Version rises with each change within one run of the agent.
	Version uint64 `json:"v"`
	// Ready is false while the upstream takes no new work.
	Ready bool   `json:"ready,omitempty"`
	Used  Demand `json:"used"`
	// KindVersion is that of the upstream's kind. Kind is given until the receiver says
	// that it knows this version.
	KindVersion uint64        `json:"kv,omitempty"`
	Kind        *UpstreamKind `json:"kind,omitempty"`
	// Seen is the highest Seq of the receiver's offers that Used takes into
	// account.
	Seen uint64 `json:"seen,omitempty"`
}

// UpstreamKind is what of an upstream changes rarely.
type UpstreamKind struct {
	Service  string   `json:"svc"`
	Domain   string   `json:"dom"`
	Labels   []string `json:"labels,omitempty"`
	Capacity Demand   `json:"cap"`
}
