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
func (c *Core) admit(now clock.Now, e *entry) {
	if c.draining {
		c.refuse(e, message.RefusedDraining, 0)
		return
	}
	if e.start.Timeout <= 0 {
		c.refuse(e, message.RefusedDeadline, 0)
		return
	}
	if c.Failing(now) {
		c.refuse(e, message.RefusedBusy, 0)
		return
	}
	c.demand.Observe(now.Mono, e.start.Class)
	p, reason := c.choose(now, e)
	if isPermanent(reason) {
		c.refuse(e, reason, 0)
		return
	}
	if reason == "" && c.admits(now, e.start.Class) {
		c.run(now, e, p)
		return
	}
	if c.redirectsUrgent(now, e) {
		c.refuse(e, message.RefusedBusy, 0)
		return
	}
	c.enqueue(now, e)
}

// redirectsUrgent reports whether e is urgent and has a free slot elsewhere.
// Such refusals are bounded to a share of the starts: when every executor is
// full, reports of free slots are out of date and refusals delay the tasks.
func (c *Core) redirectsUrgent(now clock.Now, e *entry) bool {
	if e.start.Class != job.Urgent || !c.cfg.Elsewhere.FreeElsewhere(now, e.start) {
		return false
	}
	return c.redirects.Take()
}

// enqueue makes e wait unless the admission policy refuses it. What it displaces
// has not started and is refused.
func (c *Core) enqueue(now clock.Now, e *entry) {
	wait := c.expectedWait(now, e.start.Class)
	c.admission.SetFloor(c.service.Mean() / time.Duration(max(1, c.upstreams.slots())))
	decision := c.admission.Admit(now.Mono, admission.Request{
		Class: e.start.Class, Timeout: e.deadline - now.Mono, Wait: wait, Service: c.service.LowQuantile(),
	})
	if !decision.OK {
		c.refuse(e, message.RefusedBusy, decision.RetryAfter)
		return
	}
	e.queuedAt = now.Mono
	if !c.push(now, e) {
		c.refuse(e, message.RefusedBusy, wait)
		return
	}
	c.observeUrgent(now)
}

// observeUrgent notes how many urgent tasks run and wait.
func (c *Core) observeUrgent(now clock.Now) {
	c.urgent.Set(now.Mono, c.urgentRunning+c.queue.LenClass(job.Urgent))
}

// push puts e into the queue. It reports false when the queue is full.
func (c *Core) push(now clock.Now, e *entry) bool {
	pushed := c.queue.Push(e, e.start.Class, e.deadline)
	e.waits = pushed.Handle
	for _, evicted := range pushed.Evicted {
		c.refuse(evicted, message.RefusedBusy, c.expectedWait(now, evicted.start.Class))
	}
	return pushed.OK
}

// expectedWait estimates the time until a task of class queued now would start.
func (c *Core) expectedWait(now clock.Now, class job.Class) time.Duration {
	usable := c.upstreams.slots()
	if class != job.Urgent {
		usable -= max(c.reserve().ReservedSlots(usable), c.raised(now, usable))
	}
	return c.service.Wait(c.queue.CountAhead(class), len(c.running), usable)
}

func (c *Core) reserve() slots.Reserve { return slots.Reserve{Urgent: c.cfg.ReservedSlots} }

// raised returns the number of slots to keep for the urgent tasks that the
// observed ones let expect.
func (c *Core) raised(now clock.Now, total int) int {
	return c.urgent.SlotsToKeep(now.Mono, total, c.urgentRunning)
}

// admits reports whether the class may take one of the free slots.
func (c *Core) admits(now clock.Now, class job.Class) bool {
	total := c.upstreams.slots()
	free := total - len(c.running)
	if class == job.Urgent || c.queue.Starved(class) {
		return free > 0
	}
	reserve := c.demand.Reserve(now.Mono, c.reserve())
	return reserve.Admit(free, total, class) && free > c.raised(now, total)
}

// permission is a place where a task may start and until when.
type permission struct {
	upstream *upstream
	notAfter time.Duration
}

// choose returns the permitted upstream with the most free slots. Without one
// it returns RefusedBusy when a permitted upstream has no free slot, or the
// gate's reason.
func (c *Core) choose(now clock.Now, e *entry) (permission, message.RefuseReason) {
	var best permission
	reason := message.RefusedNoMatch
	for _, u := range c.upstreams.list {
		if u.withdrawn {
			if reason == message.RefusedNoMatch {
				reason = message.RefusedWithdrawn
			}
			continue
		}
		why, notAfter := c.cfg.Gate.Permit(now, e.start, Place{Upstream: u.name, Labels: u.labels})
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

// isPermanent reports whether waiting at this executor cannot help.
func isPermanent(reason message.RefuseReason) bool {
	return reason != "" && reason != message.RefusedBusy
}

// run starts e on the permitted upstream.
func (c *Core) run(now clock.Now, e *entry, p permission) {
	c.cfg.Invariants.Check(e.state == queued && e.handle == 0, invariant.DuplicateStart,
		"task %s/%d/%d", e.start.ID, e.start.Attempt, e.start.Index)
	c.cfg.Invariants.Check(now.Mono <= p.notAfter, invariant.StaleStart,
		"task %s/%d started at %v, permitted until %v", e.start.ID, e.start.Index, now.Mono, p.notAfter)
	c.lastHandle++
	e.handle = c.lastHandle
	e.state = running
	e.upstream = p.upstream
	e.startedAt = now.Mono
	p.upstream.busy++
	c.running[e.handle] = e
	c.redirects.Success()
	if e.start.Class == job.Urgent {
		c.urgentRunning++
	}
	c.observeUrgent(now)
	c.cfg.Faults.RecordSent(now.Mono, c.cfg.Self)
	c.out.Commands = append(c.out.Commands, Command{
		Handle:   e.handle,
		Upstream: p.upstream.name,
		Start:    e.start,
		Timeout:  e.deadline - now.Mono,
		NotAfter: p.notAfter,
	})
}

// dispatch fills free slots from the queue. A task that no permitted upstream
// has a slot for goes back.
func (c *Core) dispatch(now clock.Now) {
	var blocked []*entry
	for c.upstreams.slots() > len(c.running) {
		e, ok := c.queue.Pop(func(class job.Class) bool { return c.admits(now, class) })
		if !ok {
			break
		}
		if !c.dispatchOne(now, e) {
			blocked = append(blocked, e)
		}
	}
	for _, e := range blocked {
		if !c.push(now, e) {
			c.refuse(e, message.RefusedBusy, c.expectedWait(now, e.start.Class))
		}
	}
}

// dispatchOne starts or refuses a task that was taken from the queue. It reports
// false when the task has to go back.
func (c *Core) dispatchOne(now clock.Now, e *entry) bool {
	if e.deadline <= now.Mono {
		c.refuse(e, message.RefusedDeadline, 0)
		return true
	}
	if c.Failing(now) {
		c.refuse(e, message.RefusedBusy, 0)
		return true
	}
	p, reason := c.choose(now, e)
	if reason == message.RefusedBusy {
		return false
	}
	if reason != "" {
		c.refuse(e, reason, 0)
		return true
	}
	c.admission.Observe(now.Mono, e.start.Class, now.Mono-e.queuedAt)
	c.run(now, e, p)
	return true
}
