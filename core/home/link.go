package home

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

// maxLoadReportLag is the largest assumed age of a load report on arrival. A task
// that was sent less than this before the arrival counts as missing from the report.
const maxLoadReportLag = 5 * time.Millisecond

// link is the home's view of one executor incarnation and of the tasks sent to it.
type link struct {
	ref    node.Ref
	domain string
	// local is true when the executor runs in the process of the home.
	local bool
	// isMember is true while SetExecutors lists the executor.
	isMember bool
	// dead is true once this incarnation of the executor has provably ended.
	dead bool
	// suspect is true while the executor is unresponsive.
	suspect bool
	// inService is true while the configuration allows the executor to run tasks,
	// which it has done since inServiceSince.
	inService      bool
	inServiceSince time.Duration
	// load is the last load report of the executor. It arrived at loadAt.
	load   message.Load
	loadAt time.Duration
	// closedUntil holds, by rank of the class, the time until which the home sends
	// the executor no tasks, because the executor has refused one.
	closedUntil [job.NumClasses]time.Duration
	// consecutiveRefusals counts the refusals since the last load report with a
	// slot free for every class.
	consecutiveRefusals int
	// unreportedTasks is the number of tasks sent that count as missing from load.
	unreportedTasks int
	// nextSeq numbers the next task sent. floor is the lowest sequence number that
	// is not settled. outstanding holds the tasks sent and not settled, by number.
	nextSeq     uint64
	floor       uint64
	outstanding map[uint64]*task
}

func newLink(ref node.Ref) *link {
	return &link{ref: ref, nextSeq: 1, floor: 1, outstanding: make(map[uint64]*task)}
}

// assign gives t the next sequence number and records it as sent at now.
func (l *link) assign(t *task, now time.Duration) {
	t.link = l
	t.seq = l.nextSeq
	t.sentAt = now
	t.state = taskSent
	l.nextSeq++
	l.outstanding[t.seq] = t
	l.unreportedTasks++
}

// settle removes seq from the outstanding tasks and raises the floor to the lowest
// number that is still outstanding.
func (l *link) settle(seq uint64) {
	delete(l.outstanding, seq)
	for l.floor < l.nextSeq {
		if _, open := l.outstanding[l.floor]; open {
			return
		}
		l.floor++
	}
}

const (
	// minClosedTime and maxClosedTime limit how long the home sends no tasks to an
	// executor that has refused one. The time doubles with each consecutive
	// refusal.
	minClosedTime = 100 * time.Millisecond
	maxClosedTime = 2 * time.Second
)

// nextClosedTime counts one more refusal and returns how long the home then sends
// no tasks to the executor. hint is the delay that the refusal asked for.
func (l *link) nextClosedTime(hint time.Duration) time.Duration {
	d := minClosedTime << min(l.consecutiveRefusals, 5)
	l.consecutiveRefusals++
	return min(max(d, hint), maxClosedTime)
}

// closeForClass records that, until the given time, the executor has no free
// capacity for a class and for the less urgent ones.
func (l *link) closeForClass(class job.Class, until time.Duration) {
	for i := class.Rank(); i < len(l.closedUntil); i++ {
		l.closedUntil[i] = max(l.closedUntil[i], until)
	}
}

// reopenIfSlotsFree lets the home send tasks again when the executor's load report
// shows a slot that is free for every class.
func (l *link) reopenIfSlotsFree() {
	if placement.FreeSlots(placement.Candidate{Load: l.load, Class: job.Batch}) > 0 {
		l.closedUntil = [job.NumClasses]time.Duration{}
		l.consecutiveRefusals = 0
	}
}

// updateLoad stores a load report that arrived at now, and counts the tasks that
// were sent too recently to be included in it.
func (l *link) updateLoad(load message.Load, now time.Duration) {
	l.suspect = false
	l.load = load
	l.loadAt = now
	l.unreportedTasks = 0
	l.reopenIfSlotsFree()
	for seq := l.nextSeq; seq > l.floor; seq-- {
		t, open := l.outstanding[seq-1]
		if open && now-t.sentAt >= maxLoadReportLag {
			return
		}
		if open {
			l.unreportedTasks++
		}
	}
}

// Executor identifies an agent that may run tasks, and its failure domain.
type Executor struct {
	Ref    node.Ref
	Domain string
}

// SetExecutors replaces the list of agents to which the home may send tasks. The
// list must be in a deterministic order, since placement follows it.
func (c *Core) SetExecutors(list []Executor) {
	for _, l := range c.order {
		l.isMember = false
	}
	c.order = c.order[:0]
	for _, x := range list {
		l := c.link(x.Ref)
		l.domain = x.Domain
		l.isMember = true
		l.local = x.Ref == c.cfg.Self
		c.order = append(c.order, l)
	}
	c.linksVersion++
	c.updateKnownWorkers()
	for ref, l := range c.links {
		if !l.isMember && l.dead {
			delete(c.links, ref)
		}
	}
}

// SetSuspects sets which executors are unresponsive. The home sends them no new
// tasks until a load report arrives from them. The tasks sent to them before stay
// assigned to them, since they may have started.
func (c *Core) SetSuspects(refs []node.Ref) {
	for _, l := range c.order {
		l.suspect = slices.Contains(refs, l.ref)
	}
}

// link returns the link of ref, and creates it if there is none.
func (c *Core) link(ref node.Ref) *link {
	l, ok := c.links[ref]
	if !ok {
		l = newLink(ref)
		c.links[ref] = l
	}
	return l
}
