package quarantine

import "github.com/dogwoodgauge/dogwoodgauge/core/node"

// JobVerdict says what is known of one job.
type JobVerdict int

// The verdicts on a job.
const (
	// JobUnclear: there is not enough evidence.
	JobUnclear JobVerdict = iota
	// JobHealthy: a task of it has succeeded.
	JobHealthy
	// JobFailing: it has failed on several workers and succeeded on none.
	JobFailing
)

// badJobWorkers is the number of workers on which a job must fail to be called
// failing.
const badJobWorkers = 2

// generation is the number of jobs in one generation of a memory.
const generation = 4096

// memory maps the last jobs to a record. It forgets them in two generations.
type memory[T any] struct{ young, old map[string]T }

func newMemory[T any]() memory[T] {
	return memory[T]{young: make(map[string]T), old: make(map[string]T)}
}

func (m *memory[T]) get(key string) (T, bool) {
	if v, ok := m.young[key]; ok {
		return v, true
	}
	v, ok := m.old[key]
	return v, ok
}

func (m *memory[T]) put(key string, v T) {
	if len(m.young) >= generation {
		m.old = m.young
		m.young = make(map[string]T, generation)
	}
	m.young[key] = v
}

// jobs remembers the outcomes of the last jobs.
type jobs struct {
	failed    memory[*jobRecord]
	succeeded memory[struct{}]
}

// jobRecord is what is known of one job.
type jobRecord struct {
	// failedOn holds the first workers on which the job failed.
	failedOn  [badJobWorkers]node.ID
	failures  int
	succeeded bool
}

func newJobs() jobs {
	return jobs{failed: newMemory[*jobRecord](), succeeded: newMemory[struct{}]()}
}

// observe records an outcome.
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

// failsElsewhere reports whether a job fails on several workers, so that its
// failures say nothing about one of them.
func (j *jobs) failsElsewhere(key string) bool { return j.verdict(key) == JobFailing }

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
