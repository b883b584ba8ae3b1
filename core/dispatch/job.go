package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/backlog"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pressure"
)

const (
	// transientRetryDelay is the retry delay after a refusal for a state that soon passes. It
	// is about the time in which a drained or restarted process is replaced.
	transientRetryDelay = time.Second
	// startGrace is how long after its start a dispatcher accepts jobs although no usable
	// agent is known. Agents that start at the same time learn of their upstreams within
	// 1.5 s, the interval between two announcements.
	startGrace = 2 * time.Second
	// minTaskMilliCPU is what a task needs at least, in thousandths of a core. Otherwise any number
	// of tasks that ask for less would fit on an upstream, and their runs into no agent's memory.
	minTaskMilliCPU = 10
	// defaultEstimate is the estimate for jobs whose tasks have none.
	defaultEstimate = 100 * time.Millisecond
)

// job is one submission that has not been answered.
type job struct {
	call      uint64
	spec      Job
	tasks     []*task
	arrivedAt time.Duration
	// submittedAt is when the caller that waits has submitted the job, which may be later.
	submittedAt time.Duration
	// objective is the time at which the answer is due, deadline the time at which the
	// caller stops waiting.
	objective time.Duration
	deadline  time.Duration
	// longestEstimate is the estimate of the longest task.
	longestEstimate time.Duration
	// remaining is the number of tasks that are not done, and stepRemaining that of each step.
	remaining     int
	stepRemaining []int
	// unplaced is the number of tasks in state unplaced.
	unplaced int
	// mayHaveRun is set once a task has been offered, unless all such offers were refused.
	mayHaveRun bool
	// queued is set while the job is in Core.waiting.
	queued bool
	// backlog is that of its service, or nil if its wait is not predicted. counted is the demand
	// of the job that it includes.
	backlog *backlog.Backlog
	counted backlog.Entry
	// crashed is set if upstreams have crashed while they had tasks of the job.
	crashed bool
	// acceptedAttempts is the highest Route.MaxAttempts of its submissions.
	acceptedAttempts int
	// held is set while a start call of an earlier submission may be executed.
	held bool
	// ranBefore is set if a task may have run in an earlier submission, here or elsewhere.
	ranBefore  bool
	offerCount int
	turn       jobTurn
}

type taskState uint8

const (
	// blocked: earlier steps are not done.
	blocked taskState = iota
	// unplaced: waits to be offered to an agent.
	unplaced
	// offered: an agent has an offer of it, whose completion has not been received.
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
	// rank is the priority at which the task was placed, and late is set if its job could not
	// meet its objective then.
	rank int
	late bool
	// starts counts the offers after which the task may have run, failures the runs reported as
	// failed.
	starts, failures int
	// firstSentAt is Offer.FirstSentAt of the open offer.
	firstSentAt time.Duration
	// mayStartLate is set if a start call of the open offer got no answer, and startsAnswered if
	// every start call was answered, by the agent's reports.
	mayStartLate, startsAnswered bool
	// held is set while the task waits for its lost agent, since it may start late.
	held bool
	// tooSlowRuns counts the runs that were stopped for lack of progress.
	tooSlowRuns int
	// placedWork is what its last offer has added to the placed work of its priority.
	placedWork float64
	// avoided lists the agents on which it failed, was refused or made no progress, and
	// those that became unresponsive while they had it.
	avoided []node.ID
}

func (t *task) name() message.TaskName {
	return message.TaskName{Job: t.job.spec.ID, Step: t.step, Index: t.index}
}

func (t *task) stepSpec() *Step { return &t.job.spec.Steps[t.step] }

