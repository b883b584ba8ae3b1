package dispatch

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/share"
)

const (
	// holdDivisor limits how long a job with more tasks than fit waits for narrower ones: for
	// this part of the time after its arrival in which it can start and meet its objective.
	holdDivisor = 4
	// maxHeldJobs is the number of jobs of one priority that a placement holds for narrower
	// ones. It limits the cost of a search for jobs that fit.
	maxHeldJobs = 32
	// shareLogInterval is the shortest pause between two log lines about turns by share.
	shareLogInterval = time.Second
)

// shareState is the part of a dispatcher's state that serves the minimum shares of priorities.
type shareState struct {
	// placed measures the work that was placed while other work waited. It is nil without
	// minimum shares.
	placed *share.Shares
	// contended is set while jobs wait that the last placement could not place.
	contended bool
	// started lists the waiting jobs of which a task may have run, in the order of
	// Core.waiting. A job whose offers were refused stays in it until it is placed.
	started []*job
	// placement counts the placements.
	placement uint64
	// rank is the priority of the turn in which the current job is placed.
	rank int
	// freeMilliCPU is the sum of the free capacity of the candidates of this placement.
	freeMilliCPU int
	// queues, priorities and startedFirst are buffers that placements and reports reuse.
	queues       []queue
	priorities   []int
	startedFirst []*job
	// turnsLogged is the number of turns by share at the time of the last log line.
	turnsLogged uint64
	loggedAt    time.Duration
}

func newShareState(minimum float64) shareState {
	if minimum <= 0 {
		return shareState{}
	}
	return shareState{placed: share.New(minimum)}
}

// jobTurn is the state of a job in the order with minimum shares.
type jobTurn struct {
	// placement is the last placement that has tried to place the job.
	placement uint64
	// held is set once the job has waited for narrower ones.
	held bool
}

// pass is a pass over the waiting jobs of a priority.
type pass uint8

const (
	// startedPass: jobs of which a task may have run. Their placed tasks hold capacity that
	// completes no job until the rest is placed.
	startedPass pass = iota
	// fittingPass: jobs that can meet their objectives, except for those that are held.
	fittingPass
	// heldPass: jobs that were held, which get what the others have left.
	heldPass
	latePass
	suspectPass
	passCount
)

// queue is the rest of the waiting jobs of one priority during a placement.
type queue struct {
	priority int
	pass     pass
	// jobs are the jobs that the pass has not examined, rest those left to later passes, and
	// waiting all jobs after the first pass. Both rest and jobs share the array of waiting.
	jobs, rest, waiting []*job
	// next is the next job, or nil if it was not looked for.
	next *job
	held int
	// missed is set when a task of the priority has found no agent. The priority has no
	// more turns by share in this placement, since others may fit.
	missed bool
}

// sharedOrder returns the waiting jobs in the order with minimum shares. The order depends on
// what the caller places in between.
func (c *Core) sharedOrder(candidates []candidate) iter.Seq[*job] {
	return func(yield func(*job) bool) {
		c.beginSharedOrder(candidates)
		for {
			q, byShare := c.nextQueue(candidates)
			if q == nil {
				return
			}
			c.shares.rank = q.priority
			if byShare {
				c.shares.rank = c.shares.queues[0].priority
			}
			j := q.next
			q.next = nil
			j.turn.placement = c.shares.placement
			before := j.unplaced
			more := yield(j)
			if byShare && j.unplaced < before {
				c.stats.ShareTurns++
			}
			if j.unplaced > 0 {
				q.missed = true
				c.addStarted(j)
			}
			if !more {
				return
			}
		}
	}
}

// beginSharedOrder splits the waiting jobs by priority.
func (c *Core) beginSharedOrder(candidates []candidate) {
	s := &c.shares
	s.placement++
	s.freeMilliCPU = 0
	for i := range candidates {
		s.freeMilliCPU += max(candidates[i].free.MilliCPU, 0)
	}
	// The caller removes jobs from c.waiting and s.started.
	c.placementList = append(c.placementList[:0], c.waiting...)
	s.startedFirst = append(s.startedFirst[:0], s.started...)
	s.queues = s.queues[:0]
	for list := c.placementList; len(list) > 0; {
		n := firstQueueLength(list)
		priority := list[0].spec.Route.Priority
		s.queues = append(s.queues, queue{priority: priority, jobs: queueOf(s.startedFirst, priority), waiting: list[:n:n]})
		list = list[n:]
	}
}

