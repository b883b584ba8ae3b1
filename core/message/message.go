// Package message holds the typed messages that processes of the system send to
// each other. Every message may be lost, duplicated, delayed or reordered; the
// receivers must handle all of that.
package message

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/freshness"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Version is the version of the protocol between processes. A process refuses
// a peer with another version.
const Version = 1

// Envelope is the unit of transfer between two processes.
type Envelope struct {
	From node.Ref `json:"from"`
	// To names the incarnation that the envelope is meant for. A receiver with another
	// incarnation drops the envelope. The hello of a connection shows the sender which
	// incarnation the receiver is.
	To node.Ref `json:"to"`
	// Offset is the end of the part of the control stream that the sender has applied: the
	// offset of the next record that it would read.
	Offset int64 `json:"off,omitempty"`
	// Load is the sender's load, if it runs an executor.
	Load     *Load     `json:"load,omitempty"`
	Messages []Message `json:"msgs"`
}

// Message is a union: exactly one field is set.
type Message struct {
	Submit   *Submit   `json:"submit,omitempty"`
	Fetch    *Fetch    `json:"fetch,omitempty"`
	Cancel   *Cancel   `json:"cancel,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	Pending  *Pending  `json:"pending,omitempty"`
	NoRecord *NoRecord `json:"norecord,omitempty"`
	NotHome  *NotHome  `json:"nothome,omitempty"`
	Start    *Start    `json:"start,omitempty"`
	Abort    *Abort    `json:"abort,omitempty"`
	Result   *Result   `json:"result,omitempty"`
	Refused  *Refused  `json:"refused,omitempty"`
	Started  *Started  `json:"started,omitempty"`
	Status   *Status   `json:"status,omitempty"`
	Records  *Records  `json:"records,omitempty"`
	Handoff  *Handoff  `json:"handoff,omitempty"`

	HandoffAck *HandoffAck `json:"handoffack,omitempty"`

	// Messages between dispatchers and agents with leased upstreams.
	Offer         *Offer         `json:"offer,omitempty"`
	RevokeOffer   *RevokeOffer   `json:"recall,omitempty"`
	RunCompletion *RunCompletion `json:"runend,omitempty"`
	Heartbeat     *Heartbeat     `json:"beat,omitempty"`
}

// Submit asks a home to run a job. Request is unique within the incarnation of the entry
// that sends it; the Answer repeats it.
type Submit struct {
	Request uint64  `json:"req"`
	Job     job.Job `json:"job"`
	// SentAt is the sender's wall-clock time in milliseconds since the Unix
	// epoch.
	SentAt int64 `json:"at"`
	// Refuse, when set, asks the home to give this kind as the final answer unless it
	// already holds the job. The entry uses it for refusals that it decides itself, so
	// that they hold for every copy of the submission.
	Refuse     errkind.Kind  `json:"refuse,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Trace is a W3C traceparent value, or empty.
	Trace string `json:"trace,omitempty"`
}

// Fetch asks a home for the answer of a job that was submitted before.
type Fetch struct {
	Request uint64 `json:"req"`
	ID      job.ID `json:"id"`
	Attempt int    `json:"attempt,omitempty"`
}

// Cancel asks a home to cancel a job. It is answered like a Fetch.
type Cancel struct {
	Request uint64 `json:"req"`
	ID      job.ID `json:"id"`
	Attempt int    `json:"attempt,omitempty"`
}

// Answer carries the final answer to one request.
type Answer struct {
	Request uint64     `json:"req"`
	Answer  job.Answer `json:"answer"`
}

// Pending reports that the job of the request is known and not yet final.
type Pending struct {
	Request uint64 `json:"req"`
}

// NoRecord reports that the home holds no record of the job of a Fetch or Cancel.
type NoRecord struct {
	Request uint64 `json:"req"`
}

// NotHome reports that the receiver of a Submit has not created a record of the job:
// another process is its home, or (Home zero) a former home may have a record.
type NotHome struct {
	Request uint64 `json:"req"`
	// Home is the home that the sender knows of, or zero.
	Home   node.Ref `json:"home"`
	Detail string   `json:"detail,omitempty"`
}

