// Package quarantine tells a worker that fails everything it starts from a job
// that fails everywhere, by the diversity of the evidence.
//
// A worker is quarantined when its last outcomes are all failures, they come
// from several jobs that do not fail elsewhere, and so many in a row would not
// be expected at the failure rate of the other workers. The executor that runs
// beside a worker sees all its outcomes, so it is the first to tell; homes use
// the same detector on what they see.
//
// No more than a third of the known workers is in quarantine at one time. A
// quarantine ends with a probation, in which the worker gets one task at a
// time.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The evidence that a quarantine needs.
const (
	// minFailures is the least number of failures in a row.
	minFailures = 5
	// minJobs is the least number of jobs that they come from.
	minJobs = 3
	// chance is the greatest probability of such a run at a healthy worker.
	chance = 1e-6
	// maxAge is the age above which an outcome is no evidence.
	maxAge = time.Minute
)

// maxShare bounds the quarantined workers to one in maxShare.
const maxShare = 3

// The times of a quarantine.
const (
	firstQuarantine = 2 * time.Second
	lastQuarantine  = time.Minute
	// trialTimeout is when a trial task without outcome is given up.
	trialTimeout = 10 * time.Second
	// trialsNeeded is the number of successes that end a probation.
	trialsNeeded = 3
)

// Detector watches the outcomes of tasks by worker and by job. It is not safe
// for concurrent use.
type Detector struct {
	workers map[node.ID]*worker
	// marked lists the workers in quarantine or on probation, by ID.
	marked []node.ID
	jobs   jobs
	// rates is the sum of the failure rates of the workers with evidence.
	rates float64
	rated int
}

// New returns a detector without evidence.
func New() *Detector {
	return &Detector{workers: make(map[node.ID]*worker), jobs: newJobs()}
}

// SetWorkers tells the detector which workers are known. Evidence about others
// is dropped.
func (d *Detector) SetWorkers(now time.Duration, workers []node.ID) {
	known := make(map[node.ID]bool, len(workers))
	for _, id := range workers {
		known[id] = true
		if d.workers[id] == nil {
			d.workers[id] = &worker{}
		}
	}
	for id, w := range d.workers {
		if !known[id] {
			d.unrate(w)
			delete(d.workers, id)
		}
	}
	d.marked = slices.DeleteFunc(d.marked, func(id node.ID) bool { return !known[id] })
}

// Observe records the outcome of one task at the monotonic time now. JobKey
// names what may be to blame besides the worker: a job of several tasks, or the
// kind of request when a team sends many jobs of one task. Outcomes of unknown
// workers are not recorded.
func (d *Detector) Observe(now time.Duration, worker node.ID, jobKey string, failed bool) {
	w := d.workers[worker]
	if w == nil {
		return
	}
	d.jobs.observe(jobKey, worker, failed)
	d.unrate(w)
	w.observe(outcome{at: now, job: jobKey, failed: failed})
	d.rate(w)
	if w.marked {
		d.trialEnded(now, worker, w, jobKey, failed)
		return
	}
	if failed && d.convicts(now, w) {
		d.mark(now, worker, w)
	}
}

// convicts reports whether the last outcomes of w show that it fails
// everything.
func (d *Detector) convicts(now time.Duration, w *worker) bool {
	run, distinct := w.failures(now, func(job string) bool { return !d.jobs.failsElsewhere(job) })
	return distinct >= minJobs && run >= d.needed(w)
}

// needed returns the number of failures in a row that are not expected of a
// healthy worker.
func (d *Detector) needed(w *worker) int {
	others := d.rated
	sum := d.rates
	if w.rated {
		others--
		sum -= w.rate
	}
	if others <= 0 || sum <= 0 {
		return minFailures
	}
	mean := min(sum/float64(others), 1)
	if mean >= 1 {
		return math.MaxInt
	}
	return max(minFailures, int(math.Ceil(math.Log(chance)/math.Log(mean))))
}