// firstQueueLength returns the number of jobs at the head of a sorted list that have the
// priority of its first one.
func firstQueueLength(list []*job) int {
	n, _ := slices.BinarySearchFunc(list, list[0].spec.Route.Priority, func(j *job, p int) int {
		return cmp.Or(cmp.Compare(j.spec.Route.Priority, p), -1)
	})
	return n
}

// queueOf returns the jobs of a priority in a list that is sorted by priority.
func queueOf(list []*job, priority int) []*job {
	i, ok := slices.BinarySearchFunc(list, priority, func(j *job, p int) int { return cmp.Compare(j.spec.Route.Priority, p) })
	if !ok {
		return nil
	}
	return list[i : i+firstQueueLength(list[i:])]
}

// nextQueue returns the queue whose turn it is, and whether it has the turn for its share. It
// returns nil if all jobs were tried.
func (c *Core) nextQueue(candidates []candidate) (*queue, bool) {
	s := &c.shares
	first := 0
	for first < len(s.queues) && c.peek(&s.queues[first], candidates) == nil {
		first++
	}
	if first == len(s.queues) {
		return nil, false
	}
	if !c.backlogged() {
		return &s.queues[first], false
	}
	s.priorities = append(s.priorities[:0], s.queues[first].priority)
	for i := first + 1; i < len(s.queues); i++ {
		q := &s.queues[i]
		if q.missed || !s.placed.Below(c.now.Mono, q.priority) {
			continue
		}
		if j := c.peek(q, candidates); j != nil && c.ofUse(j) {
			s.priorities = append(s.priorities, q.priority)
		}
	}
	turn := s.placed.Next(c.now.Mono, s.priorities)
	i := slices.IndexFunc(s.queues, func(q queue) bool { return q.priority == turn.Priority })
	return &s.queues[i], i > first
}

// peek returns the next job of a queue, or nil if there is none.
func (c *Core) peek(q *queue, candidates []candidate) *job {
	for q.next == nil && q.pass < passCount {
		if len(q.jobs) == 0 || q.pass == fittingPass && q.held >= maxHeldJobs {
			q.nextPass()
			continue
		}
		j := q.jobs[0]
		q.jobs = q.jobs[1:]
		switch {
		case j.turn.placement == c.shares.placement:
		case c.belongsTo(j, q.pass) && !c.hold(j, q, candidates):
			q.next = j
		case q.pass != startedPass:
			q.rest = append(q.rest, j)
		}
	}
	return q.next
}

// nextPass begins the next pass, over the jobs that the earlier ones have left.
func (q *queue) nextPass() {
	if q.pass == startedPass {
		q.jobs = q.waiting
	} else {
		q.jobs = append(q.rest, q.jobs...)
	}
	q.pass++
	q.rest = q.jobs[:0]
}

// belongsTo reports whether a pass includes a job.
func (c *Core) belongsTo(j *job, p pass) bool {
	urgency := c.urgency(j)
	switch p {
	case startedPass:
		return j.mayHaveRun && urgency == onTime
	case fittingPass, heldPass:
		return urgency == onTime
	case latePass:
		return urgency == late
	default:
		return urgency == suspect
	}
}

// hold reports whether a job should wait for narrower ones: it would get the last free
// capacity without being able to complete with it. The wait is bounded, and capacity that
// no other job of its priority can use is not held back.
func (c *Core) hold(j *job, q *queue, candidates []candidate) bool {
	if q.pass != fittingPass || j.mayHaveRun || j.unplaced < 2 || c.now.Mono >= j.holdUntil() || c.fits(j, candidates) {
		return false
	}
	q.held++
	if !j.turn.held {
		j.turn.held = true
		c.stats.HeldJobs++
	}
	return true
}

// holdUntil returns the time until which a job may wait for narrower ones.
func (j *job) holdUntil() time.Duration {
	return j.arrivedAt + (j.objective-j.longestEstimate-j.arrivedAt)/holdDivisor
}

// fits reports whether all unplaced tasks of a job fit into the free capacity. It takes all of
// them to be like the first one.
func (c *Core) fits(j *job, candidates []candidate) bool {
	t := j.firstUnplaced()
	spec, count := t.stepSpec(), j.unplaced
	if count*spec.Demand.MilliCPU > c.shares.freeMilliCPU {
		return false
	}
	isolation := c.isolationOf(t)
	for i := range candidates {
		c.stats.AgentsExamined++
		o := &candidates[i]
		if !spec.Demand.Fits(o.free) || !eligible(t, o.agent) || !c.allowed(t, isolation, o.agent) {
			continue
		}
		n := countFitting(spec.Demand, o.free)
		if spec.MaxPerUpstream > 0 {
			n = min(n, spec.MaxPerUpstream)
		}
		if count -= n; count <= 0 {
			return true
		}
	}
	return false
}