// Start asks an executor to start a task. Seq numbers the tasks that one home
// incarnation has sent to one executor incarnation, from 1. A repeated Start
// with the same Seq is a retransmission and never a second start.
type Start struct {
	Seq uint64 `json:"seq"`
	// Floor is the lowest sequence number whose outcome the home does not know yet. The
	// executor refuses every Start below it and drops its state of the tasks below it.
	Floor   uint64        `json:"floor"`
	ID      job.ID        `json:"id"`
	Attempt int           `json:"attempt,omitempty"`
	Index   int           `json:"i"`
	Team    string        `json:"team"`
	Class   job.Class     `json:"class,omitempty"`
	Timeout time.Duration `json:"timeout"`
	// SentAt is the sender's wall-clock time in milliseconds since the Unix
	// epoch.
	SentAt int64    `json:"at"`
	Task   job.Task `json:"task"`
	// Trace is a W3C traceparent value, or empty.
	Trace string `json:"trace,omitempty"`
}

// Abort asks an executor not to start a task. The executor answers Refused when
// the task has not started and never will, and Started when it has.
type Abort struct {
	Seq   uint64 `json:"seq"`
	Floor uint64 `json:"floor"`
}

// Result reports the completion of a task that was started.
type Result struct {
	Seq     uint64 `json:"seq"`
	ID      job.ID `json:"id"`
	Attempt int    `json:"attempt,omitempty"`
	Index   int    `json:"i"`
	// State is job.Done, job.Failed or job.Unknown.
	State  job.TaskState `json:"state"`
	Body   []byte        `json:"body,omitempty"`
	Detail string        `json:"detail,omitempty"`
}

// RefuseReason is the reason why an executor or agent refused a task.
type RefuseReason string

// The reasons of a refusal.
const (
	// RefusedBusy: the executor has no slot for the task, or its worker is quarantined.
	RefusedBusy     RefuseReason = "busy"
	RefusedDraining RefuseReason = "draining"
	// RefusedNoMatch: the configuration permits the task at no local upstream.
	RefusedNoMatch RefuseReason = "no_match"
	// RefusedDomainOut: operators have taken out the failure domain.
	RefusedDomainOut RefuseReason = "domain_out"
	// RefusedStale: the executor has no current configuration, or the offer was in transit
	// for too long.
	RefusedStale   RefuseReason = "stale"
	RefusedSettled RefuseReason = "settled"
	// RefusedDeadline: the task has not started within its timeout.
	RefusedDeadline RefuseReason = "deadline"
	// RefusedAborted: an Abort or RevokeOffer was received before the task started.
	RefusedAborted      RefuseReason = "aborted"
	RefusedSenderBehind RefuseReason = "sender_behind"
	// RefusedWithdrawn: the upstream no longer announces itself, or could not be reached.
	RefusedWithdrawn RefuseReason = "upstream_withdrawn"
)

