package quarantine

import "time"

// keptOutcomes is the number of outcomes that are kept for each worker.
const keptOutcomes = 64

// rateSmoothing is the inverse weight of one outcome in a failure rate.
const rateSmoothing = 32

// outcome describes the completion of one task.
type outcome struct {
	at     time.Duration
	job    string
	failed bool
}

// worker holds the recent outcomes and the quarantine state of one worker.
type worker struct {
	// last is a ring buffer of the last outcomes; next is the index of the next
	// one.
	last []outcome
	next int
	// rate is the smoothed failure rate. rateCounted is true while Detector.rateSum
	// includes it.
	rate        float64
	rateCounted bool

	// restricted is true from the start of a quarantine by this detector to the end
	// of the probation.
	restricted bool
	// reportsFailing is true while the worker reports itself as failing.
	reportsFailing bool
	// quarantineUntil is the end of the quarantine, quarantineLength its duration.
	quarantineUntil  time.Duration
	quarantineLength time.Duration
	// trialPending is true while a trial task has no outcome; trialSentAt is
	// when it was sent. trialsPassed counts the successful trial tasks.
	trialPending bool
	trialSentAt  time.Duration
	trialsPassed int
}

// observe records an outcome.
func (w *worker) observe(o outcome) {
	if len(w.last) < keptOutcomes {
		w.last = append(w.last, o)
	} else {
		w.last[w.next] = o
	}
	w.next = (w.next + 1) % keptOutcomes
	target := 0.0
	if o.failed {
		target = 1
	}
	w.rate += (target - w.rate) / rateSmoothing
}

// failures counts the failures since the last success, without those older than
// maxAge and those of jobs for which isEvidence returns false. It also returns the
// number of distinct jobs among them, counted up to minJobs.
func (w *worker) failures(now time.Duration, isEvidence func(job string) bool) (inARow, distinct int) {
	var seen [minJobs]string
	for n := 1; n <= len(w.last); n++ {
		o := &w.last[(w.next-n+keptOutcomes)%keptOutcomes]
		if !o.failed || now-o.at > maxAge {
			break
		}
		if !isEvidence(o.job) {
			continue
		}
		inARow++
		if distinct < minJobs && !contains(seen[:distinct], o.job) {
			seen[distinct] = o.job
			distinct++
		}
	}
	return inARow, distinct
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// quarantine starts a quarantine, twice as long as the one before.
func (w *worker) quarantine(now time.Duration) {
	w.quarantineLength = min(max(2*w.quarantineLength, firstQuarantine), longestQuarantine)
	w.quarantineUntil = now + w.quarantineLength
	w.restricted = true
	w.trialPending = false
	w.trialsPassed = 0
}

// release ends the probation and drops the outcomes before its end.
func (w *worker) release() {
	w.restricted = false
	w.quarantineLength = 0
	w.last = w.last[:0]
	w.next = 0
}

// awaitsTrial reports whether the outcome of a trial task is still awaited at now.
func (w *worker) awaitsTrial(now time.Duration) bool {
	return w.trialPending && now-w.trialSentAt < trialTimeout
}
