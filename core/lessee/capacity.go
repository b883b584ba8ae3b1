package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// raiseSteps is the divisor of the first step by which a lowered estimate is raised. Each
// further step is twice as large, so that four announcements restore the whole announced
// capacity: 6 s, as upstreams announce themselves every 1.5 s. An upstream whose capacity
// stays reduced refuses about one start for each announcement: a step is 4 of 32 cores, and
// tasks need 3 to 5.
const raiseSteps = 8

// capacityEstimate is the state from which the usable capacity of the upstream is estimated.
// The announced capacity may exceed the capacity in force: announcements are up to 1.5 s old,
// and an upstream may announce more than it provides. The estimate is lowered by each refused
// start. Announcements of the same capacity raise it in steps; one of another capacity
// replaces it.
type capacityEstimate struct {
	// announced is the capacity in the last announcement.
	announced message.Resources
	// refusedAt is the upstream's clock when it last refused a start for lack of capacity.
	refusedAt time.Duration
	// step is the next step up in units of announced/raiseSteps.
	step int
	// unreported is set when the usable capacity was lowered in the current Step.
	unreported bool
}

// lowerCapacity lowers the usable capacity to what is in use without r, since the upstream
// has refused to start r for lack of capacity. The refusal does not tell which resource was
// short; a resource that r does not need was not. Runs that have started are not affected.
func (c *Core) lowerCapacity(r *run, clock time.Duration) {
	c.startsRefused++
	if !c.cfg.LearnCapacity {
		return
	}
	u := &c.upstream
	u.estimate.refusedAt = max(u.estimate.refusedAt, clock)
	u.estimate.step = 1
	inUse := c.used.Sub(r.demand)
	lowered := message.Resources{
		MilliCPU:     lowerTo(u.capacity.MilliCPU, inUse.MilliCPU, r.demand.MilliCPU),
		MemoryMB:     lowerTo(u.capacity.MemoryMB, inUse.MemoryMB, r.demand.MemoryMB),
		Accelerators: lowerTo(u.capacity.Accelerators, inUse.Accelerators, r.demand.Accelerators),
	}
	if lowered == u.capacity {
		return
	}
	u.capacity = lowered
	c.logCapacity("capacity_lowered")
	c.capacityChanged()
	u.estimate.unreported = true
}

// reportLoweredCapacity notifies the dispatchers that have runs or waiting tasks here of a
// lowered capacity. The others rarely send offers before their next periodic report.
func (c *Core) reportLoweredCapacity() {
	if !c.upstream.estimate.unreported {
		return
	}
	c.upstream.estimate.unreported = false
	for _, h := range c.holderOrder {
		waits := h.firstWaiting != nil && c.now.Mono < h.waitingExpiresAt
		if h.reportedVersion != c.capacityVersion && (h.unfinished > 0 || waits) {
			c.sendHeartbeat(h)
		}
	}
}

// lowerTo returns the lower of capacity and inUse for a resource that the refused run needs,
// and capacity for any other.
func lowerTo(capacity, inUse, demand int) int {
	if demand == 0 {
		return capacity
	}
	return min(capacity, inUse)
}

// takeCapacity applies the capacity in an announcement and reports whether the announced
// capacity has changed. An announcement that the upstream sent before it refused a start does
// not raise the usable capacity.
func (c *Core) takeCapacity(a Announcement) bool {
	u := &c.upstream
	e := &u.estimate
	resized, outdated := a.Capacity != e.announced, a.Clock < e.refusedAt
	e.announced = a.Capacity
	previous := u.capacity
	switch {
	case resized && !outdated:
		u.capacity, e.step = a.Capacity, 0
	case outdated:
		u.capacity = combine(u.capacity, a.Capacity, minInt)
	case u.capacity != a.Capacity:
		u.capacity = combine(u.capacity, a.Capacity, func(usable, announced int) int {
			return min(announced, usable+(announced*e.step+raiseSteps-1)/raiseSteps)
		})
		e.step *= 2
	}
	if u.capacity != previous && !resized {
		c.capacityChanged()
		c.logCapacity("capacity_raised")
	}
	return resized
}

// unusable returns the announced capacity that the upstream is estimated not to provide.
func (c *Core) unusable() message.Resources {
	return c.upstream.estimate.announced.Sub(c.upstream.capacity)
}

func (c *Core) logCapacity(event string) {
	c.logEvent(event, "", "upstream", c.upstream.id, "usable_mcpu", c.upstream.capacity.MilliCPU,
		"announced_mcpu", c.upstream.estimate.announced.MilliCPU, "used_mcpu", c.used.MilliCPU, "step", c.upstream.estimate.step)
}

func minInt(a, b int) int { return min(a, b) }

// combine applies f to each resource of a and b.
func combine(a, b message.Resources, f func(a, b int) int) message.Resources {
	return message.Resources{MilliCPU: f(a.MilliCPU, b.MilliCPU), MemoryMB: f(a.MemoryMB, b.MemoryMB), Accelerators: f(a.Accelerators, b.Accelerators)}
}
