package upstream

import (
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Start identifies one start of a task and the failure domain in which it happened.
type Start struct {
	Job     job.ID
	Attempt int
	Index   int
	Domain  string
}

// taskKey identifies a task across all attempts of its job.
type taskKey struct {
	job   job.ID
	index int
}

// attemptKey identifies one attempt of a job.
type attemptKey struct {
	job     job.ID
	attempt int
}

// taskAttemptKey identifies one task of one attempt of a job.
type taskAttemptKey struct {
	attemptKey
	index int
}

// Counts are the totals of a Ledger.
type Counts struct {
	// Starts counts all starts. Answered counts the runs of tasks that an upstream
	// answered with a result.
	Starts, Answered int
	// DuplicateStarts counts starts of a task beyond its first, over all attempts.
	DuplicateStarts int
	// LateDomainStarts counts starts in a failure domain that came later than
	// DefaultLateAfter after the domain was taken out.
	LateDomainStarts int
	// UntrueNotRun counts attempts and single tasks that started although their
	// caller got the answer that they have not run and never will.
	UntrueNotRun int
}

// Ledger counts starts across all upstreams of a test, independently of the system
// under test. All methods are safe for concurrent use.
type Ledger struct {
	lateAfter time.Duration

	mu     sync.Mutex
	counts Counts
	// taskStarts counts the starts of each task.
	taskStarts map[taskKey]int
	// attemptStarts counts the task starts of each attempt.
	attemptStarts map[attemptKey]int
	// notRunAttempts holds the attempts whose answer said that no task has run. The
	// value is true once the attempt is counted in UntrueNotRun.
	notRunAttempts map[attemptKey]bool
	// notRunTasks is the same for the single tasks of an attempt.
	notRunTasks map[taskAttemptKey]bool
	// taskAttemptStarts counts the starts of each task of each attempt.
	taskAttemptStarts map[taskAttemptKey]int
	// outSince holds the time at which each domain that is out was taken out.
	outSince map[string]time.Time
	// lastStart holds the time of the latest start in each domain.
	lastStart map[string]time.Time
}

// DefaultLateAfter is how long tasks may still start in a failure domain after the
// domain was taken out.
const DefaultLateAfter = 3 * time.Second

// NewLedger returns an empty ledger with the default bound for late starts.
func NewLedger() *Ledger {
	return &Ledger{
		lateAfter:         DefaultLateAfter,
		taskStarts:        make(map[taskKey]int),
		attemptStarts:     make(map[attemptKey]int),
		notRunAttempts:    make(map[attemptKey]bool),
		notRunTasks:       make(map[taskAttemptKey]bool),
		taskAttemptStarts: make(map[taskAttemptKey]int),
		outSince:          make(map[string]time.Time),
		lastStart:         make(map[string]time.Time),
	}
}

// recordStart records one start of a task.
func (l *Ledger) recordStart(s Start, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Starts++
	l.lastStart[s.Domain] = now
	task := taskKey{s.Job, s.Index}
	l.taskStarts[task]++
	if l.taskStarts[task] > 1 {
		l.counts.DuplicateStarts++
	}
	if since, isOut := l.outSince[s.Domain]; isOut && now.Sub(since) > l.lateAfter {
		l.counts.LateDomainStarts++
	}
	attempt := attemptKey{s.Job, s.Attempt}
	l.attemptStarts[attempt]++
	if counted, reported := l.notRunAttempts[attempt]; reported && !counted {
		l.notRunAttempts[attempt] = true
		l.counts.UntrueNotRun++
	}
	taskAttempt := taskAttemptKey{attempt, s.Index}
	l.taskAttemptStarts[taskAttempt]++
	if counted, reported := l.notRunTasks[taskAttempt]; reported && !counted {
		l.notRunTasks[taskAttempt] = true
		l.counts.UntrueNotRun++
	}
}

// recordAnswer records that an upstream answers a run of a task with a result.
func (l *Ledger) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Answered++
}

// RecordNotRun records that the answer to an attempt said that no task has run: none of
// them has started or will start later.
func (l *Ledger) RecordNotRun(id job.ID, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := attemptKey{id, attempt}
	if _, reported := l.notRunAttempts[key]; reported {
		return
	}
	untrue := l.attemptStarts[key] > 0
	l.notRunAttempts[key] = untrue
	if untrue {
		l.counts.UntrueNotRun++
	}
}

// RecordTaskNotRun records that the answer to an attempt reported one of its tasks as
// not run: the task has not started and never will.
func (l *Ledger) RecordTaskNotRun(id job.ID, attempt, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := taskAttemptKey{attemptKey{id, attempt}, index}
	if _, reported := l.notRunTasks[key]; reported {
		return
	}
	untrue := l.taskAttemptStarts[key] > 0
	l.notRunTasks[key] = untrue
	if untrue {
		l.counts.UntrueNotRun++
	}
}

// RecordDomainOut records that the change that takes a domain out was accepted at a time.
func (l *Ledger) RecordDomainOut(domain string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outSince[domain] = at
}

// RecordDomainIn records that a domain is being brought back. Call it before making the
// change, because starts may follow as soon as the change is accepted.
func (l *Ledger) RecordDomainIn(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outSince, domain)
}

// LastStart returns the time of the latest start in a domain, or the zero time.
func (l *Ledger) LastStart(domain string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastStart[domain]
}

// AttemptStarts returns the number of task starts of an attempt, including repeated starts
// of the same task.
func (l *Ledger) AttemptStarts(id job.ID, attempt int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attemptStarts[attemptKey{id, attempt}]
}

// Counts returns the totals.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
