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

// Ownership tells whether this process may create the record of a job.
type Ownership interface {
	// Admit decides on a job whose ID was not minted by the system.
	Admit(now clock.Now, id job.ID, created int64) Admission
}

// Admission is the decision of Ownership.
type Admission struct {
	// Granted is true when the record may be created.
	Granted bool
	// Home is the home of the ID if that is another process, or else zero.
	Home node.Ref
	// FormerHome is true when a former home may hold the job's record.
	FormerHome bool
	// RetryLater is true when the job may be admitted soon.
	RetryLater bool
	// Detail explains why the record must not be created.
	Detail string
}

// Eligibility tells which executors may run a task.
type Eligibility interface {
	// Version changes whenever a result of the other methods may have changed.
	Version() uint64
	// Eligible reports whether ref has an upstream that may run task t of job j.
	Eligible(ref node.Ref, j *job.Job, t *job.Task) bool
	// LastEligible returns the monotonic time until which some upstream that has
	// since left was eligible for t. It reports false if none left recently.
	LastEligible(j *job.Job, t *job.Task) (at time.Duration, ok bool)
	// InService reports whether the configuration allows ref to run any task.
	InService(ref node.Ref) bool
}

// Config holds the limits and the collaborators of a home.
type Config struct {
	Self node.Ref
	// AdmissionWindow is how long after its creation a job may still be admitted.
	// The home keeps the record of the job for the same time.
	AdmissionWindow time.Duration
	// Faults is the fault detector of the process.
	Faults *quarantine.Detector
	// ClockBound is the largest difference between the wall clocks of two
	// processes.
	ClockBound time.Duration
	// MaxRecords is the largest number of job records. Above it, the oldest final
	// records are evicted.
	MaxRecords int
	// MaxResultBytes is the largest total size of the results kept for later
	// requests.
	MaxResultBytes int
	// MaxOpenBytes is the largest total size of the open jobs: of the payloads and the labels of
	// their tasks.
	MaxOpenBytes int
	// MaxWaiting is the largest number of tasks that wait for an executor.
	MaxWaiting int
	Picker     placement.Picker
	// Seed makes the random retry delays reproducible.
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

// Output collects the messages that calls to Core produce. The caller empties it.
type Output struct{ Replies []Reply }

// Core is the state machine of a home.
type Core struct {
	cfg     Config
	records store
	links   map[node.Ref]*link
	// order lists the links of the current executors, in the order in which
	// SetExecutors received them.
	order   []*link
	waiting waitlist
	timers  timerqueue.Queue[timer]
	stats   Stats
	now     clock.Now
	out     *Output
	// linksVersion changes with the list of executors.
	linksVersion uint64
	// noMatchWait decides how long a task that no upstream matches may wait.
	// fleetVersion is the eligibility version at its last RecordChange.
	noMatchWait  *runnable.WaitLimit
	fleetVersion uint64
	// inServiceVersion is the eligibility version at which inService was last
	// set on the links.
	inServiceVersion uint64
	faults           *quarantine.Detector
	budget           *retry.Budget
	backoff          *retry.Backoff
	// overload tracks how long jobs wait for an executor.
	overload *admission.Controller
	// reopensAt is the earliest link.closedUntil among the executors that the current
	// placement skipped because they had refused a task. nextPlaceAt is the time of
	// the placement scheduled for it.
	reopensAt   time.Duration
	nextPlaceAt time.Duration
	// The fields below are scratch space of one placement. cands and candLinks
	// have equal length: one element for each executor that may be sent the task.
	cands     []placement.Candidate
	candLinks []*link
	// fullGroups are the groups of the current record for which no executor has
	// free capacity.
	fullGroups []*group
	// fullLinks holds the executors of the last group, in the class being placed, for
	// which no executor had free capacity. Groups of other records with the same
	// executors are skipped.
	fullLinks []*link
}

// Stats holds the sizes and the counters of a home.
type Stats struct {
	// Records is the number of job records. Waiting is the number of tasks that
	// wait for an executor.
	Records int
	Waiting int
	// OpenBytes is the size of the payloads and the labels of open jobs.
	OpenBytes int
	// Placed counts the tasks sent to executors. Refused counts the refusals
	// received from them.
	Placed  uint64
	Refused uint64
	// Shed counts the jobs that the home refused because of overload.
	Shed uint64
	// Completed and Failed count the final answers with and without all results.
	Completed uint64
	Failed    uint64
}

// New returns a home without records.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		records: newStore(cfg.AdmissionWindow, cfg.MaxRecords, cfg.MaxResultBytes),
		links:   make(map[node.Ref]*link),
		faults:  cfg.Faults,
		budget:  retry.NewBudget(),
		backoff: retry.NewBackoff(cfg.Seed),

		overload: admission.NewForJobs(),
	}
}

// Stats returns the current sizes and counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Records = c.records.len()
	s.Waiting = c.waiting.len()
	s.OpenBytes = c.records.openBytes
	return s
}

