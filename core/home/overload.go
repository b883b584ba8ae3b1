package home

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

// defaultServiceTime is the assumed mean service time of a task until an executor
// has reported one.
const defaultServiceTime = 200 * time.Millisecond

// overloadDetails holds the text of the answer for each reason of a refusal.
var overloadDetails = map[admission.Reason]string{
	admission.Late:     "the tasks ahead leave no time before the deadline",
	admission.Shed:     "more urgent jobs take all slots",
	admission.Overload: "jobs of the class take all slots",
}

// admit decides whether the tasks of a new attempt may wait for an executor. It
// refuses an attempt that cannot complete before its deadline and, under sustained
// overload, one whose expected wait is too long for its class.
func (c *Core) admit(r *record) admission.Decision {
	class := r.job.Class.Rank()
	q := c.capacity(r)
	if q.slots == 0 {
		return admission.Decision{OK: true}
	}
	// slotInterval is the mean time between two slots that become free for this
	// home, if every home takes an equal share. The other homes may need less than
	// that, so the wait may be shorter. Margin is the part that depends on them.
	slotInterval := q.service * time.Duration(len(c.order)) / time.Duration(q.slots)
	c.overload.SetFloor(slotInterval)
	wait := slotInterval * time.Duration(max(0, c.waiting.ahead(class)+1-q.free))
	work := q.service * time.Duration(len(r.tasks)-1) / time.Duration(q.slots)
	return c.overload.Admit(c.now.Mono, admission.Request{
		Class: r.job.Class, Timeout: r.job.Timeout, Wait: wait, Service: work,
		Margin: wait - wait/time.Duration(len(c.order)),
	})
}

// capacity sums up the load reports of the executors that may run a job.
type capacity struct {
	slots, free int
	// service is the mean service time.
	service time.Duration
}

// capacity sums up the load reports of the executors that may run the first task
// of r. It counts a slot as free only if the home may send the task to it.
func (c *Core) capacity(r *record) capacity {
	var q capacity
	var sum time.Duration
	known := 0
	for _, l := range c.group(&r.tasks[0]).links {
		if l.load.Draining {
			continue
		}
		q.slots += l.load.Slots
		if cand := c.candidate(l, r.job.Class); c.maySend(l, &cand) {
			q.free += placement.FreeSlots(cand)
		}
		if l.load.MeanServiceTime > 0 {
			sum += l.load.MeanServiceTime
			known++
		}
	}
	q.service = defaultServiceTime
	if known > 0 {
		q.service = sum / time.Duration(known)
	}
	return q
}

// urgentOverloaded reports whether urgent tasks wait too long at this home or at
// the executor of this process.
func (c *Core) urgentOverloaded() bool {
	if l, ok := c.links[c.cfg.Self]; ok && l.load.Overloaded {
		return true
	}
	return c.overload.OverTarget(c.now.Mono, job.Urgent)
}

// maySend reports whether the home may send a task to the executor of l. An
// overloaded executor gets only urgent tasks. While it or this home is overloaded,
// an urgent task is sent only if a slot is free.
func (c *Core) maySend(l *link, cand *placement.Candidate) bool {
	if cand.Class != job.Urgent {
		return !l.load.Overloaded
	}
	return !l.load.Overloaded && !c.urgentOverloaded() || placement.FreeSlots(*cand) > 0
}

// classHeld reports whether the home sends no tasks of a class because urgent
// tasks wait too long.
func (c *Core) classHeld(class int) bool { return class > 0 && c.urgentOverloaded() }

// shedClass refuses the jobs of a held class of which no task has been sent.
func (c *Core) shedClass(class int) {
	list := c.waiting.classes[class]
	c.waiting.classes[class] = slices.DeleteFunc(list, func(r *record) bool {
		if r.allTasksWaiting() {
			c.shed(r, admission.Shed)
		}
		r.inWaitlist = r.final == nil
		return !r.inWaitlist
	})
}

// shedIfWaitedTooLong refuses an urgent job of which no task has been sent, if
// urgent tasks wait too long and this job has waited for the target time of its
// class. It reports whether it refused the job.
func (c *Core) shedIfWaitedTooLong(r *record) bool {
	if r.job.Class != job.Urgent || !c.urgentOverloaded() || !r.allTasksWaiting() {
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

// shedAfterRefusal refuses an urgent job of which an executor has just refused a
// task, if urgent tasks wait too long and no other task of the job has been sent.
func (c *Core) shedAfterRefusal(r *record) {
	if r.job.Class == job.Urgent && c.urgentOverloaded() && r.allTasksWaiting() {
		c.shed(r, admission.Overload)
	}
}

// shed refuses a job of which no task has been sent.
func (c *Core) shed(r *record, reason admission.Reason) {
	r.retryAfter = c.backoff.AddJitter(c.retryPause(r, reason))
	c.stats.Shed++
	c.failJob(r, errkind.NotRun, overloadDetails[reason])
}

// retryPause returns the time after which a refused job may find free capacity: once
// the running tasks have completed or, for admission.Shed, once urgent tasks no
// longer wait too long.
func (c *Core) retryPause(r *record, reason admission.Reason) time.Duration {
	if reason == admission.Shed {
		return admission.Recovery
	}
	return c.capacity(r).service
}

// allTasksWaiting reports whether the record is open and all its tasks wait at this
// home, so that none has been sent.
func (r *record) allTasksWaiting() bool {
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
