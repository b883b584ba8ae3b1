package home

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

// defaultService stands for a service time that no executor has reported.
const defaultService = 200 * time.Millisecond

// overloadDetails says why a job was refused.
var overloadDetails = map[admission.Reason]string{
	admission.Late:     "the tasks ahead leave no time before the deadline",
	admission.Shed:     "more urgent jobs take all slots",
	admission.Overload: "jobs of the class take all slots",
}

// admit decides whether the tasks of a new attempt may wait for an executor. It
// refuses at once what cannot end before its deadline, and under lasting load
// what would have to wait.
func (c *Core) admit(r *record) admission.Decision {
	class := r.job.Class.Rank()
	q := c.capacity(r)
	if q.slots == 0 {
		return admission.Decision{OK: true}
	}
	// The other homes get as much of the slots as this one, but may need less.
	turn := q.service * time.Duration(len(c.order)) / time.Duration(q.slots)
	c.overload.SetFloor(turn)
	wait := turn * time.Duration(max(0, c.waiting.ahead(class)+1-q.free))
	work := q.service * time.Duration(len(r.tasks)-1) / time.Duration(q.slots)
	return c.overload.Admit(c.now.Mono, admission.Request{
		Class: r.job.Class, Timeout: r.job.Timeout, Wait: wait, Service: work,
		Margin: wait - wait/time.Duration(len(c.order)),
	})
}

// capacity is what the executors that may run a job have reported.
type capacity struct {
	slots, free int
	// service is the mean service time.
	service time.Duration
}

// capacity sums up the executors that may run the first task of r. A slot that
// would not be offered to the task is not free.
func (c *Core) capacity(r *record) capacity {
	var q capacity
	var sum time.Duration
	known := 0
	for _, l := range c.group(&r.tasks[0]).links {
		if l.load.Draining {
			continue
		}
		q.slots += l.load.Slots
		if cand := c.candidate(l, r.job.Class); c.offers(l, &cand) {
			q.free += placement.FreeSlots(cand)
		}
		if l.load.MeanServiceTime > 0 {
			sum += l.load.MeanServiceTime
			known++
		}
	}
	q.service = defaultService
	if known > 0 {
		q.service = sum / time.Duration(known)
	}
	return q
}

// urgentOver reports whether urgent work waits for too long here or at the
// executor of this process.
func (c *Core) urgentOver() bool {
	if l, ok := c.links[c.cfg.Self]; ok && l.load.Overloaded {
		return true
	}
	return c.overload.OverTarget(c.now.Mono, job.Urgent)
}

// offers reports whether a task may be offered to an executor that is or is not
// overloaded: then only to a free slot, and only when it is urgent.
func (c *Core) offers(l *link, cand *placement.Candidate) bool {
	if cand.Class != job.Urgent {
		return !l.load.Overloaded
	}
	return !l.load.Overloaded && !c.urgentOver() || placement.FreeSlots(*cand) > 0
}

// held reports whether the tasks of a class wait because urgent work waits
// for too long.
func (c *Core) held(class int) bool { return class > 0 && c.urgentOver() }

// shedClass refuses the jobs of a held class of which nothing has been sent.
func (c *Core) shedClass(class int) {
	list := c.waiting.classes[class]
	c.waiting.classes[class] = slices.DeleteFunc(list, func(r *record) bool {
		if r.untouched() {
			c.shed(r, admission.Shed)
		}
		r.inWaitlist = r.final == nil
		return !r.inWaitlist
	})
}

// shedWaiting refuses a job of which nothing has been sent when its class is
// over its target and the job has waited for longer. It reports whether it did.
func (c *Core) shedWaiting(r *record) bool {
	if r.job.Class != job.Urgent || !c.urgentOver() || !r.untouched() {
		return false
	}
	target := c.overload.Target(job.Urgent)
	if c.now.Mono-r.openedAt < target {
		c.timers.Add(r.openedAt+target, timer{kind: timerPlace})
		return false
	}
	c.shed(r, admission.Overload)
	return true
}

// shedRefused refuses an urgent job that an executor has just refused when its
// class is over its target and nothing else of the job has been sent.
func (c *Core) shedRefused(r *record) {
	if r.job.Class == job.Urgent && c.urgentOver() && r.untouched() {
		c.shed(r, admission.Overload)
	}
}

// shed refuses a job of which nothing has been sent.
func (c *Core) shed(r *record, reason admission.Reason) {
	r.retryAfter = c.backoff.AddJitter(c.pause(r, reason))
	c.stats.Shed++
	c.fail(r, errkind.NotRun, overloadDetails[reason])
}

// pause is the time after which a refused job may find room: once the tasks that
// run now have ended, or the more urgent class is no longer over its target.
func (c *Core) pause(r *record, reason admission.Reason) time.Duration {
	if reason == admission.Shed {
		return admission.Recovery
	}
	return c.capacity(r).service
}

// untouched reports whether all tasks of an open record wait at this home.
func (r *record) untouched() bool {
	if r.final != nil || r.settling {
		return false
	}
	for i := range r.tasks {
		if r.tasks[i].state != taskWaiting {
			return false
		}
	}
	return true
}
