package home

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

// loadLag is how old a load report may be compared with the tasks that were
// sent just before it arrived.
const loadLag = 5 * time.Millisecond

// link is the home's side of the tasks sent to one executor incarnation.
type link struct {
	ref    node.Ref
	domain string
	local  bool
	// known is false once the executor is no longer a member.
	known bool
	dead  bool
	// suspect is true while the executor does not answer.
	suspect bool
	// inService is true while the configuration lets the executor take work;
	// it began at upSince.
	inService bool
	upSince   time.Duration
	load      message.Load
	// loadAt is when load arrived.
	loadAt time.Duration
	// closedUntil holds, by class, until when the executor has asked not to be
	// sent further tasks.
	closedUntil [job.NumClasses]time.Duration
	// refusals counts the refusals in a row without a load report that shows a
	// free slot.
	refusals int
	// uncovered is the number of tasks sent that load does not cover.
	uncovered   int
	nextSeq     uint64
	floor       uint64
	outstanding map[uint64]*task
}

func newLink(ref node.Ref) *link {
	return &link{ref: ref, nextSeq: 1, floor: 1, outstanding: make(map[uint64]*task)}
}

// assign gives t the next sequence number.
func (l *link) assign(t *task, now time.Duration) {
	t.link = l
	t.seq = l.nextSeq
	t.sentAt = now
	t.state = taskSent
	l.nextSeq++
	l.outstanding[t.seq] = t
	l.uncovered++
}

// settle ends the interest in seq and raises the floor over settled numbers.
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
	// minClosed and maxClosed bound the time for which an executor that has
	// refused is sent nothing; it doubles with each refusal in a row.
	minClosed = 100 * time.Millisecond
	maxClosed = 2 * time.Second
)

// closure returns how long the executor is to be left alone after one more
// refusal that asked for the pause hint.
func (l *link) closure(hint time.Duration) time.Duration {
	d := minClosed << min(l.refusals, 5)
	l.refusals++
	return min(max(d, hint), maxClosed)
}

// close notes that the executor has no room for a class, nor for lower ones.
func (l *link) close(class job.Class, until time.Duration) {
	for i := class.Rank(); i < len(l.closedUntil); i++ {
		l.closedUntil[i] = max(l.closedUntil[i], until)
	}
}

// reopen takes the executor back into use when it reports free slots.
func (l *link) reopen() {
	if placement.FreeSlots(placement.Candidate{Load: l.load, Class: job.Batch}) > 0 {
		l.closedUntil = [job.NumClasses]time.Duration{}
		l.refusals = 0
	}
}

// observe takes a load report that arrived at now.
func (l *link) observe(load message.Load, now time.Duration) {
	l.suspect = false
	l.load = load
	l.loadAt = now
	l.uncovered = 0
	l.reopen()
	for seq := l.nextSeq; seq > l.floor; seq-- {
		t, open := l.outstanding[seq-1]
		if open && now-t.sentAt >= loadLag {
			return
		}
		if open {
			l.uncovered++
		}
	}
}

// Executor describes one agent that may run tasks.
type Executor struct {
	Ref    node.Ref
	Domain string
}

// SetExecutors replaces the list of agents that may be sent tasks. The list
// must be in a deterministic order.
func (c *Core) SetExecutors(list []Executor) {
	for _, l := range c.order {
		l.known = false
	}
	c.order = c.order[:0]
	for _, x := range list {
		l := c.link(x.Ref)
		l.domain = x.Domain
		l.known = true
		l.local = x.Ref == c.cfg.Self
		c.order = append(c.order, l)
	}
	c.linksVersion++
	c.watchWorkers()
	for ref, l := range c.links {
		if !l.known && l.dead {
			delete(c.links, ref)
		}
	}
}

// SetSuspects names the executors that do not answer. They are sent nothing until
// they are heard; what they have may have started and stays there.
func (c *Core) SetSuspects(refs []node.Ref) {
	for _, l := range c.order {
		l.suspect = slices.Contains(refs, l.ref)
	}
}

func (c *Core) link(ref node.Ref) *link {
	l, ok := c.links[ref]
	if !ok {
		l = newLink(ref)
		c.links[ref] = l
	}
	return l
}