// FinalAnswers returns the final answers of all records, ordered by job ID.
func (c *Core) FinalAnswers() []job.Answer {
	var list []job.Answer
	for _, r := range c.records.final {
		list = append(list, *r.final)
	}
	slices.SortFunc(list, func(a, b job.Answer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Idle reports whether every record has its final answer.
func (c *Core) Idle() bool { return c.records.openCount == 0 }

// Submit handles a submission from an entry.
func (c *Core) Submit(now clock.Now, from node.Ref, s *message.Submit, out *Output) {
	c.beginCall(now, out)
	sub := subscriber{entry: from, request: s.Request}
	j := &s.Job
	j.Timeout = now.Remaining(j.Timeout, s.SentAt, c.cfg.ClockBound)
	if r, ok := c.records.get(j.ID); ok {
		c.handleResubmission(r, j, sub, s)
		return
	}
	if !c.mayCreate(j, sub) {
		return
	}
	r := c.createRecord(j, s.Trace)
	r.subscribe(sub)
	if s.Refuse != errkind.None {
		r.failure = s.Refuse
		r.retryAfter = s.RetryAfter
		c.finalizeRefused(r)
		return
	}
	c.openAttempt(r)
}

// openAttempt adds the tasks of a new attempt to the wait list and places them,
// or refuses the attempt.
func (c *Core) openAttempt(r *record) {
	if r.job.Timeout <= 0 {
		r.failure = errkind.NotRun
		r.failureDetail = "the submission arrived after its deadline"
		c.finalizeRefused(r)
		return
	}
	if detail := c.exceeded(r); detail != "" {
		r.failure = errkind.NotRun
		r.failureDetail = detail
		r.retryAfter = c.retryAfter()
		c.finalizeRefused(r)
		return
	}
	if d := c.admit(r); !d.OK {
		c.stats.Shed++
		r.failure = errkind.NotRun
		r.failureDetail = overloadDetails[d.Reason]
		r.retryAfter = c.backoff.AddJitter(max(d.RetryAfter, c.retryPause(r, d.Reason)))
		c.finalizeRefused(r)
		return
	}
	r.openedAt = c.now.Mono
	c.records.open(r)
	c.timers.Add(r.deadline, timer{kind: timerDeadline, id: r.id, attempt: r.attempt})
	c.waiting.add(r)
	c.place()
}

// exceeded returns which limit of a home a new attempt would exceed, or "".
func (c *Core) exceeded(r *record) string {
	switch {
	case c.waiting.len()+len(r.tasks) > c.cfg.MaxWaiting:
		return "too many tasks are waiting"
	case c.records.openBytes+contentBytes(r.job) > c.cfg.MaxOpenBytes:
		return "the memory for open jobs is in use"
	default:
		return ""
	}
}

// Fetch handles a request for the answer of a job.
func (c *Core) Fetch(now clock.Now, from node.Ref, f *message.Fetch, out *Output) {
	c.beginCall(now, out)
	r, ok := c.records.get(f.ID)
	if !ok {
		c.reply(from, message.Message{NoRecord: &message.NoRecord{Request: f.Request}})
		return
	}
	c.answerOrSubscribe(r, f.Attempt, subscriber{entry: from, request: f.Request})
}

// Cancel handles a request to cancel a job.
func (c *Core) Cancel(now clock.Now, from node.Ref, x *message.Cancel, out *Output) {
	c.beginCall(now, out)
	sub := subscriber{entry: from, request: x.Request}
	r, ok := c.records.get(x.ID)
	if !ok {
		c.cancelWithoutRecord(x, sub)
		return
	}
	if x.Attempt == r.attempt && r.final == nil {
		c.failJob(r, errkind.Cancelled, "the caller cancelled the job")
	}
	c.answerOrSubscribe(r, x.Attempt, sub)
}

// cancelWithoutRecord handles the cancellation of a job that has no record. If
// this incarnation minted the ID, it creates a cancelled record, so that a
// submission that arrives after its cancellation starts no task.
func (c *Core) cancelWithoutRecord(x *message.Cancel, sub subscriber) {
	m, minted := x.ID.Minted()
	if !minted || m.Home != c.cfg.Self || c.expired(m.Created) || c.ahead(m.Created) {
		c.reply(sub.entry, message.Message{NoRecord: &message.NoRecord{Request: sub.request}})
		return
	}
	r := c.createRecord(&job.Job{ID: x.ID, Attempt: x.Attempt, Created: m.Created}, "")
	r.digest = 0
	r.subscribe(sub)
	r.failure = errkind.Cancelled
	r.failureDetail = "the caller cancelled the job before it arrived"
	c.finalizeRefused(r)
}

// ahead reports whether no process can have created a job at this wall-clock time (milliseconds) yet.
func (c *Core) ahead(created int64) bool {
	return created-c.now.Wall > c.cfg.ClockBound.Milliseconds()
}

// Tick runs the timers that are due, evicts expired records and places tasks.
func (c *Core) Tick(now clock.Now, out *Output) {
	c.beginCall(now, out)
	for {
		t, ok := c.timers.Pop(now.Mono)
		if !ok {
			break
		}
		c.handleTimer(t)
	}
	c.records.evict(now.Wall)
	c.place()
}

// NextTick returns the monotonic time at which Tick is next due. It reports false
// if no timer is set.
func (c *Core) NextTick() (time.Duration, bool) { return c.timers.Next() }

// beginCall sets the time and the output of the current call.
func (c *Core) beginCall(now clock.Now, out *Output) {
	c.now = now
	c.out = out
	c.observeFleetChange()
}

func (c *Core) reply(to node.Ref, m message.Message) {
	c.out.Replies = append(c.out.Replies, Reply{To: to, Message: m})
}
