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
	// Permit returns the empty reason when the task may start on u. NotAfter
	// is the monotonic time until which that permission holds.
	Permit(now clock.Now, s *message.Start, u Place) (reason message.RefuseReason, notAfter time.Duration)
}

// Elsewhere knows the load of the other executors.
type Elsewhere interface {
	// FreeElsewhere reports whether another executor that may run the task is
	// known to have a free slot.
	FreeElsewhere(now clock.Now, s *message.Start) bool
}

// Place is an upstream as the gate sees it.
type Place struct {
	Upstream string
	Labels   label.Set
}

// Config sets the bounds of an executor.
type Config struct {
	// QueueLimit is the number of accepted tasks that may wait for a slot.
	QueueLimit int
	// ReservedSlots is the number of slots that only urgent tasks may take.
	ReservedSlots int
	// RetainIdle is how long results of a silent home are kept.
	RetainIdle time.Duration
	// ClockBound is the largest difference between two wall clocks.
	ClockBound time.Duration
	// Self names the worker beside the executor to Faults.
	Self node.ID
	// Faults is the fault detector of the process.
	Faults *quarantine.Detector
	// Elsewhere knows the other executors.
	Elsewhere  Elsewhere
	Gate       Gate
	Invariants *invariant.Recorder
}

// Command asks the shell to start a task on an upstream.
type Command struct {
	Handle   uint64
	Upstream string
	Start    *message.Start
	// Timeout is what is left of the task's timeout.
	Timeout time.Duration
	// NotAfter is the monotonic time after which the shell must not start it.
	NotAfter time.Duration
}

// Reply is a message to a home.
type Reply struct {
	To      node.Ref
	Message message.Message
}

// Output collects what a call produced. The caller empties it.
type Output struct {
	Commands []Command
	Replies  []Reply
}

// Core is the executor's state.
type Core struct {
	cfg        Config
	homes      map[node.Ref]*window
	upstreams  upstreams
	queue      *queue.Queue[*entry]
	running    map[uint64]*entry
	lastHandle uint64
	service    estimate.Estimator
	demand     slots.UrgentActivity
	// urgentRunning counts the running urgent tasks.
	urgentRunning int
	urgent        slots.Concurrency
	admission     *admission.Controller
	// redirects bounds the refusals of urgent tasks that others have room for.
	redirects *retry.Budget
	draining  bool
	out       *Output
}

// New returns an executor without upstreams.
func New(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		homes:     make(map[node.Ref]*window),
		queue:     queue.New[*entry](cfg.QueueLimit),
		running:   make(map[uint64]*entry),
		admission: admission.New(),
		redirects: retry.NewBudget(),
	}
}

// Start handles a request to start a task.
func (c *Core) Start(now clock.Now, from node.Ref, s *message.Start, out *Output) {
	c.out = out
	w := c.window(from)
	w.lastHeard = now.Mono
	if w.dead {
		return
	}
	c.raiseFloor(w, s.Floor)
	if s.Seq < w.floor {
		return
	}
	if e, ok := w.entries[s.Seq]; ok {
		c.repeat(e)
		return
	}
	if s.Seq < w.forgotten {
		c.reply(from, unknownResult(s, "the result is no longer held"))
		return
	}
	s.Timeout = now.Remaining(s.Timeout, s.SentAt, c.cfg.ClockBound)
	e := &entry{home: w, start: s, deadline: now.Mono + s.Timeout}
	w.entries[s.Seq] = e
	c.admit(now, e)
}

// Abort handles a request not to start a task.
func (c *Core) Abort(now clock.Now, from node.Ref, a *message.Abort, out *Output) {
	c.out = out
	w := c.window(from)
	w.lastHeard = now.Mono
	if w.dead {
		return
	}
	c.raiseFloor(w, a.Floor)
	if a.Seq < w.floor {
		return
	}
	e, ok := w.entries[a.Seq]
	if !ok {
		c.abortUnseen(w, a)
		return
	}
	if e.state != queued {
		c.repeat(e)
		return
	}
	c.queue.Remove(e.waits)
	c.refuse(e, message.RefusedAborted, 0)
}

func (c *Core) abortUnseen(w *window, a *message.Abort) {
	s := &message.Start{Seq: a.Seq}
	if a.Seq < w.forgotten {
		c.reply(w.ref, unknownResult(s, "the result is no longer held"))
		return
	}
	e := &entry{home: w, start: s}
	w.entries[a.Seq] = e
	c.refuse(e, message.RefusedAborted, 0)
}

// TaskEnded handles the end of the task that the Command with this handle
// started. State job.NotRun means that the upstream provably did not get it.
func (c *Core) TaskEnded(now clock.Now, handle uint64, state job.TaskState, body []byte, detail string, out *Output) {
	c.out = out
	e, ok := c.running[handle]
	if !ok {
		return
	}
	delete(c.running, handle)
	e.upstream.busy--
	if e.start.Class == job.Urgent {
		c.urgentRunning--
	}
	if state == job.NotRun {
		c.refuse(e, message.RefusedWithdrawn, 0)
	} else {
		c.end(now, e, state, body, detail)
		c.observeOutcome(now, e, state)
	}
	c.observeUrgent(now)
	c.dispatch(now)
}

