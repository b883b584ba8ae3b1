package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pressure"
)

// Reasons of answers, for logs and metrics.
const (
	reasonDraining     = "draining"
	reasonTooManyJobs  = "too_many_jobs"
	reasonTooLarge     = "larger_than_every_upstream"
	reasonNoUpstream   = "no_upstream"
	reasonOverloaded   = "overloaded"
	reasonDeadline     = "deadline_passed"
	reasonAttemptsUsed = "attempts_used_up"
	reasonCallerGone   = "caller_gone"
	reasonCancelled    = "cancelled"
	reasonPaused       = "process_was_paused"
	reasonTakenOver    = "submitted_again_elsewhere"
)

const (
	// retrySoon is when a job that was refused for a passing state may come again:
	// about the time that a drained or restarted process takes to be replaced.
	retrySoon = time.Second
	// startGrace is how long after its start a dispatcher takes jobs though no agent is
	// known to take work: agents that start at the same time hear of their upstreams
	// within 1.5 s, the pause between two announcements.
	startGrace = 2 * time.Second
	// defaultEstimate stands for a task without an estimate.
	defaultEstimate = 100 * time.Millisecond
)

// job is one submission that has not been answered.
type job struct {
	call    uint64
	spec    Job
	tasks   []*task
	arrived time.Duration
	// objective is when the answer is wanted, deadline when the caller stops
	// waiting.
	objective time.Duration
	deadline  time.Duration
	// longest is the estimate of its longest task.
	longest time.Duration
	left    int
	// unplaced is the number of tasks that wait for an upstream.
	unplaced int
	// touched is set once a task has been offered that was not refused since.
	touched bool
	queued  bool
	offers  int
}

type taskState uint8

const (
	// blocked: earlier steps are not done.
	blocked taskState = iota
	// unplaced: to be offered to an agent.
	unplaced
	// offered: an agent has it, or had it when last heard.
	offered
	// done: it has succeeded.
	done
)

// task is one task of a job.
type task struct {
	job   *job
	step  int
	index int
	state taskState
	seq   uint64
	agent *agent
	// runs counts its starts, failures those that were reported as failed.
	runs, failures int
	// moves counts the runs that were stopped for their lack of progress.
	moves int
	// avoid lists the agents where it failed or was refused last.
	avoid []node.ID
}

func (t *task) name() message.TaskName {
	return message.TaskName{Job: t.job.spec.ID, Step: t.step, Index: t.index}
}

func (t *task) kind() *Step { return &t.job.spec.Steps[t.step] }

// submit takes in a job, or refuses it at once when it cannot be served. A job that
// is open already goes on for the new call.
func (c *Core) submit(e Submit) {
	j := newJob(c.now.Mono, e)
	if c.submittedAgain(j) {
		return
	}
	if c.resumedAt > 0 && c.now.Mono-c.resumedAt < resumeGrace {
		// Its caller may have sent it again elsewhere; one that has not does so now.
		c.finish(j, Interrupted, reasonPaused, 0)
		return
	}
	delay := c.delayOf(e)
	reason, retry := c.refuses(j)
	if c.overloaded(j, delay) {
		reason, retry = reasonOverloaded, retrySoon
	}
	if reason != "" {
		c.logEvent("job_refused", j.spec.ID, "request", j.spec.Request, "reason", reason, "route", j.spec.Route.Name, "open_jobs", len(c.jobs),
			"agents", len(c.agents), "delay_ms", delay.Milliseconds(), "revision", c.site.Revision)
		c.stats.Refusals++
		c.out = append(c.out, Answer{
			Call: j.call, Outcome: Refused, Reason: reason, RetryAfter: retry,
			TryOtherDispatcher: reason == reasonOverloaded || reason == reasonNoUpstream,
		})
		return
	}
	c.logEvent("job_accepted", j.spec.ID, "request", j.spec.Request, "route", j.spec.Route.Name, "tasks", len(j.tasks),
		"wait_ms", j.spec.Wait.Milliseconds(), "delay_ms", delay.Milliseconds(), "revision", c.site.Revision)
	c.jobs[j.call] = j
	c.byID[j.spec.ID] = j
	c.deadlines.Add(j.deadline, j.call)
	c.hopeless.Add(j.hopelessAt(), j.call)
	c.unblock(j)
	c.enqueue(j)
	c.dirty = true
}

