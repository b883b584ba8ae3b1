package quarantine

import "github.com/dogwoodgauge/dogwoodgauge/core/node"

// JobVerdict tells whether a job fails by itself, on any worker.
type JobVerdict int

// The verdicts on a job.
const (
	// JobUnclear means that there is not enough evidence.
	JobUnclear JobVerdict = iota
	// JobHealthy means that a task of the job has succeeded.
	JobHealthy
	// JobFailing means that the job has failed on several workers and succeeded
	// on none.
	JobFailing
)

// badJobWorkers is the number of workers on which a job must have failed before
// its verdict is JobFailing.
const badJobWorkers = 2

// generationSize is the number of jobs in one generation of recentJobs.
const generationSize = 4096

// recentJobs maps the keys of the most recent jobs to values. It has two generations.
// When the young generation is full, it replaces the old one, whose values are
// dropped.
type recentJobs[T any] struct{ young, old map[string]T }

func newRecentJobs[T any]() recentJobs[T] {
	return recentJobs[T]{young: make(map[string]T), old: make(map[string]T)}
}

func (m *recentJobs[T]) get(key string) (T, bool) {
	if v, ok := m.young[key]; ok {
		return v, true
	}
	v, ok := m.old[key]
	return v, ok
}

func (m *recentJobs[T]) put(key string, v T) {
	if len(m.young) >= generationSize {
		m.old = m.young
		m.young = make(map[string]T, generationSize)
	}
	m.young[key] = v
}

// jobs holds the outcomes of the most recent jobs.
type jobs struct {
	failed    recentJobs[*jobRecord]
	succeeded recentJobs[struct{}]
}

// jobRecord holds the outcomes of one job that has failed.
type jobRecord struct {
	// failedOn holds the first workers on which the job failed; failures is their
	// number.
	failedOn  [badJobWorkers]node.ID
	failures  int
	succeeded bool
}

func newJobs() jobs {
	return jobs{failed: newRecentJobs[*jobRecord](), succeeded: newRecentJobs[struct{}]()}
}

// observe records the outcome of a task of the job key on worker.
func (j *jobs) observe(key string, worker node.ID, failed bool) {
	r, known := j.failed.get(key)
	if !known && !failed {
		j.succeeded.put(key, struct{}{})
		return
	}
	if !known {
		r = &jobRecord{}
		_, r.succeeded = j.succeeded.get(key)
		j.failed.put(key, r)
	}
	if failed {
		r.addFailure(worker)
		return
	}
	r.succeeded = true
}

// addFailure records that the job failed on worker.
func (r *jobRecord) addFailure(worker node.ID) {
	for _, id := range r.failedOn[:r.failures] {
		if id == worker {
			return
		}
	}
	if r.failures < badJobWorkers {
		r.failedOn[r.failures] = worker
		r.failures++
	}
}

// failsElsewhere reports whether a job fails on several workers. Its failures are
// then no evidence against any of them.
func (j *jobs) failsElsewhere(key string) bool { return j.verdict(key) == JobFailing }

// verdict returns the verdict on a job.
func (j *jobs) verdict(key string) JobVerdict {
	r, known := j.failed.get(key)
	switch {
	case !known:
		return j.unfailed(key)
	case r.succeeded:
		return JobHealthy
	case r.failures >= badJobWorkers:
		return JobFailing
	default:
		return JobUnclear
	}
}

// unfailed returns the verdict on a job without a recorded failure.
func (j *jobs) unfailed(key string) JobVerdict {
	if _, ok := j.succeeded.get(key); ok {
		return JobHealthy
	}
	return JobUnclear
}
