package executor

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/estimate"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/queue"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/retry"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/slots"
)

// Gate decides whether a task may start now on an upstream.
type Gate interface {
	// Permit returns an empty reason if the task may start on u. In that case,
	// notAfter is the monotonic time until which the permission holds.
	Permit(now clock.Now, s *message.Start, u Target) (reason message.RefuseReason, notAfter time.Duration)
}

// OtherExecutors tells whether other executors have free capacity.
type OtherExecutors interface {
	// HaveFreeSlot reports whether, by the last load reports, another executor
	// that may run the task has a free slot.
	HaveFreeSlot(now clock.Now, s *message.Start) bool
}

// Target identifies an upstream to the gate.
type Target struct {
	Upstream string
	Labels   label.Set
}

// Config holds the limits and the collaborators of an executor.
type Config struct {
	// QueueLimit is the number of accepted tasks that may wait for a slot.
	QueueLimit int
	// ReservedSlots is the number of slots that only urgent tasks may take.
	ReservedSlots int
	// ResultRetention is how long the executor keeps outcomes for a home after the
	// last message from it.
	ResultRetention time.Duration
	// ClockBound is the largest difference between the wall clocks of two
	// processes.
	ClockBound time.Duration
	// Self is the agent's ID, by which Faults knows the local worker.
	Self node.ID
	// Faults is the fault detector of the process.
	Faults         *quarantine.Detector
	OtherExecutors OtherExecutors
	Gate           Gate
	Invariants     *invariant.Recorder
}

// Command asks the caller of Core to start a task on an upstream.
type Command struct {
	// Handle identifies the command in the later call of TaskCompleted.
	Handle   uint64
	Upstream string
	Start    *message.Start
	// Timeout is the time that remains until the task's deadline.
	Timeout time.Duration
	// NotAfter is the monotonic time after which the task must not be started.
	NotAfter time.Duration
}

// Reply is a message to a home.
type Reply struct {
	To      node.Ref
	Message message.Message
}

// Output collects the commands and messages that calls to Core produce. The caller
// empties it.
type Output struct {
	Commands []Command
	Replies  []Reply
}

// Core is the state machine of an executor.
type Core struct {
	cfg            Config
	homes          map[node.Ref]*window
	upstreams      upstreams
	queue          *queue.Queue[*task]
	running        map[uint64]*task
	lastHandle     uint64
	serviceTime    estimate.Estimator
	urgentActivity slots.UrgentActivity
	// urgentRunning is the number of running urgent tasks.
	urgentRunning     int
	urgentConcurrency slots.Concurrency
	admission         *admission.Controller
	// redirectBudget limits the refusals of urgent tasks for which another executor
	// has a free slot.
	redirectBudget *retry.Budget
	draining       bool
	out            *Output
}

// New returns an executor without upstreams.
func New(cfg Config) *Core {
	return &Core{
		cfg:            cfg,
		homes:          make(map[node.Ref]*window),
		queue:          queue.New[*task](cfg.QueueLimit),
		running:        make(map[uint64]*task),
		admission:      admission.New(),
		redirectBudget: retry.NewBudget(),
	}
}

// Start handles a request to start a task.
func (c *Core) Start(now clock.Now, from node.Ref, s *message.Start, out *Output) {
	c.out = out
	w := c.window(from)
	w.lastMessageAt = now.Mono
	if w.dead {
		return
	}
	c.raiseFloor(w, s.Floor)
	if s.Seq < w.floor {
		return
	}
	if t, ok := w.tasks[s.Seq]; ok {
		c.resendReply(t)
		return
	}
	if s.Seq < w.resultsDroppedBelow {
		c.reply(from, unknownResult(s, "the result is no longer held"))
		return
	}
	s.Timeout = now.Remaining(s.Timeout, s.SentAt, c.cfg.ClockBound)
	t := &task{home: w, start: s, deadline: now.Mono + s.Timeout}
	w.tasks[s.Seq] = t
	c.admit(now, t)
}

// Abort handles a request not to start a task.
func (c *Core) Abort(now clock.Now, from node.Ref, a *message.Abort, out *Output) {
	c.out = out
	w := c.window(from)
	w.lastMessageAt = now.Mono
	if w.dead {
		return
	}
	c.raiseFloor(w, a.Floor)
	if a.Seq < w.floor {
		return
	}
	t, ok := w.tasks[a.Seq]
	if !ok {
		c.abortUnknown(w, a)
		return
	}
	if t.state != queued {
		c.resendReply(t)
		return
	}
	c.queue.Remove(t.queueHandle)
	c.refuse(t, message.RefusedAborted, 0)
}

// abortUnknown handles an abort of a task that is not in the window. Either the
// outcome was dropped, or the Start may arrive later and must then be refused.
func (c *Core) abortUnknown(w *window, a *message.Abort) {
	s := &message.Start{Seq: a.Seq}
	if a.Seq < w.resultsDroppedBelow {
		c.reply(w.ref, unknownResult(s, "the result is no longer held"))
		return
	}
	t := &task{home: w, start: s}
	w.tasks[a.Seq] = t
	c.refuse(t, message.RefusedAborted, 0)
}

