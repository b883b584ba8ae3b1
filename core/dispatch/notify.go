package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// notifyAllInterval is the pause between two rounds in which all agents are notified
	// of waiting tasks: half of the interval between an agent's heartbeats.
	notifyAllInterval = lease.HeartbeatInterval / 2
	// urgentNotifyCount is how many agents are notified at once of a waiting task that is
	// more urgent than the last one they were notified of. In fleets of 60 or more workers,
	// about that many workers free some capacity every 3 ms. urgentNotifyInterval is the
	// pause between two such rounds.
	urgentNotifyCount    = 8
	urgentNotifyInterval = 10 * time.Millisecond
	// leastUrgent is less urgent than the priority of any route.
	leastUrgent = math.MaxInt
)

// firstWaiting describes the first task that waits for capacity. It returns nil if there
// is none.
func (c *Core) firstWaiting() *message.WaitingTask {
	for _, j := range c.waiting {
		if i := slices.IndexFunc(j.tasks, func(t *task) bool { return t.state == unplaced }); i >= 0 {
			return &message.WaitingTask{Priority: j.spec.Route.Priority, Demand: j.tasks[i].stepSpec().Demand}
		}
	}
	return nil
}

// notifyWaiting notifies the agents of waiting tasks, so that they report freed capacity
// at once. Between two rounds to all agents, it notifies some of them of a task that is
// more urgent than the last one.
func (c *Core) notifyWaiting() {
	first := c.firstWaiting()
	if first == nil {
		c.notifiedPriority = leastUrgent
		return
	}
	switch {
	case c.now.Mono >= c.notifyAllAt:
		c.notifyAllAt = c.now.Mono + notifyAllInterval
		for _, a := range c.sortedAgents {
			if c.usable(a) {
				c.sendHeartbeat(a)
			}
		}
	case first.Priority < c.notifiedPriority && c.now.Mono >= c.notifyUrgentAt:
		c.notifyNextAgents()
	default:
		return
	}
	c.notifiedPriority = first.Priority
	c.notifyUrgentAt = c.now.Mono + urgentNotifyInterval
}

// notifyNextAgents notifies the next urgentNotifyCount usable agents, in round-robin
// order.
func (c *Core) notifyNextAgents() {
	notified := 0
	for range c.sortedAgents {
		if notified == urgentNotifyCount {
			return
		}
		c.notifyIndex = (c.notifyIndex + 1) % len(c.sortedAgents)
		if a := c.sortedAgents[c.notifyIndex]; c.usable(a) {
			c.sendHeartbeat(a)
			notified++
		}
	}
}
