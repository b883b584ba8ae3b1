package executor

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
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
	p, reason := c.choose(now, e)
	if reason != "" && reason != message.RefusedBusy {
		c.refuse(e, reason, 0)
		return
	}
	if reason == "" && c.admits(e.start.Class) {
		c.run(now, e, p)
		return
	}
	c.enqueue(now, e)
}

// enqueue makes e wait unless it could not make its deadline.
func (c *Core) enqueue(now clock.Now, e *entry) {
	wait := c.expectedWait()
	if now.Mono+wait >= e.deadline {
		c.refuse(e, message.RefusedBusy, wait)
		return
	}
	if !c.queue.push(e) {
		c.refuse(e, message.RefusedBusy, wait)
	}
}

// expectedWait estimates the time until a task queued now would start.
func (c *Core) expectedWait() time.Duration {
	slots := c.upstreams.slots()
	if slots == 0 {
		return 0
	}
	ahead := time.Duration(c.queue.len() + 1)
	return c.service.mean * ahead / time.Duration(slots)
}

// admits reports whether the class may take one of the free slots.
func (c *Core) admits(class job.Class) bool {
	if class == job.Urgent {
		return true
	}
	slots := c.upstreams.slots()
	reserved := min(c.cfg.ReservedSlots, slots-1)
	return slots-len(c.running) > reserved
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
	c.out.Commands = append(c.out.Commands, Command{
		Handle:   e.handle,
		Upstream: p.upstream.name,
		Start:    e.start,
		Timeout:  e.deadline - now.Mono,
		NotAfter: p.notAfter,
	})
}

// dispatch fills free slots from the queue.
func (c *Core) dispatch(now clock.Now) {
	for range c.queue.len() {
		if c.upstreams.slots() <= len(c.running) {
			return
		}
		e := c.queue.pop(c.admits)
		if e == nil {
			return
		}
		c.dispatchOne(now, e)
	}
}

func (c *Core) dispatchOne(now clock.Now, e *entry) {
	if e.deadline <= now.Mono {
		c.refuse(e, message.RefusedDeadline, 0)
		return
	}
	p, reason := c.choose(now, e)
	switch {
	case reason == "":
		c.run(now, e, p)
	case isPermanent(reason):
		c.refuse(e, reason, 0)
	case !c.queue.push(e):
		c.refuse(e, reason, c.expectedWait())
	}
}
