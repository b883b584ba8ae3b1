package quarantine

import "time"

// keep is the number of outcomes that are kept for each worker.
const keep = 64

// rateSmoothing is the weight of one outcome in a failure rate, as a divisor.
const rateSmoothing = 32

// outcome is the end of one task.
type outcome struct {
	at     time.Duration
	job    string
	failed bool
}

// worker is what is known of one worker.
type worker struct {
	// last is a ring of the last outcomes; next is the place of the next one.
	last  []outcome
	next  int
	rate  float64
	rated bool

	// marked is true from the quarantine to the end of the probation.
	marked   bool
	reported bool
	until    time.Duration
	length   time.Duration
	inTrial  bool
	trialAt  time.Duration
	passed   int
}

func (w *worker) observe(o outcome) {
	if len(w.last) < keep {
		w.last = append(w.last, o)
	} else {
		w.last[w.next] = o
	}
	w.next = (w.next + 1) % keep
	target := 0.0
	if o.failed {
		target = 1
	}
	w.rate += (target - w.rate) / rateSmoothing
}

// failures returns the number of failures since the last success, of those that
// blames accepts, and the number of distinct jobs among them.
func (w *worker) failures(now time.Duration, blames func(job string) bool) (run, distinct int) {
	var seen [minJobs]string
	for n := 1; n <= len(w.last); n++ {
		o := &w.last[(w.next-n+keep)%keep]
		if !o.failed || now-o.at > maxAge {
			break
		}
		if !blames(o.job) {
			continue
		}
		run++
		if distinct < minJobs && !contains(seen[:distinct], o.job) {
			seen[distinct] = o.job
			distinct++
		}
	}
	return run, distinct
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// quarantine starts a quarantine, twice as long as the last.
func (w *worker) quarantine(now time.Duration) {
	w.length = min(max(2*w.length, firstQuarantine), lastQuarantine)
	w.until = now + w.length
	w.marked = true
	w.inTrial = false
	w.passed = 0
}

// release ends the probation and forgets the failures before it.
func (w *worker) release() {
	w.marked = false
	w.length = 0
	w.last = w.last[:0]
	w.next = 0
}

// trialRuns reports whether the outcome of a trial task is awaited.
func (w *worker) trialRuns(now time.Duration) bool {
	return w.inTrial && now-w.trialAt < trialTimeout
}