func (d *Detector) rate(w *worker) {
	w.rated = true
	d.rates += w.rate
	d.rated++
}

func (d *Detector) unrate(w *worker) {
	if w.rated {
		w.rated = false
		d.rates -= w.rate
		d.rated--
	}
}

// mark puts a worker in quarantine.
func (d *Detector) mark(now time.Duration, id node.ID, w *worker) {
	w.quarantine(now)
	i, found := slices.BinarySearchFunc(d.marked, id, cmp.Compare)
	if !found {
		d.marked = slices.Insert(d.marked, i, id)
	}
}

// release ends the quarantine of a worker.
func (d *Detector) release(id node.ID, w *worker) {
	w.release()
	d.marked = slices.DeleteFunc(d.marked, func(m node.ID) bool { return m == id })
}

// trialEnded counts an outcome of a worker that is marked.
func (d *Detector) trialEnded(now time.Duration, id node.ID, w *worker, jobKey string, failed bool) {
	if now < w.until {
		return
	}
	w.inTrial = false
	switch {
	case failed && d.jobs.failsElsewhere(jobKey):
		return
	case failed:
		w.quarantine(now)
	default:
		w.passed++
		if w.passed >= trialsNeeded {
			d.release(id, w)
		}
	}
}

// SetReported records what a worker reports of itself; see message.Load.
// A report starts no timer here: the worker itself ends its quarantine.
func (d *Detector) SetReported(worker node.ID, failing bool) {
	w := d.workers[worker]
	if w == nil {
		return
	}
	w.reported = failing
	i, found := slices.BinarySearchFunc(d.marked, worker, cmp.Compare)
	switch {
	case failing && !found:
		d.marked = slices.Insert(d.marked, i, worker)
	case !failing && found && !w.marked:
		d.marked = slices.Delete(d.marked, i, i+1)
	}
}

// Quarantined reports whether worker may get no task at now.
func (d *Detector) Quarantined(now time.Duration, worker node.ID) bool {
	w := d.workers[worker]
	if w == nil || !w.marked && !w.reported || !d.withinBound(worker) {
		return false
	}
	return w.reported || now < w.until || w.trialRuns(now)
}

// Trial reports whether worker is on probation and may get one task now.
func (d *Detector) Trial(now time.Duration, worker node.ID) bool {
	w := d.workers[worker]
	return w != nil && w.marked && now >= w.until && !w.trialRuns(now)
}

// Sent records that a task was sent to worker, which uses up its trial.
func (d *Detector) Sent(now time.Duration, worker node.ID) {
	if w := d.workers[worker]; w != nil && w.marked {
		w.inTrial = true
		w.trialAt = now
	}
}

// Mark is a worker that the detector has put in quarantine.
type Mark struct {
	Worker node.ID
	// Left is the time to the probation. It is not positive on probation.
	Left time.Duration
}

// Marks returns the workers in quarantine or on probation for what has been
// observed here, by ID. What workers report of themselves is left out.
func (d *Detector) Marks(now time.Duration) []Mark {
	var marks []Mark
	for _, id := range d.marked[:min(len(d.marked), d.bound())] {
		if w := d.workers[id]; w.marked {
			marks = append(marks, Mark{Worker: id, Left: w.until - now})
		}
	}
	return marks
}

// withinBound reports whether worker is among the marked ones that may be
// quarantined at one time. All processes that know the same marks agree.
func (d *Detector) withinBound(id node.ID) bool {
	i, found := slices.BinarySearchFunc(d.marked, id, cmp.Compare)
	return found && i < d.bound()
}

// bound returns the number of workers that may be in quarantine at one time.
func (d *Detector) bound() int {
	if len(d.workers) < 2 {
		return 0
	}
	return max(1, len(d.workers)/maxShare)
}

// Job returns the verdict on a job.
func (d *Detector) Job(jobKey string) JobVerdict { return d.jobs.verdict(jobKey) }
