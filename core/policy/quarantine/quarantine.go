// Package quarantine distinguishes a worker that fails every task from a job that
// fails on every worker. It checks whether the failures come from several jobs and
// whether those jobs fail on other workers too.
//
// A worker is quarantined when three conditions hold: its last outcomes are all
// failures; they come from several jobs that do not fail on other workers; and so
// many failures in a row are improbable at the failure rate of the other workers.
// The executor on the same host as a worker sees all its outcomes, so it is the
// first to detect a failing worker. Homes use the same detector on the outcomes
// that they receive.
//
// At most a third of the known workers is in quarantine at one time, but one worker
// may always be if there are at least two. A quarantine is followed by a probation,
// in which the worker gets one task at a time.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The evidence that a quarantine requires.
const (
	// minFailures is the minimum number of failures in a row.
	minFailures = 5
	// minJobs is the minimum number of jobs that the failures come from.
	minJobs = 3
	// maxChance is the highest probability that a healthy worker fails so many
	// tasks in a row.
	maxChance = 1e-6
	// maxAge is the age above which an outcome is no evidence.
	maxAge = time.Minute
)

// maxShare limits the quarantined workers to one in maxShare.
const maxShare = 3

// Each quarantine of a worker that fails again on probation is twice as long as
// the one before, from firstQuarantine up to longestQuarantine.
const (
	firstQuarantine   = 2 * time.Second
	longestQuarantine = time.Minute
	// trialTimeout is how long the outcome of a trial task is awaited.
	trialTimeout = 10 * time.Second
	// trialsNeeded is the number of successful trial tasks that end a probation.
	trialsNeeded = 3
)

// Detector tracks the outcomes of tasks by worker and by job, and decides which
// workers are in quarantine. It is not safe for concurrent use.
type Detector struct {
	workers map[node.ID]*worker
	// restricted lists, sorted by ID, the workers that this detector has
	// quarantined (until the end of their probation) and those that report
	// themselves failing.
	restricted []node.ID
	jobs       jobs
	// rateSum is the sum of the failure rates of the workers with outcomes, and
	// ratedWorkers the number of these workers.
	rateSum      float64
	ratedWorkers int
}

// New returns a detector without known workers.
func New() *Detector {
	return &Detector{workers: make(map[node.ID]*worker), jobs: newJobs()}
}

// SetWorkers replaces the set of known workers. The outcomes of workers that are
// no longer known are dropped.
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
			d.removeRate(w)
			delete(d.workers, id)
		}
	}
	d.restricted = slices.DeleteFunc(d.restricted, func(id node.ID) bool { return !known[id] })
}

// Observe records the outcome of one task at the monotonic time now. A failure may be
// caused by the worker or by what jobKey identifies: a job of several tasks, or a
// group of similar requests when a team sends many jobs of one task. Outcomes of
// unknown workers are not recorded.
func (d *Detector) Observe(now time.Duration, worker node.ID, jobKey string, failed bool) {
	w := d.workers[worker]
	if w == nil {
		return
	}
	d.jobs.observe(jobKey, worker, failed)
	d.removeRate(w)
	w.observe(outcome{at: now, job: jobKey, failed: failed})
	d.addRate(w)
	if w.restricted {
		d.applyTrial(now, worker, w, jobKey, failed)
		return
	}
	if failed && d.justifiesQuarantine(now, w) {
		d.startQuarantine(now, worker, w)
	}
}

// justifiesQuarantine reports whether the last outcomes of w are sufficient
// evidence for a quarantine.
func (d *Detector) justifiesQuarantine(now time.Duration, w *worker) bool {
	inARow, distinct := w.failures(now, func(job string) bool { return !d.jobs.failsElsewhere(job) })
	return distinct >= minJobs && inARow >= d.failuresNeeded(w)
}