// TaskCompleted handles the completion of the task that the Command with this
// handle started. State job.NotRun means that the upstream provably did not receive
// the task.
func (c *Core) TaskCompleted(now clock.Now, handle uint64, state job.TaskState, body []byte, detail string, out *Output) {
	c.out = out
	t, ok := c.running[handle]
	if !ok {
		return
	}
	delete(c.running, handle)
	t.upstream.busy--
	if t.start.Class == job.Urgent {
		c.urgentRunning--
	}
	if state == job.NotRun {
		c.refuse(t, message.RefusedWithdrawn, 0)
	} else {
		c.complete(now, t, state, body, detail)
		c.observeOutcome(now, t, state)
	}
	c.observeUrgent(now)
	c.dispatch(now)
}

// complete stores the result of a task and sends it to the home.
func (c *Core) complete(now clock.Now, t *task, state job.TaskState, body []byte, detail string) {
	if state == job.Done {
		c.serviceTime.Observe(now.Mono - t.startedAt)
	}
	t.state = completed
	t.result = &message.Result{
		Seq: t.start.Seq, ID: t.start.ID, Attempt: t.start.Attempt, Index: t.start.Index,
		State: state, Body: body, Detail: detail,
	}
	if t.detached {
		return
	}
	t.dropTaskData()
	c.reply(t.home.ref, message.Message{Result: t.result})
}

// HomeDead handles the proof that the home incarnation ref has ended. Its tasks
// that wait for a slot never start, since no process would receive their results.
func (c *Core) HomeDead(now clock.Now, ref node.Ref, out *Output) {
	c.out = out
	w := c.window(ref)
	w.lastMessageAt = now.Mono
	if w.dead {
		return
	}
	w.dead = true
	for _, t := range w.tasks {
		if t.state == queued {
			c.queue.Remove(t.queueHandle)
		}
		t.detached = true
	}
	clear(w.tasks)
	c.dispatch(now)
}

// Drain makes the executor refuse all new tasks and all tasks that wait for a slot.
func (c *Core) Drain(now clock.Now, out *Output) {
	c.out = out
	c.draining = true
	for _, t := range c.queue.RemoveFunc(func(*task) bool { return true }) {
		c.refuse(t, message.RefusedDraining, 0)
	}
}

// NextDeadline returns the earliest deadline of the tasks that wait for a slot. It
// reports false if none waits.
func (c *Core) NextDeadline() (time.Duration, bool) { return c.queue.NextDeadline() }

// Idle reports whether no task is running or waiting.
func (c *Core) Idle() bool { return len(c.running) == 0 && c.queue.Len() == 0 }

// Load returns the executor's load report at now.
func (c *Core) Load(now clock.Now) message.Load {
	return message.Load{
		Slots:           c.upstreams.slots(),
		Busy:            len(c.running),
		Queued:          c.queue.Len(),
		QueuedUrgent:    c.queue.LenClass(job.Urgent),
		MeanServiceTime: c.serviceTime.Mean().Round(time.Millisecond),
		Overloaded:      c.admission.OverTarget(now.Mono, job.Urgent),
		Draining:        c.draining,
	}
}

// Tick refuses waiting tasks whose deadline has passed, withdraws upstreams whose
// announcement has expired, and drops outcomes of homes without recent messages.
func (c *Core) Tick(now clock.Now, out *Output) {
	c.out = out
	c.upstreams.withdrawExpired(now.Mono)
	for _, t := range c.queue.Expire(now.Mono) {
		c.refuse(t, message.RefusedDeadline, 0)
	}
	c.dropIdleResults(now.Mono)
	c.dispatch(now)
}

// Recheck asks the gate again about every waiting task, after a change of
// configuration. It refuses the tasks that may no longer start, and starts the
// others as slots are free.
func (c *Core) Recheck(now clock.Now, out *Output) {
	c.out = out
	refused := c.queue.RemoveFunc(func(t *task) bool {
		_, reason := c.chooseUpstream(now, t)
		return isPermanent(reason)
	})
	for _, t := range refused {
		_, reason := c.chooseUpstream(now, t)
		c.refuse(t, reason, 0)
	}
	c.dispatch(now)
}

func (c *Core) reply(to node.Ref, m message.Message) {
	c.out.Replies = append(c.out.Replies, Reply{To: to, Message: m})
}

// refuse refuses a task permanently and sends the refusal to its home.
func (c *Core) refuse(t *task, reason message.RefuseReason, retryAfter time.Duration) {
	t.state = refused
	t.refusal = &message.Refused{
		Seq: t.start.Seq, ID: t.start.ID, Attempt: t.start.Attempt, Index: t.start.Index,
		Reason: reason, RetryAfter: retryAfter,
	}
	if t.detached {
		return
	}
	t.dropTaskData()
	c.reply(t.home.ref, message.Message{Refused: t.refusal})
}

// resendReply answers a retransmission from the stored state of the task.
func (c *Core) resendReply(t *task) {
	seq := t.start.Seq
	switch t.state {
	case queued:
		c.reply(t.home.ref, message.Message{Started: &message.Started{Seq: seq, Queued: true}})
	case running:
		c.reply(t.home.ref, message.Message{Started: &message.Started{Seq: seq}})
	case completed:
		c.reply(t.home.ref, message.Message{Result: t.result})
	case refused:
		c.reply(t.home.ref, message.Message{Refused: t.refusal})
	}
}

// unknownResult returns a Result that states that s may have started.
func unknownResult(s *message.Start, detail string) message.Message {
	return message.Message{Result: &message.Result{
		Seq: s.Seq, ID: s.ID, Attempt: s.Attempt, Index: s.Index, State: job.Unknown, Detail: detail,
	}}
}
