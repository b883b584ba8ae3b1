// Package quarantine tells a worker that fails everything it starts from a job
// that fails everywhere, by the diversity of the evidence.
package quarantine

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Detector watches the outcomes of tasks by worker and by job. It is not safe
// for concurrent use.
type Detector struct{}

// New returns a detector without evidence.
func New() *Detector { return &Detector{} }

// SetWorkers tells the detector which workers are known. Evidence about others
// is dropped.
func (d *Detector) SetWorkers(now time.Duration, workers []node.ID) {}

// Observe records the outcome of one task at the monotonic time now.
func (d *Detector) Observe(now time.Duration, worker node.ID, jobKey string, failed bool) {}

// Quarantined reports whether worker may get no task at now.
func (d *Detector) Quarantined(now time.Duration, worker node.ID) bool { return false }

// Trial reports whether worker is on probation, where it may get one task at a
// time.
func (d *Detector) Trial(now time.Duration, worker node.ID) bool { return false }

// Sent records that a task was sent to worker, which uses up its trial.
func (d *Detector) Sent(now time.Duration, worker node.ID) {}

// JobVerdict says what is known of one job.
type JobVerdict int

// The verdicts on a job.
const (
	// JobUnclear: there is not enough evidence.
	JobUnclear JobVerdict = iota
	// JobHealthy: a task of it has succeeded.
	JobHealthy
	// JobFailing: it fails on several workers that other jobs succeed on.
	JobFailing
)

// Job returns the verdict on a job.
func (d *Detector) Job(jobKey string) JobVerdict { return JobUnclear }