// failuresNeeded returns the number of failures in a row that justify a quarantine of
// w. A worker with the mean failure rate of the others has so many in a row with a
// probability of at most maxChance. The result is at least minFailures.
func (d *Detector) failuresNeeded(w *worker) int {
	others := d.ratedWorkers
	sum := d.rateSum
	if w.rateCounted {
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
	return max(minFailures, int(math.Ceil(math.Log(maxChance)/math.Log(mean))))
}

// addRate adds the failure rate of w to the sum.
func (d *Detector) addRate(w *worker) {
	w.rateCounted = true
	d.rateSum += w.rate
	d.ratedWorkers++
}

// removeRate removes the failure rate of w from the sum, if it is included.
func (d *Detector) removeRate(w *worker) {
	if w.rateCounted {
		w.rateCounted = false
		d.rateSum -= w.rate
		d.ratedWorkers--
	}
}

// startQuarantine puts a worker in quarantine.
func (d *Detector) startQuarantine(now time.Duration, id node.ID, w *worker) {
	w.quarantine(now)
	i, found := slices.BinarySearchFunc(d.restricted, id, cmp.Compare)
	if !found {
		d.restricted = slices.Insert(d.restricted, i, id)
	}
}

// release ends the quarantine and the probation of a worker.
func (d *Detector) release(id node.ID, w *worker) {
	w.release()
	d.restricted = slices.DeleteFunc(d.restricted, func(m node.ID) bool { return m == id })
}

// applyTrial applies an outcome of a worker that this detector has quarantined.
// Outcomes before the probation have no effect. A failed trial starts the next
// quarantine, unless the job fails on other workers too.
func (d *Detector) applyTrial(now time.Duration, id node.ID, w *worker, jobKey string, failed bool) {
	if now < w.quarantineUntil {
		return
	}
	w.trialPending = false
	switch {
	case failed && d.jobs.failsElsewhere(jobKey):
		return
	case failed:
		w.quarantine(now)
	default:
		w.trialsPassed++
		if w.trialsPassed >= trialsNeeded {
			d.release(id, w)
		}
	}
}

// SetReportsFailing records whether a worker reports itself as failing; see
// message.Load. Such a quarantine has no timeout here: it ends when the worker
// reports that it is no longer failing.
func (d *Detector) SetReportsFailing(worker node.ID, failing bool) {
	w := d.workers[worker]
	if w == nil {
		return
	}
	w.reportsFailing = failing
	i, found := slices.BinarySearchFunc(d.restricted, worker, cmp.Compare)
	switch {
	case failing && !found:
		d.restricted = slices.Insert(d.restricted, i, worker)
	case !failing && found && !w.restricted:
		d.restricted = slices.Delete(d.restricted, i, i+1)
	}
}

// Quarantined reports whether worker must not get a task at now.
func (d *Detector) Quarantined(now time.Duration, worker node.ID) bool {
	w := d.workers[worker]
	if w == nil || !w.restricted && !w.reportsFailing || !d.withinLimit(worker) {
		return false
	}
	return w.reportsFailing || now < w.quarantineUntil || w.awaitsTrial(now)
}

// TrialAllowed reports whether worker is on probation and may get one task now.
func (d *Detector) TrialAllowed(now time.Duration, worker node.ID) bool {
	w := d.workers[worker]
	return w != nil && w.restricted && now >= w.quarantineUntil && !w.awaitsTrial(now)
}

// RecordSent records that a task was sent to worker. On probation this is its
// trial task, and it gets no other until the outcome is known or trialTimeout
// has passed.
func (d *Detector) RecordSent(now time.Duration, worker node.ID) {
	if w := d.workers[worker]; w != nil && w.restricted {
		w.trialPending = true
		w.trialSentAt = now
	}
}

// Restriction describes a worker that this detector has quarantined.
type Restriction struct {
	Worker node.ID
	// UntilProbation is the time until the probation starts. It is zero or
	// negative on probation.
	UntilProbation time.Duration
}

// Restrictions returns, sorted by ID, the workers in quarantine or on probation
// because of outcomes that this detector observed. It omits workers that are
// quarantined only because they report themselves failing.
func (d *Detector) Restrictions(now time.Duration) []Restriction {
	var list []Restriction
	for _, id := range d.restricted[:min(len(d.restricted), d.maxQuarantined())] {
		if w := d.workers[id]; w.restricted {
			list = append(list, Restriction{Worker: id, UntilProbation: w.quarantineUntil - now})
		}
	}
	return list
}

// withinLimit reports whether the worker id is among the first restricted workers,
// up to the limit of workers in quarantine at one time. The order by ID makes all
// processes with the same restricted workers choose the same ones.
func (d *Detector) withinLimit(id node.ID) bool {
	i, found := slices.BinarySearchFunc(d.restricted, id, cmp.Compare)
	return found && i < d.maxQuarantined()
}

// maxQuarantined returns the limit of workers in quarantine at one time.
func (d *Detector) maxQuarantined() int {
	if len(d.workers) < 2 {
		return 0
	}
	return max(1, len(d.workers)/maxShare)
}

// JobVerdict returns the verdict on a job.
func (d *Detector) JobVerdict(jobKey string) JobVerdict { return d.jobs.verdict(jobKey) }
