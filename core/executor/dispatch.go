package executor

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/admission"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/slots"
)

// admit starts, queues or refuses a task that has just arrived.
func (c *Core) admit(now clock.Now, t *task) {
	if c.draining {
		c.refuse(t, message.RefusedDraining, 0)
		return
	}
	if t.start.Timeout <= 0 {
		c.refuse(t, message.RefusedDeadline, 0)
		return
	}
	if c.Quarantined(now) {
		c.refuse(t, message.RefusedBusy, 0)
		return
	}
	c.urgentActivity.Observe(now.Mono, t.start.Class)
	p, reason := c.chooseUpstream(now, t)
	if isPermanent(reason) {
		c.refuse(t, reason, 0)
		return
	}
	if reason == "" && c.mayTakeSlot(now, t.start.Class) {
		c.startTask(now, t, p)
		return
	}
	if c.shouldRedirect(now, t) {
		c.refuse(t, message.RefusedBusy, 0)
		return
	}
	c.enqueue(now, t)
}

// shouldRedirect reports whether to refuse t because it is urgent and another
// executor has a free slot. Such refusals are limited to a share of the starts: when
// every executor is full, the reports of free slots are outdated and a refusal
// only delays the task.
func (c *Core) shouldRedirect(now clock.Now, t *task) bool {
	if t.start.Class != job.Urgent || !c.cfg.OtherExecutors.HaveFreeSlot(now, t.start) {
		return false
	}
	return c.redirectBudget.Take()
}

// enqueue puts t into the queue unless the admission policy refuses it. Tasks that
// t evicts from the queue have not started and are refused.
func (c *Core) enqueue(now clock.Now, t *task) {
	wait := c.expectedWait(now, t.start.Class)
	c.admission.SetFloor(c.serviceTime.Mean() / time.Duration(max(1, c.upstreams.slots())))
	decision := c.admission.Admit(now.Mono, admission.Request{
		Class: t.start.Class, Timeout: t.deadline - now.Mono, Wait: wait, Service: c.serviceTime.LowQuantile(),
	})
	if !decision.OK {
		c.refuse(t, message.RefusedBusy, decision.RetryAfter)
		return
	}
	t.queuedAt = now.Mono
	if !c.push(now, t) {
		c.refuse(t, message.RefusedBusy, wait)
		return
	}
	c.observeUrgent(now)
}

// observeUrgent records the number of urgent tasks that run or wait.
func (c *Core) observeUrgent(now clock.Now) {
	c.urgentConcurrency.Set(now.Mono, c.urgentRunning+c.queue.LenClass(job.Urgent))
}

// push puts t into the queue, and refuses the tasks evicted by it. It reports false
// if the queue is full.
func (c *Core) push(now clock.Now, t *task) bool {
	pushed := c.queue.Push(t, t.start.Class, t.deadline)
	t.queueHandle = pushed.Handle
	for _, evicted := range pushed.Evicted {
		c.refuse(evicted, message.RefusedBusy, c.expectedWait(now, evicted.start.Class))
	}
	return pushed.OK
}

// expectedWait estimates the time until a task of this class would start if it were
// queued now.
func (c *Core) expectedWait(now clock.Now, class job.Class) time.Duration {
	usable := c.upstreams.slots()
	if class != job.Urgent {
		usable -= max(c.configuredReserve().ReservedSlots(usable), c.predictedUrgentSlots(now, usable))
	}
	return c.serviceTime.Wait(c.queue.CountAhead(class), len(c.running), usable)
}

func (c *Core) configuredReserve() slots.Reserve { return slots.Reserve{Urgent: c.cfg.ReservedSlots} }

// predictedUrgentSlots returns the number of slots to keep free for further urgent
// tasks, estimated from how many ran or waited at a time recently.
func (c *Core) predictedUrgentSlots(now clock.Now, total int) int {
	return c.urgentConcurrency.SlotsToKeep(now.Mono, total, c.urgentRunning)
}

// mayTakeSlot reports whether a task of this class may take one of the free slots.
func (c *Core) mayTakeSlot(now clock.Now, class job.Class) bool {
	total := c.upstreams.slots()
	free := total - len(c.running)
	if class == job.Urgent || c.queue.Starved(class) {
		return free > 0
	}
	reserve := c.urgentActivity.Reserve(now.Mono, c.configuredReserve())
	return reserve.Admit(free, total, class) && free > c.predictedUrgentSlots(now, total)
}