func (c *Core) end(now clock.Now, e *entry, state job.TaskState, body []byte, detail string) {
	if state == job.Done {
		c.service.Observe(now.Mono - e.startedAt)
	}
	e.state = ended
	e.result = &message.Result{
		Seq: e.start.Seq, ID: e.start.ID, Attempt: e.start.Attempt, Index: e.start.Index,
		State: state, Body: body, Detail: detail,
	}
	if e.detached {
		return
	}
	e.release()
	c.reply(e.home.ref, message.Message{Result: e.result})
}

// HomeDead handles proof that the run ref has ended. Its tasks that wait for a
// slot never start; nobody would receive their results.
func (c *Core) HomeDead(now clock.Now, ref node.Ref, out *Output) {
	c.out = out
	w := c.window(ref)
	w.lastHeard = now.Mono
	if w.dead {
		return
	}
	w.dead = true
	for _, e := range w.entries {
		if e.state == queued {
			c.queue.Remove(e.waits)
		}
		e.detached = true
	}
	clear(w.entries)
	c.dispatch(now)
}

// Drain makes the executor refuse new work and everything that waits.
func (c *Core) Drain(now clock.Now, out *Output) {
	c.out = out
	c.draining = true
	for _, e := range c.queue.RemoveFunc(func(*entry) bool { return true }) {
		c.refuse(e, message.RefusedDraining, 0)
	}
}

// NextDeadline returns the earliest deadline of a task that waits.
func (c *Core) NextDeadline() (time.Duration, bool) { return c.queue.NextDeadline() }

// Idle reports whether no task is running or waiting.
func (c *Core) Idle() bool { return len(c.running) == 0 && c.queue.Len() == 0 }

// Load returns the executor's report of itself at now.
func (c *Core) Load(now clock.Now) message.Load {
	return message.Load{
		Slots:           c.upstreams.slots(),
		Busy:            len(c.running),
		Queued:          c.queue.Len(),
		QueuedUrgent:    c.queue.LenClass(job.Urgent),
		MeanServiceTime: c.service.Mean().Round(time.Millisecond),
		Overloaded:      c.admission.OverTarget(now.Mono, job.Urgent),
		Draining:        c.draining,
	}
}

// Tick expires what waits past its deadline, announcements that were not
// renewed, and results of silent homes.
func (c *Core) Tick(now clock.Now, out *Output) {
	c.out = out
	c.upstreams.lapse(now.Mono)
	for _, e := range c.queue.Expire(now.Mono) {
		c.refuse(e, message.RefusedDeadline, 0)
	}
	c.forgetIdle(now.Mono)
	c.dispatch(now)
}

// Recheck refuses what waits and may no longer start, after a change of
// configuration, and starts what may.
func (c *Core) Recheck(now clock.Now, out *Output) {
	c.out = out
	refused := c.queue.RemoveFunc(func(e *entry) bool {
		_, reason := c.choose(now, e)
		return isPermanent(reason)
	})
	for _, e := range refused {
		_, reason := c.choose(now, e)
		c.refuse(e, reason, 0)
	}
	c.dispatch(now)
}

func (c *Core) reply(to node.Ref, m message.Message) {
	c.out.Replies = append(c.out.Replies, Reply{To: to, Message: m})
}

func (c *Core) refuse(e *entry, reason message.RefuseReason, retryAfter time.Duration) {
	e.state = refused
	e.refusal = &message.Refused{
		Seq: e.start.Seq, ID: e.start.ID, Attempt: e.start.Attempt, Index: e.start.Index,
		Reason: reason, RetryAfter: retryAfter,
	}
	if e.detached {
		return
	}
	e.release()
	c.reply(e.home.ref, message.Message{Refused: e.refusal})
}

// repeat answers a retransmission from what is held.
func (c *Core) repeat(e *entry) {
	seq := e.start.Seq
	switch e.state {
	case queued:
		c.reply(e.home.ref, message.Message{Started: &message.Started{Seq: seq, Queued: true}})
	case running:
		c.reply(e.home.ref, message.Message{Started: &message.Started{Seq: seq}})
	case ended:
		c.reply(e.home.ref, message.Message{Result: e.result})
	case refused:
		c.reply(e.home.ref, message.Message{Refused: e.refusal})
	}
}

func unknownResult(s *message.Start, detail string) message.Message {
	return message.Message{Result: &message.Result{
		Seq: s.Seq, ID: s.ID, Attempt: s.Attempt, Index: s.Index, State: job.Unknown, Detail: detail,
	}}
}
