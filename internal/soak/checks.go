package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lessee"
	"github.com/dogwoodgauge/dogwoodgauge/platform"
)

const (
	// evacuateBound is how long tasks may still start in a domain that has been taken out.
	// drainBound is the same for an upstream that is draining. Both bounds are guaranteed
	// only for processes that no fault has disturbed for settleTime.
	evacuateBound = 5 * time.Second
	drainBound    = 2 * time.Second
	settleTime    = 3 * time.Second
	// configBound is the time from the publication of a route until it is in force.
	configBound = 2 * time.Second
	// maxAnswerDelay is how long after its caller's deadline a job may be answered.
	maxAnswerDelay = 500 * time.Millisecond
	// maxTaskCrashes is the number of upstreams that may crash under one task, and
	// maxLateStarts the number of its starts after that.
	maxTaskCrashes = 3
	maxLateStarts  = 2
	// maxDetails bounds the number of violations that are kept with their texts.
	maxDetails = 50
)

// jobRecord is what callers and upstreams have seen of one job.
type jobRecord struct {
	tasks   int
	failing bool
	// submissions counts how many times the caller sent the job, refusals how many of
	// these were answered as not run.
	submissions, refusals int
	starts                int
	doneTasks             map[string]bool
	// failures counts the failed runs of each task, and crashes the upstreams that crashed
	// under it.
	failures, crashes map[string]int
	// crashing is set if the first task crashes its upstreams, and lateStarts counts its
	// starts after maxTaskCrashes of them.
	crashing   bool
	lateStarts int
}

// upstreamIncarnation is one incarnation of an upstream.
type upstreamIncarnation struct {
	upstream    *platform.StandinUpstream
	incarnation int64
}

// Violation is one violation of a guarantee.
type Violation struct {
	// After is the time since the start of the soak.
	After  time.Duration `json:"after_ns"`
	Check  string        `json:"check"`
	Detail string        `json:"detail"`
}

// checks records what callers and upstreams see, and the violations found in it. It is
// safe for concurrent use.
type checks struct {
	startedAt time.Time
	slack     float64

	mu   sync.Mutex
	jobs map[string]*jobRecord
	// outSince holds the time at which each domain that is out was taken out.
	// drainingSince holds the time at which the agent first acknowledged that an
	// incarnation of its upstream is draining.
	outSince      map[string]time.Time
	drainingSince map[upstreamIncarnation]time.Time
	// agents holds the process of the agent whose local upstream is the key.
	agents map[*platform.StandinUpstream]*process
	// violations holds the first maxDetails violations, violationCounts the number of all
	// by check.
	violations      []Violation
	violationCounts map[string]int
	answerCounts    map[string]int
}

func newChecks(slack float64) *checks {
	return &checks{
		startedAt: time.Now(), slack: slack, jobs: map[string]*jobRecord{}, outSince: map[string]time.Time{},
		drainingSince: map[upstreamIncarnation]time.Time{}, agents: map[*platform.StandinUpstream]*process{},
		violationCounts: map[string]int{}, answerCounts: map[string]int{},
	}
}

// withSlack multiplies a time bound by the slack of this soak.
func (c *checks) withSlack(d time.Duration) time.Duration { return time.Duration(float64(d) * c.slack) }

// addViolationLocked records a violation. The caller holds the lock.
func (c *checks) addViolationLocked(check, format string, args ...any) {
	c.violationCounts[check]++
	if len(c.violations) < maxDetails {
		c.violations = append(c.violations, Violation{After: time.Since(c.startedAt), Check: check, Detail: fmt.Sprintf(format, args...)})
	}
}

func (c *checks) addViolation(check, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(check, format, args...)
}

// jobOf returns the job of a task, or nil if no caller has submitted it. The caller holds
// the lock.
func (c *checks) jobOf(task string) *jobRecord {
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id]
}