// urgentDelay is how many times the target of a delay a submission of the first
// priority may wait under overload: the others are refused before it.
const urgentDelay = 3

// delayOf returns how long a submission has waited for this process.
func (c *Core) delayOf(e Submit) time.Duration {
	if e.ReceivedAt == 0 {
		return 0
	}
	return c.now.Mono - e.ReceivedAt
}

// overloaded reports whether a job is to be refused because the process falls behind
// its work: taking all would make all late.
func (c *Core) overloaded(j *job, delay time.Duration) bool {
	over := c.pressure.Observe(c.now.Mono, delay)
	if j.spec.Route.Priority == 0 {
		return over && delay > urgentDelay*pressure.Target
	}
	return over
}

// submittedAgain hands an open job to the call that has sent it again. It reports
// false when there is none.
func (c *Core) submittedAgain(again *job) bool {
	j, ok := c.byID[again.spec.ID]
	if !ok {
		return false
	}
	c.logEvent("job_submitted_again", j.spec.ID, "request", again.spec.Request, "open_ms", (c.now.Mono - j.arrived).Milliseconds())
	c.out = append(c.out, Answer{Call: j.call, Outcome: Interrupted, Reason: reasonTakenOver})
	delete(c.jobs, j.call)
	j.call, j.deadline, j.spec.Request = again.call, again.deadline, again.spec.Request
	c.jobs[j.call] = j
	c.deadlines.Add(j.deadline, j.call)
	c.hopeless.Add(j.hopelessAt(), j.call)
	return true
}

func newJob(now time.Duration, e Submit) *job {
	j := &job{call: e.Call, spec: e.Job, arrived: now, deadline: now + e.Job.Wait}
	var longest time.Duration
	for s := range e.Job.Steps {
		kind := &e.Job.Steps[s]
		longest = max(longest, kind.Estimate)
		for i := range kind.Count {
			j.tasks = append(j.tasks, &task{job: j, step: s, index: i})
		}
	}
	if longest == 0 {
		longest = defaultEstimate
	}
	j.left = len(j.tasks)
	j.longest = longest
	j.objective = now + e.Job.Route.Objective(longest)
	return j
}

// refuses returns why a job is not taken, and when to come again.
func (c *Core) refuses(j *job) (string, time.Duration) {
	switch {
	case len(c.jobs) >= maxOpenJobs:
		return reasonTooManyJobs, retrySoon
	case c.draining && len(c.jobs) == 0:
		return reasonDraining, retrySoon
	}
	for s := range j.spec.Steps {
		known, fits := c.couldRun(j.spec.Route.Service, &j.spec.Steps[s])
		if !known && c.now.Mono-c.startedAt < startGrace {
			continue
		}
		if !known {
			return reasonNoUpstream, retrySoon
		}
		if !fits {
			return reasonTooLarge, 0
		}
	}
	return "", 0
}

// couldRun reports whether an agent of the service is known, and whether one could
// run a task of this kind if it were idle.
func (c *Core) couldRun(service string, kind *Step) (known, fits bool) {
	for _, a := range c.order {
		if a.kind.Service != service || !c.usable(a) {
			continue
		}
		known = true
		if kind.Demand.Fits(a.kind.Capacity) && hasLabel(a, kind.RequiredLabel) {
			return true, true
		}
	}
	return known, false
}

func hasLabel(a *agent, label string) bool {
	return label == "" || slices.Contains(a.kind.Labels, label)
}

// unblock makes the tasks placeable whose earlier steps are done.
func (c *Core) unblock(j *job) {
	for _, t := range j.tasks {
		if t.state == blocked && j.stepsDone(t.kind().After) {
			t.state = unplaced
			j.unplaced++
		}
	}
}

func (j *job) stepsDone(steps []int) bool {
	for _, t := range j.tasks {
		if t.state != done && slices.Contains(steps, t.step) {
			return false
		}
	}
	return true
}

// enqueue puts a job in the order of placement: by priority, then by objective.
func (c *Core) enqueue(j *job) {
	if j.queued || j.unplaced == 0 {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, i, j)
}

func compareJobs(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.spec.Route.Priority, b.spec.Route.Priority),
		cmp.Compare(a.objective, b.objective),
		cmp.Compare(a.spec.ID, b.spec.ID),
	)
}

