package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// notifyInterval is the pause between two rounds in which agents are notified of waiting
	// tasks: half of the interval between an agent's heartbeats. Agents remember a
	// notification for two such pauses.
	notifyInterval = lease.HeartbeatInterval / 2
	// notifyCount is the number of agents in a round. Together they complete several tasks
	// before the next round. Without a limit, every agent would get notifications of every
	// dispatcher as soon as the fleet is full.
	notifyCount = 24
	// urgentNotifyCount is how many agents are notified at once of a waiting task that is
	// more urgent than the last one they were notified of. In fleets of 60 or more workers,
	// about that many workers free some capacity every 3 ms. urgentNotifyInterval is the
	// pause between two such rounds.
	urgentNotifyCount    = 8
	urgentNotifyInterval = 10 * time.Millisecond
	// leastUrgent is less urgent than the priority of any route.
	leastUrgent = math.MaxInt
)

// firstWaitingTask returns the first task that waits for capacity, or nil. Isolated tasks
// come last, since most agents cannot run them.
func (c *Core) firstWaitingTask() *task {
	var firstIsolated *task
	for _, j := range c.waiting {
		t := j.firstUnplaced()
		if t == nil {
			continue
		}
		if c.isolationOf(t) == message.NotIsolated {
			return t
		}
		if firstIsolated == nil {
			firstIsolated = t
		}
	}
	return firstIsolated
}

// firstWaitingOn returns the first task that waits for capacity and is allowed on the agent,
// or nil, and the priority that is reported for it.
func (c *Core) firstWaitingOn(a *agent) (*task, int) {
	queue, rank := c.turnByShare()
	if t := c.firstAllowed(queue, a); t != nil {
		return t, rank
	}
	if j := c.firstOnTime(); j != nil {
		if t := j.firstUnplaced(); t != nil && c.allowed(t, c.isolationOf(t), a) {
			return t, j.spec.Route.Priority
		}
	}
	if t := c.firstAllowed(c.waiting, a); t != nil {
		return t, t.job.spec.Route.Priority
	}
	return nil, 0
}

// firstAllowed returns the first unplaced task of the jobs that is allowed on the agent, or
// nil.
func (c *Core) firstAllowed(jobs []*job, a *agent) *task {
	for _, j := range jobs {
		if t := j.firstUnplaced(); t != nil && c.allowed(t, c.isolationOf(t), a) {
			return t
		}
	}
	return nil
}

// firstOnTime returns the first job of the most urgent waiting priority that can still meet its
// objective. It returns nil if there is none, or if agents do not order tasks by objective. It
// is looked up once for each time, since each offer and heartbeat needs it.
func (c *Core) firstOnTime() *job {
	if !c.cfg.OrderAcross || !c.backlogged() || len(c.waiting) == 0 {
		return nil
	}
	if j := c.onTimeFirst.job; c.onTimeFirst.at == c.now.Mono && j != nil && j.queued && j.unplaced > 0 {
		return j
	}
	c.onTimeFirst.at, c.onTimeFirst.job = c.now.Mono, nil
	priority := c.waiting[0].spec.Route.Priority
	for _, j := range c.waiting {
		if j.spec.Route.Priority != priority {
			break
		}
		if j.unplaced > 0 && c.urgency(j) == onTime {
			c.onTimeFirst.job = j
			break
		}
	}
	return c.onTimeFirst.job
}

// firstUnplaced returns the first unplaced task of the job, or nil.
func (j *job) firstUnplaced() *task {
	if i := slices.IndexFunc(j.tasks, func(t *task) bool { return t.state == unplaced }); i >= 0 {
		return j.tasks[i]
	}
	return nil
}

// firstWaiting describes the first task that waits for capacity and is allowed on the agent.
// It returns nil if there is no such task.
func (c *Core) firstWaiting(a *agent) *message.WaitingTask {
	t, priority := c.firstWaitingOn(a)
	if t == nil {
		return nil
	}
	w := &message.WaitingTask{Priority: priority, Demand: t.stepSpec().Demand}
	if c.cfg.OrderAcross && c.backlogged() {
		w.Due, w.Late = c.due(t.job), c.missesObjective(t.job)
	}
	return w
}

// backlogOnset is how long jobs must have waited without a pause until the capacity is shared by
// order across dispatchers and minimum shares. Below the capacity, short queues form and drain
// within tens of milliseconds; to share those would delay urgent jobs for nothing.
const backlogOnset = 250 * time.Millisecond

// backlogged reports whether the demand of this dispatcher has exceeded the capacity for
// backlogOnset.
func (c *Core) backlogged() bool {
	return c.waitingSince > 0 && c.now.Mono-c.waitingSince >= backlogOnset
}

// updateBacklogged notes after a placement whether jobs wait.
func (c *Core) updateBacklogged() {
	switch {
	case len(c.waiting) == 0:
		c.waitingSince = 0
	case c.waitingSince == 0:
		c.waitingSince = c.now.Mono
	}
}

// due returns the time until the objective of a job, but never zero, which means unknown.
func (c *Core) due(j *job) time.Duration {
	if d := j.objective - c.now.Mono; d != 0 {
		return d
	}
	return -1
}

// notifyWaiting notifies some agents of the first waiting task, so that they report freed
// capacity at once. Between two rounds, it notifies a few of a task that is more urgent
// than the last one.
func (c *Core) notifyWaiting() {
	first := c.firstWaitingTask()
	if first == nil {
		c.notifiedPriority = leastUrgent
		return
	}
	priority := first.job.spec.Route.Priority
	if queue, rank := c.turnByShare(); queue != nil {
		priority = rank
	}
	switch {
	case c.now.Mono >= c.notifyAt:
		c.notifyAt = c.now.Mono + notifyInterval
		c.notifyNextAgents(notifyCount)
	case priority < c.notifiedPriority && c.now.Mono >= c.notifyUrgentAt:
		c.notifyNextAgents(urgentNotifyCount)
	default:
		return
	}
	c.notifiedPriority = priority
	c.notifyUrgentAt = c.now.Mono + urgentNotifyInterval
}

// notifyNextAgents notifies the next count usable agents that may run a waiting task, in
// round-robin order.
func (c *Core) notifyNextAgents(count int) {
	for range c.sortedAgents {
		if count == 0 {
			return
		}
		c.notifyIndex = (c.notifyIndex + 1) % len(c.sortedAgents)
		a := c.sortedAgents[c.notifyIndex]
		if !c.usable(a) {
			continue
		}
		if t, _ := c.firstWaitingOn(a); t != nil && eligible(t, a) {
			c.sendHeartbeat(a)
			count--
		}
	}
}