// checkStart checks the start of a run.
func (c *checks) checkStart(u *platform.StandinUpstream, incarnation int64, task string, run int, others []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobOf(task)
	if j == nil {
		c.addViolationLocked("unasked", "task %s, which belongs to no submitted job, was started", task)
		return
	}
	j.starts++
	if j.crashing && strings.HasSuffix(task, ".0") && j.crashes[task] >= maxTaskCrashes {
		if j.lateStarts++; j.lateStarts > maxLateStarts {
			c.addViolationLocked("budget", "task %s was started again after %d upstreams had crashed under it", task, j.crashes[task])
		}
	}
	if len(others) > 0 {
		c.addViolationLocked("twice", "run %d of task %s started at %s while the task was running at %v", run, task, c.agents[u].name, others)
	}
	if since, ok := c.outSince[u.Domain]; ok {
		c.checkLateStart("evacuated", u, since, c.withSlack(evacuateBound), task)
	}
	if since, ok := c.drainingSince[upstreamIncarnation{u, incarnation}]; ok {
		c.checkLateStart("draining", u, since, c.withSlack(drainBound), task)
	}
}

// checkLateStart adds a violation if a start comes too late. The bound counts from since,
// or from the time at which the agent had been able to read the store for settleTime if
// that is later. Agents learn from the store that a domain is out, and from their upstream
// that it is draining. Faults of the links to dispatchers therefore excuse no late start.
// The caller holds the lock.
func (c *checks) checkLateStart(check string, u *platform.StandinUpstream, since time.Time, bound time.Duration, task string) {
	agent := c.agents[u]
	reachableSince, ok := agent.storeReachableSince()
	if !ok {
		return
	}
	if t := reachableSince.Add(settleTime); t.After(since) {
		since = t
	}
	if took := time.Since(since); took > bound {
		c.addViolationLocked(check, "task %s started at %s %v after the last permitted time", task, agent.name, took-bound)
	}
}

// recordCompletion counts a completed run of a task.
func (c *checks) recordCompletion(_ *platform.StandinUpstream, task string, _ int, completion lessee.Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobOf(task)
	if j == nil {
		return
	}
	switch completion {
	case lessee.CompletionDone:
		j.doneTasks[task] = true
	case lessee.CompletionFailed:
		j.failures[task]++
	case platform.StandinCrashed:
		j.crashes[task]++
	}
}

// recordSubmission records a submission just before it is sent.
func (c *checks) recordSubmission(id string, tasks int, task platform.StandinTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	if !ok {
		j = &jobRecord{
			tasks: tasks, failing: len(task.FailingIndexes) > 0, crashing: task.Crashes,
			doneTasks: map[string]bool{}, failures: map[string]int{}, crashes: map[string]int{},
		}
		c.jobs[id] = j
	}
	j.submissions++
}

// checkAnswer checks an answer against the runs that the upstreams have seen.
func (c *checks) checkAnswer(id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	c.answerCounts[answer]++
	switch answer {
	case answerRefused:
		j.refusals++
	case answerCompleted:
		if len(j.doneTasks) != j.tasks {
			c.addViolationLocked("partial", "job %s was answered as completed with %d of %d tasks done", id, len(j.doneTasks), j.tasks)
		}
	case answerFailed:
		for _, n := range j.failures {
			if n >= maxAttempts {
				return
			}
		}
		c.addViolationLocked("failed_without_cause", "job %s was answered as failed, but no task has used up its attempts; failed runs and crashes of each task: %v, %v",
			id, j.failures, j.crashes)
	}
}

// checkRefusedJobs checks at the end of the soak that no task of a job has started if all
// submissions of the job were refused.
func (c *checks) checkRefusedJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.refusals == j.submissions && j.starts > 0 {
			c.addViolationLocked("refused", "job %s was refused in %d of %d submissions, but its tasks have %d starts", id, j.refusals, j.submissions, j.starts)
		}
	}
}

// setDomainOut records that a domain has been taken out or brought back.
func (c *checks) setDomainOut(name string, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.outSince[name] = time.Now()
		return
	}
	delete(c.outSince, name)
}

// recordDraining records that an agent has acknowledged the draining of its upstream.
func (c *checks) recordDraining(u upstreamIncarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.drainingSince[u]; !ok {
		c.drainingSince[u] = time.Now()
	}
}
