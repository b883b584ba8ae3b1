package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// askPause is the pause between two rounds in which all agents are told what waits:
	// half of an agent's own pause between beats.
	askPause = lease.HeartbeatInterval / 2
	// urgentAgents is how many agents are asked at once when a more urgent task than the
	// last one told has to wait, and urgentPause the pause between two such rounds. At
	// fleets of 60 workers and more as many free some room every 3 ms.
	urgentAgents = 8
	urgentPause  = 10 * time.Millisecond
	// leastUrgent is behind every priority.
	leastUrgent = math.MaxInt
)

// firstWaiting describes the first task that waits for room, if any.
func (c *Core) firstWaiting() *message.WaitingTask {
	for _, j := range c.waiting {
		if i := slices.IndexFunc(j.tasks, func(t *task) bool { return t.state == unplaced }); i >= 0 {
			return &message.WaitingTask{Priority: j.spec.Route.Priority, Demand: j.tasks[i].kind().Demand}
		}
	}
	return nil
}

// askForRoom tells the agents that tasks wait, so that they report freed room at
// once. Between two rounds some are told of a task that is more urgent than the last.
func (c *Core) askForRoom() {
	first := c.firstWaiting()
	if first == nil {
		c.askedPriority = leastUrgent
		return
	}
	switch {
	case c.now.Mono >= c.askAt:
		c.askAt = c.now.Mono + askPause
		for _, a := range c.order {
			if c.usable(a) {
				c.beatTo(a)
			}
		}
	case first.Priority < c.askedPriority && c.now.Mono >= c.urgentAt:
		c.askSome()
	default:
		return
	}
	c.askedPriority = first.Priority
	c.urgentAt = c.now.Mono + urgentPause
}

// askSome tells the next agents in turn.
func (c *Core) askSome() {
	told := 0
	for range c.order {
		if told == urgentAgents {
			return
		}
		c.askNext = (c.askNext + 1) % len(c.order)
		if a := c.order[c.askNext]; c.usable(a) {
			c.beatTo(a)
			told++
		}
	}
}
