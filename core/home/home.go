package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/quarantine"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/retry"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/runnable"
	"github.com/dogwoodgauge/dogwoodgauge/core/timerqueue"
)

// Ownership says whether this process may create the record of a job.
type Ownership interface {
	// Admit decides about a job whose ID was not minted by the system.
	Admit(now clock.Now, id job.ID, created int64) Admission
}

// Admission is the decision of Ownership.
type Admission struct {
	// Granted is true when the record may be created.
	Granted bool
	// Home is the home of the ID when it is another process.
	Home node.Ref
	// Former is true when a former home may hold the job.
	Former bool
	// Later is true when the decision may be another soon.
	Later bool
	// Detail says why it is not granted.
	Detail string
}

// Eligibility says which executors may run a task.
type Eligibility interface {
	// Version changes whenever an earlier answer may no longer hold.
	Version() uint64
	// Eligible reports whether some upstream of ref may run a task of this
	// job with these labels.
	Eligible(ref node.Ref, j *job.Job, t *job.Task) bool
	// LastEligible returns the monotonic time until which an upstream that has
	// left lately may have run such a task, and whether there was one.
	LastEligible(j *job.Job, t *job.Task) (at time.Duration, ok bool)
	// InService reports whether the configuration lets ref take any work.
	InService(ref node.Ref) bool
}

// Config sets the bounds of a home.
type Config struct {
	Self node.Ref
	// Window is how long after its creation a job may still be admitted, and
	// how long its record is kept.
	Window time.Duration
	// Faults is the fault detector of the process.
	Faults *quarantine.Detector
	// ClockBound is the largest difference between two wall clocks.
	ClockBound time.Duration
	// MaxRecords bounds the records held.
	MaxRecords int
	// MaxResultBytes bounds the results held for later requests.
	MaxResultBytes int
	// MaxWaiting bounds the tasks that wait for an executor.
	MaxWaiting int
	Picker     placement.Picker
	// Seed makes the delays of retries repeatable.
	Seed        uint64
	Ownership   Ownership
	Eligibility Eligibility
	Invariants  *invariant.Recorder
}

// Reply is a message to another process.
type Reply struct {
	To      node.Ref
	Message message.Message
}

// Output collects what a call produced. The caller empties it.
type Output struct{ Replies []Reply }

// Core is the home's state.
type Core struct {
	cfg     Config
	records store
	links   map[node.Ref]*link
	order   []*link
	waiting waitlist
	timers  timerqueue.Queue[timer]
	stats   Stats
	now     clock.Now
	out     *Output
	// linksVersion changes with the list of executors.
	linksVersion uint64
	// patience decides about tasks that no upstream matches. It has seen the
	// fleet at fleetVersion.
	patience     *runnable.WaitLimit
	fleetVersion uint64
	// serviceVersion is the version at which the links' inService was set.
	serviceVersion uint64
	faults         *quarantine.Detector
	budget         *retry.Budget
	backoff        *retry.Backoff
	// overload watches how long jobs wait for an executor.
	overload *admission.Controller
	// opensAt is the earliest time at which an executor that has refused takes
	// tasks again, as found by the placement under way; placeAt is when the next
	// placement for that reason is due.
	opensAt time.Duration
	placeAt time.Duration
	// Scratch space of one placement.
	cands     []placement.Candidate
	candLinks []*link
	full      []*group
	// fullLinks are the executors among which the last task of this class found
	// no room.
	fullLinks []*link
}

// Stats counts what the home has done.
type Stats struct {
	Records int
	Waiting int
	Placed  uint64
	Refused uint64
	// Shed counts the jobs that were refused for overload.
	Shed      uint64
	Completed uint64
	Failed    uint64
}

// New returns a home without records.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		records: newStore(cfg.Window, cfg.MaxRecords, cfg.MaxResultBytes),
		links:   make(map[node.Ref]*link),
		faults:  cfg.Faults,
		budget:  retry.NewBudget(),
		backoff: retry.NewBackoff(cfg.Seed),

		overload: admission.NewForJobs(),
	}
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Records = c.records.len()
	s.Waiting = c.waiting.len()
	return s
}