// handleSubmit accepts a job, or refuses it at once if it cannot be served.
func (c *Core) handleSubmit(e Submit) {
	j := newJob(c.now.Mono, e)
	if c.withdrawResubmission(j) || c.adoptResubmission(j) {
		return
	}
	if c.resuming() {
		// If no other dispatcher has the job, the caller submits it again after this answer.
		c.answerJob(j, Interrupted, reasonPaused, 0)
		return
	}
	held := c.holds.known.Held(c.now.Mono, j.spec.ID)
	j.crashed, j.ranBefore = c.crashes.JobKnown(j.spec.ID), c.ranBefore(j.spec.ID) || held
	if c.crashes.JobCondemned(j.spec.ID) {
		c.answerJob(j, Interrupted, reasonCrashes, 0)
		return
	}
	delay := c.queueDelay(e)
	reason, retry := c.refusalReason(j)
	if c.shouldShed(j, delay) {
		reason, retry = reasonOverloaded, transientRetryDelay
	}
	if reason != "" {
		c.logEvent("job_refused", j.spec.ID, "request", j.spec.Request, "reason", reason, "route", j.spec.Route.Name, "open_jobs", len(c.jobs),
			"agents", len(c.agents), "delay_ms", delay.Milliseconds(), "revision", c.site.Revision)
		c.stats.Refusals++
		if reason == reasonConfined {
			c.confinedRefusedAt = c.now.Mono
		}
		outcome := Refused
		if j.startedHereOrBefore() {
			outcome = Interrupted
			c.rememberRan(j, outcome)
		}
		c.out = append(c.out, Answer{
			Call: j.call, Outcome: outcome, Reason: reason, RetryAfter: retry,
			TryOtherDispatcher: reason == reasonOverloaded || reason == reasonNoUpstream,
		})
		return
	}
	c.logEvent("job_accepted", j.spec.ID, "request", j.spec.Request, "route", j.spec.Route.Name, "tasks", len(j.tasks),
		"wait_ms", j.spec.Wait.Milliseconds(), "delay_ms", delay.Milliseconds(), "revision", c.site.Revision)
	j.backlog = c.backlogOf(j)
	c.jobs[j.call] = j
	c.openTasks += j.countedTasks()
	c.byID[j.spec.ID] = j
	c.deadlines.Add(j.deadline, j.call)
	c.latestStarts.Add(j.latestStart(c.cfg.UsefulFactor), j.call)
	if held {
		c.holdJob(j)
		return
	}
	c.unblock(j)
	c.enqueue(j)
	c.recordArrival(j)
	c.placementNeeded = true
}

// urgentDelayFactor times the target delay is how long a submission of priority 0 may have
// waited under overload. Less urgent ones are refused as soon as the process is overloaded.
const urgentDelayFactor = 3

// queueDelay returns how long a submission has waited for this process to handle it.
func (c *Core) queueDelay(e Submit) time.Duration {
	if e.ReceivedAt == 0 {
		return 0
	}
	return c.now.Mono - e.ReceivedAt
}

// shouldShed reports whether to refuse a job because the process falls behind its work:
// accepting all jobs would make all of them late.
func (c *Core) shouldShed(j *job, delay time.Duration) bool {
	overloaded := c.pressure.Observe(c.now.Mono, delay)
	if j.spec.Route.Priority == 0 {
		return overloaded && delay > urgentDelayFactor*pressure.Target
	}
	return overloaded
}

// adoptResubmission attaches an open job to the call that submits it again. It refuses another
// job with the same ID, and returns false if no job with this ID is open.
func (c *Core) adoptResubmission(resubmitted *job) bool {
	j, ok := c.byID[resubmitted.spec.ID]
	if !ok {
		return false
	}
	same := j.spec.asksSame(resubmitted.spec)
	c.logEvent("job_submitted_again", j.spec.ID, "request", resubmitted.spec.Request, "open_ms", (c.now.Mono - j.arrivedAt).Milliseconds(),
		"same", same)
	if !same {
		c.answerJob(resubmitted, Refused, reasonIDInUse, 0)
		return true
	}
	c.out = append(c.out, Answer{Call: j.call, Outcome: Interrupted, Reason: reasonTakenOver})
	delete(c.jobs, j.call)
	j.call, j.deadline, j.spec.Request = resubmitted.call, resubmitted.deadline, resubmitted.spec.Request
	j.submittedAt = resubmitted.submittedAt
	j.acceptedAttempts = max(j.acceptedAttempts, resubmitted.acceptedAttempts)
	c.jobs[j.call] = j
	c.deadlines.Add(j.deadline, j.call)
	c.latestStarts.Add(j.latestStart(c.cfg.UsefulFactor), j.call)
	return true
}

