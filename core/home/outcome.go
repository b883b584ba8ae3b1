package home

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// settleTimeout is how long the home waits, after a job has failed, for the
// executors to report which of its tasks have started.
const settleTimeout = 250 * time.Millisecond

// Result handles the result of a task, as its executor reports it.
func (c *Core) Result(now clock.Now, from node.Ref, m *message.Result, out *Output) {
	c.beginCall(now, out)
	t := c.outstanding(from, m.Seq)
	if t == nil {
		return
	}
	r := t.record
	t.link.settle(t.seq)
	c.observeOutcome(t, from.ID, m.State)
	switch m.State {
	case job.Done:
		c.budget.Success()
		t.body = m.Body
		r.resultBytes += len(m.Body)
		c.setFinalState(t, taskDone)
		if r.resultBytes > job.MaxAnswerBytes {
			c.failJob(r, errkind.UpstreamFailed, "the results of the job together exceed the limit of an answer")
		}
	case job.Failed:
		c.setFinalState(t, taskFailed)
		c.failJob(r, errkind.UpstreamFailed, m.Detail)
	default:
		c.setFinalState(t, taskUnknown)
		c.failJob(r, errkind.OutcomeUnknown, m.Detail)
	}
	c.finalizeIfSettled(r)
	c.place()
}

// Refused handles a refusal: the task has not started at the sender and never will.
func (c *Core) Refused(now clock.Now, from node.Ref, m *message.Refused, out *Output) {
	c.beginCall(now, out)
	t := c.outstanding(from, m.Seq)
	if t == nil {
		return
	}
	c.stats.Refused++
	t.link.settle(t.seq)
	r := t.record
	if m.Reason == message.RefusedBusy && r.job != nil {
		t.link.closeForClass(r.job.Class, now.Mono+c.backoff.AddJitter(t.link.nextClosedTime(m.RetryAfter)))
	}
	t.link = nil
	if r.settling {
		c.setFinalState(t, taskNotRun)
		c.finalizeIfSettled(r)
		return
	}
	c.requeue(t, from, m)
	c.place()
}

// requeue puts a refused task back on the wait list, for another executor. It fails
// the job instead if the executor refused the task because of its deadline.
func (c *Core) requeue(t *task, from node.Ref, m *message.Refused) {
	r := t.record
	t.state = taskWaiting
	t.retryAfter = m.RetryAfter
	t.refusedTooOften = !t.excluded.Add(from)
	r.firstWaiting = min(r.firstWaiting, t.index)
	c.waiting.addWaiting(r, 1)
	c.waiting.enqueue(r)
	if m.Reason == message.RefusedDeadline {
		c.failJob(r, errkind.NotRun, "the deadline is too near for a task to run")
		return
	}
	c.shedAfterRefusal(r)
}

// Started handles the report that a task has started, or (Queued) that it waits
// for a slot at its executor.
func (c *Core) Started(now clock.Now, from node.Ref, m *message.Started, out *Output) {
	c.beginCall(now, out)
	t := c.outstanding(from, m.Seq)
	if t == nil || m.Queued {
		return
	}
	t.state = taskStarted
	c.finalizeIfSettled(t.record)
}

// ExecutorDead handles the proof that an executor incarnation has ended. The tasks
// that it had not answered may have started, so their state is unknown.
func (c *Core) ExecutorDead(now clock.Now, ref node.Ref, out *Output) {
	c.beginCall(now, out)
	l, ok := c.links[ref]
	if !ok || l.dead {
		return
	}
	l.dead = true
	c.linksVersion++
	for _, seq := range slices.Sorted(maps.Keys(l.outstanding)) {
		t, open := l.outstanding[seq]
		if !open {
			continue
		}
		l.settle(seq)
		c.setFinalState(t, taskUnknown)
		c.failJob(t.record, errkind.OutcomeUnknown, "the agent that had the task has ended")
		c.finalizeIfSettled(t.record)
	}
	c.place()
}

// outstanding returns the task with this sequence number at the executor from, or
// nil if it is settled.
func (c *Core) outstanding(from node.Ref, seq uint64) *task {
	l, ok := c.links[from]
	if !ok {
		return nil
	}
	return l.outstanding[seq]
}

// setFinalState sets the final state of a task, which then counts as resolved.
func (c *Core) setFinalState(t *task, s taskState) {
	t.state = s
	t.record.unresolved--
}