func (c *Core) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	if i, ok := slices.BinarySearchFunc(c.waiting, j, compareJobs); ok && c.waiting[i] == j {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(x *job) bool { return x == j })
}

// taskDone notes a success, and completes the job with its last task.
func (c *Core) taskDone(t *task) {
	j := t.job
	t.state = done
	j.left--
	if j.left == 0 {
		c.finish(j, Completed, "", 0)
		return
	}
	if len(j.spec.Steps) > 1 {
		c.unblock(j)
		c.enqueue(j)
	}
}

// taskFailed counts a reported failure; the task is tried elsewhere until its
// attempts are used up.
func (c *Core) taskFailed(t *task) {
	t.failures++
	if t.failures >= t.job.spec.Route.MaxAttempts {
		c.finish(t.job, Failed, reasonAttemptsUsed, 0)
		return
	}
	c.requeue(t)
}

// requeue makes a task wait for another upstream.
func (c *Core) requeue(t *task) {
	t.state = unplaced
	t.agent = nil
	t.job.unplaced++
	c.enqueue(t.job)
	c.dirty = true
}

// finish answers a job and stops what still runs of it.
func (c *Core) finish(j *job, outcome Outcome, reason string, retry time.Duration) {
	for _, t := range j.tasks {
		if t.state == offered {
			c.recall(t)
		}
	}
	c.dequeue(j)
	delete(c.jobs, j.call)
	if c.byID[j.spec.ID] == j {
		delete(c.byID, j.spec.ID)
	}
	c.logEvent("job_ended", j.spec.ID, "request", j.spec.Request, "outcome", outcome, "reason", reason, "route", j.spec.Route.Name,
		"tasks", len(j.tasks), "offers", j.offers, "unplaced", j.unplaced, "took_ms", (c.now.Mono - j.arrived).Milliseconds(),
		"objective_ms", (j.objective - j.arrived).Milliseconds(), "revision", c.site.Revision)
	c.out = append(c.out, Answer{Call: j.call, Outcome: outcome, Reason: reason, RetryAfter: retry})
}

// giveUp ends a job that will not be completed. If nothing of it has been offered,
// or all offers were refused, it is refused; otherwise it is interrupted.
func (c *Core) giveUp(j *job, reason string) {
	if j.touched {
		c.finish(j, Interrupted, reason, 0)
		return
	}
	c.finish(j, Refused, reason, retrySoon)
}

func (c *Core) abandon(e CallerGone) {
	if j, ok := c.jobs[e.Call]; ok {
		c.giveUp(j, cmp.Or(e.Cause, reasonCallerGone))
	}
}

func (c *Core) cancel(e Cancel) {
	j, found := c.byID[e.ID]
	if found {
		c.giveUp(j, reasonCancelled)
	}
	c.out = append(c.out, Cancelled{Call: e.Call, Found: found})
}

// checkDeadlines gives up the jobs whose callers wait no longer.
func (c *Core) checkDeadlines() {
	for call, ok := c.deadlines.Pop(c.now.Mono); ok; call, ok = c.deadlines.Pop(c.now.Mono) {
		if j, open := c.jobs[call]; open {
			c.giveUp(j, reasonDeadline)
		}
	}
}

// refuseHopeless refuses the jobs that wait, of which nothing has started, and that
// cannot end before their deadlines any more.
func (c *Core) refuseHopeless() {
	for call, ok := c.hopeless.Pop(c.now.Mono); ok; call, ok = c.hopeless.Pop(c.now.Mono) {
		if j, open := c.jobs[call]; open && j.queued && !j.touched {
			c.giveUp(j, reasonDeadline)
		}
	}
}

// estimateError is how far an estimate may exceed the duration of a task.
const estimateError = 0.4

// hopelessAt returns from when on the job can't end before its deadline any more if
// nothing of it has started.
func (j *job) hopelessAt() time.Duration { return j.deadline - j.shortest() }

// shortest returns the least time that the job takes.
func (j *job) shortest() time.Duration {
	return time.Duration(float64(j.longest) * (1 - estimateError))
}

// openJobs returns the open jobs in the order in which they came.
func (c *Core) openJobs() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.call, b.call) })
	return list
}