// permission names an upstream on which a task may start, and the last monotonic time
// at which it may.
type permission struct {
	upstream *upstream
	notAfter time.Duration
}

// chooseUpstream returns the permitted upstream with the most free slots. If there
// is none, it returns RefusedBusy when a permitted upstream has no free slot, and
// otherwise a reason of the gate, RefusedWithdrawn or RefusedNoMatch.
func (c *Core) chooseUpstream(now clock.Now, t *task) (permission, message.RefuseReason) {
	var best permission
	reason := message.RefusedNoMatch
	for _, u := range c.upstreams.list {
		if u.withdrawn {
			if reason == message.RefusedNoMatch {
				reason = message.RefusedWithdrawn
			}
			continue
		}
		why, notAfter := c.cfg.Gate.Permit(now, t.start, Target{Upstream: u.name, Labels: u.labels})
		switch {
		case why != "":
			if reason == message.RefusedNoMatch || reason == message.RefusedWithdrawn {
				reason = why
			}
		case u.free() <= 0:
			reason = message.RefusedBusy
		case best.upstream == nil || u.free() > best.upstream.free():
			best = permission{upstream: u, notAfter: notAfter}
		}
	}
	if best.upstream != nil {
		return best, ""
	}
	return permission{}, reason
}

// isPermanent reports whether the task cannot start here even if it waits.
func isPermanent(reason message.RefuseReason) bool {
	return reason != "" && reason != message.RefusedBusy
}

// startTask emits the Command that starts t on the permitted upstream.
func (c *Core) startTask(now clock.Now, t *task, p permission) {
	c.cfg.Invariants.Check(t.state == queued && t.handle == 0, invariant.DuplicateStart,
		"task %s/%d/%d is started twice", t.start.ID, t.start.Attempt, t.start.Index)
	c.cfg.Invariants.Check(now.Mono <= p.notAfter, invariant.StaleStart,
		"task %s/%d is started at %v, but was permitted only until %v", t.start.ID, t.start.Index, now.Mono, p.notAfter)
	c.lastHandle++
	t.handle = c.lastHandle
	t.state = running
	t.upstream = p.upstream
	t.startedAt = now.Mono
	p.upstream.busy++
	c.running[t.handle] = t
	c.redirectBudget.Success()
	if t.start.Class == job.Urgent {
		c.urgentRunning++
	}
	c.observeUrgent(now)
	c.cfg.Faults.RecordSent(now.Mono, c.cfg.Self)
	c.out.Commands = append(c.out.Commands, Command{
		Handle:   t.handle,
		Upstream: p.upstream.name,
		Start:    t.start,
		Timeout:  t.deadline - now.Mono,
		NotAfter: p.notAfter,
	})
}

// dispatch starts queued tasks on free slots. A task goes back into the queue if
// none of its permitted upstreams has a free slot.
func (c *Core) dispatch(now clock.Now) {
	var blocked []*task
	for c.upstreams.slots() > len(c.running) {
		t, ok := c.queue.Pop(func(class job.Class) bool { return c.mayTakeSlot(now, class) })
		if !ok {
			break
		}
		if !c.dispatchOne(now, t) {
			blocked = append(blocked, t)
		}
	}
	for _, t := range blocked {
		if !c.push(now, t) {
			c.refuse(t, message.RefusedBusy, c.expectedWait(now, t.start.Class))
		}
	}
}

// dispatchOne starts or refuses a task that was removed from the queue. It reports
// false if the task must go back into the queue.
func (c *Core) dispatchOne(now clock.Now, t *task) bool {
	if t.deadline <= now.Mono {
		c.refuse(t, message.RefusedDeadline, 0)
		return true
	}
	if c.Quarantined(now) {
		c.refuse(t, message.RefusedBusy, 0)
		return true
	}
	p, reason := c.chooseUpstream(now, t)
	if reason == message.RefusedBusy {
		return false
	}
	if reason != "" {
		c.refuse(t, reason, 0)
		return true
	}
	c.admission.Observe(now.Mono, t.start.Class, now.Mono-t.queuedAt)
	c.startTask(now, t, p)
	return true
}
