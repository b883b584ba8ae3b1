// Package job defines a caller's job, its ID, its tasks and its answer.
package job

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// Limits of one job. Sizes are in bytes.
const (
	MaxTasks        = 1500
	MaxPayloadBytes = 64 << 10
	MaxBodyBytes    = 8 << 20
	MaxAnswerBytes  = 16 << 20
	MaxIDBytes      = 128
	MaxLabels       = 32
	MaxTimeout      = 10 * time.Minute
)

// Class is the priority class of a job.
type Class string

// The priority classes, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Classes lists the classes, most urgent first.
var Classes = []Class{Urgent, Normal, Batch}

// NumClasses is the number of classes.
const NumClasses = 3

// Rank returns the index of the class in Classes. An unknown or empty class has
// the rank of Normal.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Batch:
		return 2
	default:
		return 1
	}
}

// Task is one unit of work. Its labels decide, through the routes of the
// configuration, which upstreams may run it. The payload is opaque.
type Task struct {
	Labels  label.Set `json:"labels,omitempty"`
	Payload []byte    `json:"payload,omitempty"`
}

// Job is a caller's submission in the form in which the entry sends it to the home.
type Job struct {
	ID ID `json:"id"`
	// Attempt starts at 0. A caller raises it by one to submit the same ID
	// again after an answer whose kind is retryable.
	Attempt int    `json:"attempt,omitempty"`
	Team    string `json:"team"`
	// Created is the wall-clock time of the first submission in milliseconds
	// since the Unix epoch. Every resubmission repeats it.
	Created int64 `json:"created"`
	// Timeout is the time that remains until the deadline when the message
	// that carries the job is sent.
	Timeout    time.Duration `json:"timeout"`
	Class      Class         `json:"class,omitempty"`
	Idempotent bool          `json:"idempotent,omitempty"`
	Tasks      []Task        `json:"tasks"`
}

// TaskState is what the home knows of a task when it answers the job.
type TaskState string

// The states of a task in an answer.
const (
	// Done: the task ran and the upstream reported success.
	Done TaskState = "done"
	// Failed: the task ran and the upstream reported failure.
	Failed TaskState = "failed"
	// NotRun: the task has not started and never will.
	NotRun TaskState = "not_run"
	// Running: the task has started; the home does not wait for its result.
	Running TaskState = "running"
	// Unknown: the task may have started.
	Unknown TaskState = "unknown"
)

// Answer is the final answer of a job. Results is present only when Kind is
// errkind.None; it then has one body per task, in the order of the tasks.
// States is present only when the job failed after it was admitted; it has one
// state per task.
type Answer struct {
	ID      ID           `json:"id"`
	Attempt int          `json:"attempt,omitempty"`
	Kind    errkind.Kind `json:"kind,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	Results [][]byte     `json:"results,omitempty"`
	States  []TaskState  `json:"states,omitempty"`
	// RetryAfter is how long the caller should wait before it submits the job
	// again. Zero means that no estimate is available.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Complete reports whether the answer contains the result of every task.
func (a *Answer) Complete() bool { return a.Kind == errkind.None }
