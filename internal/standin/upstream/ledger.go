package upstream

import (
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Start names one start of a task.
type Start struct {
	Job     job.ID
	Attempt int
	Index   int
	Domain  string
}

// taskKey names a task over all attempts.
type taskKey struct {
	job   job.ID
	index int
}

// attemptKey names one submission of a job.
type attemptKey struct {
	job     job.ID
	attempt int
}

// taskAttemptKey names one task of one submission.
type taskAttemptKey struct {
	attemptKey
	index int
}

// Counts are the totals of a Ledger.
type Counts struct {
	// Starts counts all starts, Ended the tasks that ran to their end.
	Starts, Ended int
	// DuplicateStarts counts starts of a task beyond its first, over all
	// attempts.
	DuplicateStarts int
	// LateDomainStarts counts starts in a failure domain later than the bound
	// after it was taken out.
	LateDomainStarts int
	// UntrueNotRun counts submissions and single tasks that started although
	// their caller was told that they have not and will not.
	UntrueNotRun int
}

// Ledger counts starts over all upstreams of a test, independently of the
// system. All methods are safe for concurrent use.
type Ledger struct {
	lateAfter time.Duration

	mu     sync.Mutex
	counts Counts
	// tasks counts the starts of each task.
	tasks map[taskKey]int
	// attempts counts the starts of each submission.
	attempts map[attemptKey]int
	// notRun holds the submissions whose callers were told not_run; the value is
	// true once counted as untrue.
	notRun map[attemptKey]bool
	// notRunTasks is the same for single tasks.
	notRunTasks map[taskAttemptKey]bool
	// taskAttempts counts the starts of each task of each submission.
	taskAttempts map[taskAttemptKey]int
	// out holds when a domain that is out was taken out.
	out map[string]time.Time
	// last is the latest start in each domain.
	last map[string]time.Time
}

// DefaultLateAfter is the time that a change of a failure domain may take.
const DefaultLateAfter = 3 * time.Second

// NewLedger returns an empty ledger with the default bound for late starts.
func NewLedger() *Ledger {
	return &Ledger{
		lateAfter:    DefaultLateAfter,
		tasks:        make(map[taskKey]int),
		attempts:     make(map[attemptKey]int),
		notRun:       make(map[attemptKey]bool),
		notRunTasks:  make(map[taskAttemptKey]bool),
		taskAttempts: make(map[taskAttemptKey]int),
		out:          make(map[string]time.Time),
		last:         make(map[string]time.Time),
	}
}

// started records one start.
func (l *Ledger) started(s Start, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Starts++
	l.last[s.Domain] = now
	task := taskKey{s.Job, s.Index}
	l.tasks[task]++
	if l.tasks[task] > 1 {
		l.counts.DuplicateStarts++
	}
	if outAt, out := l.out[s.Domain]; out && now.Sub(outAt) > l.lateAfter {
		l.counts.LateDomainStarts++
	}
	attempt := attemptKey{s.Job, s.Attempt}
	l.attempts[attempt]++
	if counted, told := l.notRun[attempt]; told && !counted {
		l.notRun[attempt] = true
		l.counts.UntrueNotRun++
	}
	taskAttempt := taskAttemptKey{attempt, s.Index}
	l.taskAttempts[taskAttempt]++
	if counted, told := l.notRunTasks[taskAttempt]; told && !counted {
		l.notRunTasks[taskAttempt] = true
		l.counts.UntrueNotRun++
	}
}

func (l *Ledger) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Ended++
}

// ToldNotRun records that the caller of a submission was told that nothing of
// it has started or can start later.
func (l *Ledger) ToldNotRun(id job.ID, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := attemptKey{id, attempt}
	if _, told := l.notRun[key]; told {
		return
	}
	untrue := l.attempts[key] > 0
	l.notRun[key] = untrue
	if untrue {
		l.counts.UntrueNotRun++
	}
}

// ToldTaskNotRun records that the caller was told that one task of a submission
// has not started and never will.
func (l *Ledger) ToldTaskNotRun(id job.ID, attempt, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := taskAttemptKey{attemptKey{id, attempt}, index}
	if _, told := l.notRunTasks[key]; told {
		return
	}
	untrue := l.taskAttempts[key] > 0
	l.notRunTasks[key] = untrue
	if untrue {
		l.counts.UntrueNotRun++
	}
}

// DomainOut records when the change that takes a domain out was accepted.
func (l *Ledger) DomainOut(domain string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[domain] = at
}

// DomainIn records that the change that brings a domain back is about to be
// made.
func (l *Ledger) DomainIn(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.out, domain)
}

// LastStart returns the time of the latest start in a domain, or zero.
func (l *Ledger) LastStart(domain string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last[domain]
}

// Started returns how many tasks of a submission have started, repeats
// included.
func (l *Ledger) Started(id job.ID, attempt int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[attemptKey{id, attempt}]
}

// Counts returns the totals.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