func newJob(now time.Duration, e Submit) *job {
	j := &job{call: e.Call, spec: e.Job, arrivedAt: now, submittedAt: now, deadline: now + e.Job.Wait, acceptedAttempts: e.Job.Route.MaxAttempts}
	var longest time.Duration
	tasks := make([]task, e.Job.taskCount())
	j.tasks, j.stepRemaining = make([]*task, 0, len(tasks)), make([]int, len(e.Job.Steps))
	for s := range e.Job.Steps {
		spec := &e.Job.Steps[s]
		longest = max(longest, spec.Estimate)
		spec.Demand.MilliCPU = max(spec.Demand.MilliCPU, minTaskMilliCPU)
		j.stepRemaining[s] = spec.Count
		for i := range spec.Count {
			t := &tasks[len(j.tasks)]
			t.job, t.step, t.index = j, s, i
			j.tasks = append(j.tasks, t)
		}
	}
	if longest == 0 {
		longest = defaultEstimate
	}
	j.remaining = len(j.tasks)
	j.longestEstimate = longest
	j.objective = now + e.Job.Route.Objective(longest)
	return j
}

// countedTasks returns the number of tasks that Config.MaxOpenTasks limits.
func (j *job) countedTasks() int {
	if len(j.tasks) <= uncountedTasks {
		return 0
	}
	return len(j.tasks)
}

// refusalReason returns why a job is refused, or an empty string, and its retry delay.
func (c *Core) refusalReason(j *job) (string, time.Duration) {
	switch {
	case len(c.jobs) >= maxOpenJobs:
		return reasonTooManyJobs, transientRetryDelay
	case c.cfg.MaxOpenTasks > 0 && c.openTasks > 0 && j.countedTasks() > 0 && c.openTasks+j.countedTasks() > c.cfg.MaxOpenTasks:
		return reasonTooManyTasks, transientRetryDelay
	case c.draining && len(c.jobs) == 0:
		return reasonDraining, transientRetryDelay
	case c.confinedOut(j):
		return reasonConfined, transientRetryDelay
	}
	for s := range j.spec.Steps {
		known, fits := c.couldRun(j.spec.Route.Service, &j.spec.Steps[s])
		if !known && c.now.Mono-c.startedAt < startGrace {
			continue
		}
		if !known {
			return reasonNoUpstream, transientRetryDelay
		}
		if !fits {
			return reasonTooLarge, 0
		}
	}
	return "", 0
}

// couldRun reports whether an agent of the service that can get work is known, and whether
// one of them could run a task of the step if it were idle.
func (c *Core) couldRun(service string, spec *Step) (known, fits bool) {
	for _, a := range c.sortedAgents {
		if a.info.Service != service || !c.expectedUsable(a) {
			continue
		}
		known = true
		if spec.Demand.Fits(a.info.Capacity) && hasLabel(a, spec.RequiredLabel) {
			return true, true
		}
	}
	return known, false
}

func hasLabel(a *agent, label string) bool {
	return label == "" || slices.Contains(a.info.Labels, label)
}

// unblock makes tasks placeable when the steps before theirs are done.
func (c *Core) unblock(j *job) {
	for _, t := range j.tasks {
		if t.state == blocked && j.stepsDone(t.stepSpec().After) {
			t.state = unplaced
			j.unplaced++
		}
	}
}

func (j *job) stepsDone(steps []int) bool {
	return !slices.ContainsFunc(steps, func(s int) bool { return j.stepRemaining[s] > 0 })
}

// enqueue adds a job with unplaced tasks to the waiting jobs.
func (c *Core) enqueue(j *job) {
	defer c.recount(j)
	if j.queued || j.unplaced == 0 {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, i, j)
	c.addStarted(j)
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
	c.recount(j)
	c.removeStarted(j)
	if i, ok := slices.BinarySearchFunc(c.waiting, j, compareJobs); ok && c.waiting[i] == j {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(x *job) bool { return x == j })
}

// recordTaskDone records the success of a task, and completes the job with its last task.
func (c *Core) recordTaskDone(t *task) {
	j := t.job
	t.state = done
	j.remaining--
	j.stepRemaining[t.step]--
	if j.remaining == 0 {
		c.answerJob(j, Completed, "", 0)
		return
	}
	if j.stepRemaining[t.step] == 0 {
		c.unblock(j)
		c.enqueue(j)
	}
}

// requeue makes a task wait for placement again.
func (c *Core) requeue(t *task) {
	t.state = unplaced
	t.agent = nil
	t.job.unplaced++
	c.enqueue(t.job)
	c.placementNeeded = true
}

func (c *Core) handleCallerGone(e CallerGone) {
	if j, ok := c.jobs[e.Call]; ok {
		c.giveUp(j, cmp.Or(e.Cause, reasonCallerGone))
	}
}

// openJobs returns the open jobs in the order of their calls.
func (c *Core) openJobs() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.call, b.call) })
	return list
}