// countFitting returns how many tasks of this demand fit into the free capacity.
func countFitting(demand, free message.Resources) int {
	n := 1 << 20
	for _, r := range [][2]int{{demand.MilliCPU, free.MilliCPU}, {demand.MemoryMB, free.MemoryMB}, {demand.Accelerators, free.Accelerators}} {
		if r[0] > 0 {
			n = min(n, max(r[1], 0)/r[0])
		}
	}
	return n
}

// ofUse reports whether the answer of a job may still be of use.
func (c *Core) ofUse(j *job) bool {
	if c.urgency(j) != late {
		return c.urgency(j) == onTime
	}
	return c.now.Mono <= j.latestStart(c.cfg.UsefulFactor)
}

// addStarted adds a waiting job of which a task may have run to the started ones.
func (c *Core) addStarted(j *job) {
	if c.shares.placed == nil || !j.queued || !j.mayHaveRun {
		return
	}
	if i, ok := slices.BinarySearchFunc(c.shares.started, j, compareJobs); !ok {
		c.shares.started = slices.Insert(c.shares.started, i, j)
	}
}

// removeStarted removes a job that does not wait any more from the started ones.
func (c *Core) removeStarted(j *job) {
	if i, ok := slices.BinarySearchFunc(c.shares.started, j, compareJobs); ok {
		c.shares.started = slices.Delete(c.shares.started, i, i+1)
	}
}

// rankOf returns the priority at which a task is placed now: that of its turn, or that of its
// route.
func (c *Core) rankOf(t *task) int {
	if c.shares.placed != nil {
		return c.shares.rank
	}
	return t.job.spec.Route.Priority
}

// addToShare counts a task that is offered while other work waits.
func (c *Core) addToShare(t *task) {
	s := &c.shares
	t.placedWork = 0
	if s.placed == nil {
		return
	}
	demand := t.stepSpec().Demand.MilliCPU
	s.freeMilliCPU -= demand
	if s.contended {
		t.placedWork = float64(max(demand, 1)) * cmp.Or(t.stepSpec().Estimate, defaultEstimate).Seconds()
		s.placed.Record(c.now.Mono, t.job.spec.Route.Priority, t.placedWork)
	}
}

// removeFromShare takes back what addToShare has counted, after a refusal.
func (c *Core) removeFromShare(t *task) {
	if t.placedWork > 0 {
		c.shares.placed.Record(c.now.Mono, t.job.spec.Route.Priority, -t.placedWork)
		t.placedWork = 0
	}
}

// updateShares notes after a placement whether jobs wait, and logs the turns by share.
func (c *Core) updateShares() {
	s := &c.shares
	if s.placed == nil {
		return
	}
	s.contended = len(c.waiting) > 0
	if c.stats.ShareTurns == s.turnsLogged || c.now.Mono-s.loggedAt < shareLogInterval {
		return
	}
	shares := ""
	for list := c.waiting; len(list) > 0; list = list[firstQueueLength(list):] {
		p := list[0].spec.Route.Priority
		shares += fmt.Sprintf("%d:%.2f ", p, s.placed.Share(c.now.Mono, p))
	}
	c.logEvent("share_turns", "", "turns", c.stats.ShareTurns-s.turnsLogged, "waiting_shares", shares, "min_share", c.cfg.MinShare,
		"waiting", len(c.waiting), "started", len(s.started), "held_total", c.stats.HeldJobs)
	s.turnsLogged, s.loggedAt = c.stats.ShareTurns, c.now.Mono
}

// turnByShare returns the waiting jobs of the priority that has its turn by share, and the
// rank of the turn. It returns nil if the turn is that of the first waiting job.
func (c *Core) turnByShare() ([]*job, int) {
	s := &c.shares
	if s.placed == nil || !c.backlogged() || len(c.waiting) == 0 {
		return nil, 0
	}
	s.priorities = s.priorities[:0]
	for list := c.waiting; len(list) > 0; {
		n := firstQueueLength(list)
		// The job with the latest objective is the most likely one to be of use.
		if len(s.priorities) == 0 || c.ofUse(list[n-1]) {
			s.priorities = append(s.priorities, list[0].spec.Route.Priority)
		}
		list = list[n:]
	}
	turn := s.placed.Next(c.now.Mono, s.priorities)
	if !turn.ByShare {
		return nil, 0
	}
	return queueOf(c.waiting, turn.Priority), turn.Rank
}
