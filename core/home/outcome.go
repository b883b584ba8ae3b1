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

// settleWait is how long a failed job waits for its executors to say which of
// its tasks have started.
const settleWait = 250 * time.Millisecond

// Result handles the end of a task.
func (c *Core) Result(now clock.Now, from node.Ref, m *message.Result, out *Output) {
	c.begin(now, out)
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
		r.bytes += len(m.Body)
		c.resolve(t, taskDone)
		if r.bytes > job.MaxAnswerBytes {
			c.fail(r, errkind.UpstreamFailed, "the results of the job together exceed the limit of an answer")
		}
	case job.Failed:
		c.resolve(t, taskFailed)
		c.fail(r, errkind.UpstreamFailed, m.Detail)
	default:
		c.resolve(t, taskUnknown)
		c.fail(r, errkind.OutcomeUnknown, m.Detail)
	}
	c.finishIfSettled(r)
	c.place()
}

// Refused handles a refusal: the task has not started there and never will.
func (c *Core) Refused(now clock.Now, from node.Ref, m *message.Refused, out *Output) {
	c.begin(now, out)
	t := c.outstanding(from, m.Seq)
	if t == nil {
		return
	}
	c.stats.Refused++
	t.link.settle(t.seq)
	r := t.record
	if m.Reason == message.RefusedBusy && r.job != nil {
		t.link.close(r.job.Class, now.Mono+c.backoff.AddJitter(t.link.closure(m.RetryAfter)))
	}
	t.link = nil
	if r.settling {
		c.resolve(t, taskNotRun)
		c.finishIfSettled(r)
		return
	}
	c.requeue(t, from, m)
	c.place()
}

// requeue makes a refused task wait for another executor.
func (c *Core) requeue(t *task, from node.Ref, m *message.Refused) {
	r := t.record
	t.state = taskWaiting
	t.retryAfter = m.RetryAfter
	t.exhausted = !t.excluded.Add(from)
	r.next = min(r.next, t.index)
	c.waiting.count(r, 1)
	c.waiting.enter(r)
	if m.Reason == message.RefusedDeadline {
		c.fail(r, errkind.NotRun, "the deadline is too near for a task to run")
		return
	}
	c.shedRefused(r)
}

// Started handles word that a task has started, or waits at its executor.
func (c *Core) Started(now clock.Now, from node.Ref, m *message.Started, out *Output) {
	c.begin(now, out)
	t := c.outstanding(from, m.Seq)
	if t == nil || m.Queued {
		return
	}
	t.state = taskStarted
	c.finishIfSettled(t.record)
}

// ExecutorDead handles proof that an executor incarnation has ended. What it
// had not answered may have started.
func (c *Core) ExecutorDead(now clock.Now, ref node.Ref, out *Output) {
	c.begin(now, out)
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
		c.resolve(t, taskUnknown)
		c.fail(t.record, errkind.OutcomeUnknown, "the agent that had the task has ended")
		c.finishIfSettled(t.record)
	}
	c.place()
}

func (c *Core) outstanding(from node.Ref, seq uint64) *task {
	l, ok := c.links[from]
	if !ok {
		return nil
	}
	return l.outstanding[seq]
}

// resolve records the final state of a task.
func (c *Core) resolve(t *task, s taskState) {
	t.state = s
	t.record.left--
}

// fail makes the job of r fail: nothing more of it starts, and the executors
// are asked what has.
func (c *Core) fail(r *record, kind errkind.Kind, detail string) {
	if r.final != nil || r.settling {
		return
	}
	r.settling = true
	r.failing = kind
	r.detail = detail
	for i := range r.tasks {
		t := &r.tasks[i]
		switch t.state {
		case taskWaiting:
			c.waiting.count(r, -1)
			c.resolve(t, taskNotRun)
		case taskSent:
			c.reply(t.link.ref, message.Message{Abort: &message.Abort{Seq: t.seq, Floor: t.link.floor}})
		}
	}
	c.timers.Add(c.now.Mono+settleWait, timer{kind: timerSettle, id: r.id, attempt: r.attempt})
	c.finishIfSettled(r)
}

// finishRefused ends a record of which nothing was ever sent.
func (c *Core) finishRefused(r *record) {
	for i := range r.tasks {
		c.resolve(&r.tasks[i], taskNotRun)
	}
	r.settling = true
	c.finish(r)
}

// finishIfSettled gives the final answer once the state of every task is known.
func (c *Core) finishIfSettled(r *record) {
	if r.final != nil {
		return
	}
	if r.left == 0 {
		c.finish(r)
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
	c.finish(r)
}

// finish gives the final answer. Tasks without word count as unknown.
func (c *Core) finish(r *record) {
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
	c.records.finish(r)
}

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

func (c *Core) failedAnswer(r *record) *job.Answer {
	a := &job.Answer{
		ID: r.id, Attempt: r.attempt, Kind: r.failing, Detail: r.detail,
		States: make([]job.TaskState, len(r.tasks)), RetryAfter: r.retryAfter,
	}
	nothing := true
	for i := range r.tasks {
		a.States[i] = answerState(r.tasks[i].state)
		nothing = nothing && a.States[i] == job.NotRun
	}
	a.Kind = truthfulKind(a.Kind, nothing)
	row, _ := errkind.Lookup(a.Kind)
	c.cfg.Invariants.Check(nothing || !row.NothingStarted, invariant.UntrueNotRun,
		"job %s is answered with %s although a task may have started", r.id, a.Kind)
	return a
}

// truthfulKind adapts a kind to whether nothing has started.
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