// Final returns the final answers that are held, ordered by job ID.
func (c *Core) Final() []job.Answer {
	var list []job.Answer
	for _, r := range c.records.final {
		list = append(list, *r.final)
	}
	slices.SortFunc(list, func(a, b job.Answer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Idle reports whether every record is final.
func (c *Core) Idle() bool { return c.records.open == 0 }

// Submit handles a submission from an entry.
func (c *Core) Submit(now clock.Now, from node.Ref, s *message.Submit, out *Output) {
	c.begin(now, out)
	sub := subscriber{entry: from, request: s.Request}
	j := &s.Job
	j.Timeout = now.Remaining(j.Timeout, s.SentAt, c.cfg.ClockBound)
	if r, ok := c.records.get(j.ID); ok {
		c.resubmit(r, j, sub, s)
		return
	}
	if !c.mayCreate(j, sub) {
		return
	}
	r := c.create(j, s.Trace)
	r.subscribe(sub)
	if s.Refuse != errkind.None {
		r.failing = s.Refuse
		r.retryAfter = s.RetryAfter
		c.finishRefused(r)
		return
	}
	c.open(r)
}

// open admits the tasks of a new attempt to the wait list and places them.
func (c *Core) open(r *record) {
	if r.job.Timeout <= 0 {
		r.failing = errkind.NotRun
		r.detail = "the submission arrived after its deadline"
		c.finishRefused(r)
		return
	}
	if c.waiting.len()+len(r.tasks) > c.cfg.MaxWaiting {
		r.failing = errkind.NotRun
		r.detail = "too many tasks are waiting"
		r.retryAfter = c.retryAfter()
		c.finishRefused(r)
		return
	}
	if d := c.admit(r); !d.OK {
		c.stats.Shed++
		r.failing = errkind.NotRun
		r.detail = overloadDetails[d.Reason]
		r.retryAfter = c.backoff.AddJitter(max(d.RetryAfter, c.pause(r, d.Reason)))
		c.finishRefused(r)
		return
	}
	r.openedAt = c.now.Mono
	c.timers.Add(r.deadline, timer{kind: timerDeadline, id: r.id, attempt: r.attempt})
	c.waiting.add(r)
	c.place()
}

// Fetch handles a request for the answer of a job.
func (c *Core) Fetch(now clock.Now, from node.Ref, f *message.Fetch, out *Output) {
	c.begin(now, out)
	r, ok := c.records.get(f.ID)
	if !ok {
		c.reply(from, message.Message{NoRecord: &message.NoRecord{Request: f.Request}})
		return
	}
	c.attach(r, f.Attempt, subscriber{entry: from, request: f.Request})
}

// Cancel handles a request to cancel a job.
func (c *Core) Cancel(now clock.Now, from node.Ref, x *message.Cancel, out *Output) {
	c.begin(now, out)
	sub := subscriber{entry: from, request: x.Request}
	r, ok := c.records.get(x.ID)
	if !ok {
		c.cancelUnseen(x, sub)
		return
	}
	if x.Attempt == r.attempt && r.final == nil {
		c.fail(r, errkind.Cancelled, "the caller cancelled the job")
	}
	c.attach(r, x.Attempt, sub)
}

// cancelUnseen records the cancellation of a job that has not arrived, so that
// a submission overtaken by its cancellation never starts.
func (c *Core) cancelUnseen(x *message.Cancel, sub subscriber) {
	m, minted := x.ID.Minted()
	if !minted || m.Home != c.cfg.Self || c.expired(m.Created) {
		c.reply(sub.entry, message.Message{NoRecord: &message.NoRecord{Request: sub.request}})
		return
	}
	r := c.create(&job.Job{ID: x.ID, Attempt: x.Attempt, Created: m.Created}, "")
	r.digest = 0
	r.subscribe(sub)
	r.failing = errkind.Cancelled
	r.detail = "the caller cancelled the job before it arrived"
	c.finishRefused(r)
}

// Tick handles everything that is due.
func (c *Core) Tick(now clock.Now, out *Output) {
	c.begin(now, out)
	for {
		t, ok := c.timers.Pop(now.Mono)
		if !ok {
			break
		}
		c.fire(t)
	}
	c.records.evict(now.Wall)
	c.place()
}

// Next returns the time at which Tick is due.
func (c *Core) Next() (time.Duration, bool) { return c.timers.Next() }

func (c *Core) begin(now clock.Now, out *Output) {
	c.now = now
	c.out = out
	c.followFleet()
}

func (c *Core) reply(to node.Ref, m message.Message) {
	c.out.Replies = append(c.out.Replies, Reply{To: to, Message: m})
}
