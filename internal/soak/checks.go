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
	// evacuateBound is how long after a domain has been taken out a task may start in
	// it, drainBound the same for an upstream that leaves. Both are promised for
	// processes that nothing has disturbed for calmTime.
	evacuateBound = 5 * time.Second
	drainBound    = 2 * time.Second
	calmTime      = 3 * time.Second
	// configBound is how long after its publication a route is in force.
	configBound = 2 * time.Second
	// answerSlack is how long after its caller's deadline a job may be answered.
	answerSlack = 500 * time.Millisecond
	// maxTold bounds the violations that are kept with their texts.
	maxTold = 50
)

// jobRecord is what is known of one job.
type jobRecord struct {
	tasks   int
	failing bool
	// submissions and refusals count the callers' attempts and those that were
	// answered as not run.
	submissions, refusals int
	starts                int
	done                  map[string]bool
	// failures counts the ends of each task as failed.
	failures map[string]int
}

// upstreamLife is one life of an upstream.
type upstreamLife struct {
	upstream *platform.StandinUpstream
	born     int64
}

// Violation is a promise that was seen broken.
type Violation struct {
	After  time.Duration `json:"after_ns"`
	Check  string        `json:"check"`
	Detail string        `json:"detail"`
}

// checks keeps what callers and upstreams have seen. It is safe for concurrent use.
type checks struct {
	began time.Time
	slack float64

	mu   sync.Mutex
	jobs map[string]*jobRecord
	// out holds since when each domain is out, draining since when agents know that an
	// upstream leaves in one of its lives.
	out      map[string]time.Time
	draining map[upstreamLife]time.Time
	agents   map[*platform.StandinUpstream]*process
	told     []Violation
	counts   map[string]int
	answers  map[string]int
}

func newChecks(slack float64) *checks {
	return &checks{
		began: time.Now(), slack: slack, jobs: map[string]*jobRecord{}, out: map[string]time.Time{},
		draining: map[upstreamLife]time.Time{}, agents: map[*platform.StandinUpstream]*process{},
		counts: map[string]int{}, answers: map[string]int{},
	}
}

// bound returns a bound on a time with the slack of this run.
func (c *checks) bound(d time.Duration) time.Duration { return time.Duration(float64(d) * c.slack) }

// broken notes a violation. The lock is held.
func (c *checks) broken(check, format string, args ...any) {
	c.counts[check]++
	if len(c.told) < maxTold {
		c.told = append(c.told, Violation{After: time.Since(c.began), Check: check, Detail: fmt.Sprintf(format, args...)})
	}
}

func (c *checks) violate(check, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(check, format, args...)
}

// jobOf returns the job of a task's name.
func (c *checks) jobOf(task string) *jobRecord {
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id]
}

// started checks the start of a run.
func (c *checks) started(u *platform.StandinUpstream, life int64, task string, run int, others []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobOf(task)
	if j == nil {
		c.broken("unasked", "task %s of no submitted job was started", task)
		return
	}
	j.starts++
	if len(others) > 0 {
		c.broken("twice", "run %d of task %s began at %s while the task ran at %v", run, task, c.agents[u].name, others)
	}
	if since, ok := c.out[u.Domain]; ok {
		c.late("evacuated", u, since, c.bound(evacuateBound), task)
	}
	if since, ok := c.draining[upstreamLife{u, life}]; ok {
		c.late("draining", u, since, c.bound(drainBound), task)
	}
}

// late checks a start that is forbidden since a time. Agents learn of both from the store
// or from their upstreams, so that faults of links to dispatchers are no excuse.
func (c *checks) late(check string, u *platform.StandinUpstream, since time.Time, bound time.Duration, task string) {
	agent := c.agents[u]
	informed, ok := agent.informedSince()
	if !ok {
		return
	}
	if t := informed.Add(calmTime); t.After(since) {
		since = t
	}
	if took := time.Since(since); took > bound {
		c.broken(check, "task %s began at %s %v after it had to be over", task, agent.name, took-bound)
	}
}

func (c *checks) runEnded(_ *platform.StandinUpstream, task string, _ int, how lessee.Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobOf(task)
	if j == nil {
		return
	}
	switch how {
	case lessee.CompletionDone:
		j.done[task] = true
	case lessee.CompletionFailed:
		j.failures[task]++
	}
}

func (c *checks) submitted(id string, tasks int, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	if !ok {
		j = &jobRecord{tasks: tasks, failing: failing, done: map[string]bool{}, failures: map[string]int{}}
		c.jobs[id] = j
	}
	j.submissions++
}

// answered checks an answer against what the upstreams have seen.
func (c *checks) answered(id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	c.answers[answer]++
	switch answer {
	case answerRefused:
		j.refusals++
	case answerCompleted:
		if len(j.done) != j.tasks {
			c.broken("partial", "job %s was answered as completed with %d of %d tasks done", id, len(j.done), j.tasks)
		}
	case answerFailed:
		for _, n := range j.failures {
			if n >= maxAttempts {
				return
			}
		}
		c.broken("failed_without_cause", "job %s was answered as failed; ends as failed: %v", id, j.failures)
	}
}

// refusedButRun checks at the end that what was refused has not run.
func (c *checks) refusedButRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.refusals == j.submissions && j.starts > 0 {
			c.broken("refused", "job %s was refused %d of %d times and has %d starts", id, j.refusals, j.submissions, j.starts)
		}
	}
}

// domain notes that a domain is out or back.
func (c *checks) domain(name string, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.out[name] = time.Now()
		return
	}
	delete(c.out, name)
}

// leaving notes that an upstream's draining was acknowledged.
func (c *checks) leaving(l upstreamLife) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.draining[l]; !ok {
		c.draining[l] = time.Now()
	}
}