// Refused proves that the task with this sequence number has not started at the sender and
// never will, even if copies of the Start are still in flight.
type Refused struct {
	Seq     uint64       `json:"seq"`
	ID      job.ID       `json:"id"`
	Attempt int          `json:"attempt,omitempty"`
	Index   int          `json:"i"`
	Reason  RefuseReason `json:"reason"`
	// RetryAfter is the time after which the executor expects a free slot. Zero means
	// unknown.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Started answers a retransmitted Start or an Abort for a task that has been started and
// has not completed, or (Queued) that waits for a slot.
type Started struct {
	Seq    uint64 `json:"seq"`
	Queued bool   `json:"queued,omitempty"`
}

// Load is an executor's report of its own load.
type Load struct {
	// Slots is the number of task slots of the executor's local upstreams.
	Slots int `json:"slots"`
	// Busy is the number of slots in use.
	Busy int `json:"busy,omitempty"`
	// Queued is the number of accepted tasks that wait for a slot.
	Queued int `json:"queued,omitempty"`
	// QueuedUrgent is the part of Queued that is urgent.
	QueuedUrgent int `json:"qu,omitempty"`
	// MeanServiceTime is the observed mean service time of a task.
	MeanServiceTime time.Duration `json:"service,omitempty"`
	// Failing is true while most recent tasks have failed.
	Failing bool `json:"failing,omitempty"`
	// Overloaded is true while urgent tasks wait too long. The executor then refuses others.
	Overloaded bool `json:"over,omitempty"`
	// Draining is true once the process accepts no new work.
	Draining bool `json:"draining,omitempty"`
}

// Status is the periodic message between processes.
type Status struct {
	// LogAge is the time since the read of the log that is the sender's evidence for its
	// Offset. A negative value means that the sender holds no evidence. It has no meaning
	// in a query.
	LogAge time.Duration `json:"age,omitempty"`
	// Query asks the receiver to answer at once with its own Status, which repeats Round.
	Query bool   `json:"query,omitempty"`
	Round uint64 `json:"round,omitempty"`
	// Unsynced, in a query, means that the sender lacks records before its Offset and
	// requests the whole state.
	Unsynced bool `json:"uns,omitempty"`
	// UpstreamVersion numbers the changes of the local upstreams of the sender of an
	// answer, from 1 in each incarnation. In a query it is the version of the receiver's
	// upstreams that the sender holds, or zero.
	UpstreamVersion uint64 `json:"upv,omitempty"`
	// Upstreams describes the local upstreams of the sender of an answer. It is omitted
	// when the query has the same UpstreamVersion.
	Upstreams []Upstream `json:"ups,omitempty"`
	// WantDigest, in a query, requests Digest in the answer.
	WantDigest bool              `json:"wd,omitempty"`
	Digest     *freshness.Digest `json:"dig,omitempty"`
	// WantReport, in a query, requests Report in the answer.
	WantReport bool    `json:"wr,omitempty"`
	Report     *Report `json:"rep,omitempty"`
}

// Report is the state of an agent as shown to operators. An agent sends it on request.
type Report struct {
	// RemainingLease is how long the agent may still start tasks without new evidence. It
	// is zero or negative once the freshness lease has expired.
	RemainingLease time.Duration `json:"lease_left"`
	// Revision is the revision of the configuration in use.
	Revision int64 `json:"revision"`
	Synced   bool  `json:"synced"`
	// Records is the number of jobs whose home is this agent.
	Records int `json:"records"`
	// Quarantined is the number of workers that the agent sends no tasks to because of
	// failures that it has observed itself. Quarantines lists the first of them.
	Quarantined int          `json:"quarantined,omitempty"`
	Quarantines []Quarantine `json:"quarantines,omitempty"`
}

// Quarantine describes a worker that gets no tasks because of its failures.
type Quarantine struct {
	// Agent is the agent of the worker.
	Agent node.ID `json:"agent"`
	// UntilProbation is the time until the probation begins. It is zero or negative during
	// the probation.
	UntilProbation time.Duration `json:"left"`
}

// Upstream describes one announced upstream.
type Upstream struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	Slots  int               `json:"slots"`
}

// Records carries records of the control stream to a peer that is behind. Records are
// consecutive from Offset.
type Records struct {
	Offset  int64    `json:"off"`
	Records [][]byte `json:"recs,omitempty"`
	// Snapshot, when present, is the folded state before Offset.
	Snapshot []byte `json:"snap,omitempty"`
}

// Handoff carries final answers from a home that is leaving to the process that serves
// them afterwards. Part counts from 0.
type Handoff struct {
	Home    node.Ref     `json:"home"`
	Part    int          `json:"part"`
	Answers []job.Answer `json:"answers"`
}

// HandoffAck confirms that the receiver of a Handoff has stored this part.
type HandoffAck struct {
	Home node.Ref `json:"home"`
	Part int      `json:"part"`
}