// failJob makes the job of r fail: the home sends no more of its tasks, and asks
// the executors to abort the tasks that were sent and have not started.
func (c *Core) failJob(r *record, kind errkind.Kind, detail string) {
	if r.final != nil || r.settling {
		return
	}
	r.settling = true
	r.failure = kind
	r.failureDetail = detail
	for i := range r.tasks {
		t := &r.tasks[i]
		switch t.state {
		case taskWaiting:
			c.waiting.addWaiting(r, -1)
			c.setFinalState(t, taskNotRun)
		case taskSent:
			c.reply(t.link.ref, message.Message{Abort: &message.Abort{Seq: t.seq, Floor: t.link.floor}})
		}
	}
	c.timers.Add(c.now.Mono+settleTimeout, timer{kind: timerSettle, id: r.id, attempt: r.attempt})
	c.finalizeIfSettled(r)
}

// finalizeRefused makes the record of a refused job final. No task of it was sent.
func (c *Core) finalizeRefused(r *record) {
	for i := range r.tasks {
		c.setFinalState(&r.tasks[i], taskNotRun)
	}
	r.settling = true
	c.finalize(r)
}

// finalizeIfSettled makes the record final once every task has its final state or,
// for a failed job, has started.
func (c *Core) finalizeIfSettled(r *record) {
	if r.final != nil {
		return
	}
	if r.unresolved == 0 {
		c.finalize(r)
		return
	}
	if !r.settling {
		return
	}
	for i := range r.tasks {
		if r.tasks[i].state == taskSent {
			return
		}
	}
	c.finalize(r)
}

// finalize sets and sends the final answer. A task that was sent gets the state
// unknown in it if its executor has not reported on the task.
func (c *Core) finalize(r *record) {
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskSent || t.state == taskStarted {
			t.link.settle(t.seq)
		}
		if t.state == taskSent {
			t.state = taskUnknown
		}
	}
	if r.settling {
		r.final = c.failedAnswer(r)
		c.stats.Failed++
	} else {
		r.final = c.completeAnswer(r)
		c.stats.Completed++
	}
	for _, s := range r.subscribers {
		c.reply(s.entry, message.Message{Answer: &message.Answer{Request: s.request, Answer: *r.final}})
	}
	r.subscribers = nil
	r.tasks = nil
	r.groups = nil
	r.job = nil
	r.trace = ""
	c.records.addFinal(r)
}

// completeAnswer returns the answer with the results of all tasks.
func (c *Core) completeAnswer(r *record) *job.Answer {
	a := &job.Answer{ID: r.id, Attempt: r.attempt, Results: make([][]byte, len(r.tasks))}
	for i := range r.tasks {
		t := &r.tasks[i]
		c.cfg.Invariants.Check(t.state == taskDone, invariant.PartialAnswer,
			"job %s is answered as complete with task %d in state %d", r.id, i, t.state)
		a.Results[i] = t.body
	}
	return a
}

// failedAnswer returns the answer of a failed job, with the state of every task.
func (c *Core) failedAnswer(r *record) *job.Answer {
	a := &job.Answer{ID: r.id, Attempt: r.attempt, Kind: r.failure, Detail: r.failureDetail, RetryAfter: r.retryAfter}
	nothingStarted := !slices.ContainsFunc(r.tasks, func(t task) bool { return answerState(t.state) != job.NotRun })
	if nothingStarted {
		a.States = job.EqualStates(job.NotRun, len(r.tasks))
	} else {
		a.States = make([]job.TaskState, len(r.tasks))
		for i := range r.tasks {
			a.States[i] = answerState(r.tasks[i].state)
		}
	}
	a.Kind = truthfulKind(a.Kind, nothingStarted)
	row, _ := errkind.Lookup(a.Kind)
	c.cfg.Invariants.Check(nothingStarted || !row.NothingStarted, invariant.UntrueNotRun,
		"job %s is answered with %s although a task may have started", r.id, a.Kind)
	return a
}

// truthfulKind returns k, or another error kind if k contradicts whether some task
// may have started.
func truthfulKind(k errkind.Kind, nothingStarted bool) errkind.Kind {
	row, _ := errkind.Lookup(k)
	switch {
	case nothingStarted && k == errkind.DeadlinePassed:
		return errkind.NotRun
	case !nothingStarted && row.NothingStarted:
		return errkind.Incomplete
	default:
		return k
	}
}

func answerState(s taskState) job.TaskState {
	switch s {
	case taskDone:
		return job.Done
	case taskFailed:
		return job.Failed
	case taskStarted:
		return job.Running
	case taskUnknown:
		return job.Unknown
	default:
		return job.NotRun
	}
}
