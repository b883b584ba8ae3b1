package lessee

import (
	"cmp"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// turnTime is how long room that is short is kept for one dispatcher: a round trip
	// between failure domains and the time of a busy process, against tasks of 60 ms and
	// more.
	turnTime = 12 * time.Millisecond
	// passTime is how long a dispatcher that has not used its turn gets no other, unless
	// there is more room or it says again that tasks wait.
	passTime = 100 * time.Millisecond
)

// turn keeps room that is short for one dispatcher at a time. If all whose tasks wait
// heard of freed room at once, all but one of their offers would be refused, and the
// dispatchers on the slowest hosts would always come too late.
type turn struct {
	holder *owner
	until  time.Duration
	// free is the room that there was when the turn began.
	free message.Resources
}

// waits reports whether tasks of a dispatcher wait that would fit into free.
func (c *Core) waits(o *owner, free message.Resources) bool {
	if o.waiting == nil || c.now.Mono >= o.waitingUntil || !o.waiting.Demand.Fits(free) {
		return false
	}
	return c.now.Mono >= o.passedUntil || !free.Fits(o.passedFree)
}

// passTurn ends a turn that is over, and gives the next: to the dispatcher with the
// most urgent task that waits, and among equals to the one whose last turn is longest
// ago. It returns whether there is a new holder.
func (c *Core) passTurn() bool {
	free := c.life.capacity.Sub(c.used)
	if h := c.turn.holder; h != nil {
		switch {
		case h.offered:
		case c.now.Mono >= c.turn.until:
			h.passedUntil, h.passedFree = c.now.Mono+passTime, c.turn.free
		case c.waits(h, free):
			return false
		}
		c.endTurn()
	}
	if c.refusal() != "" {
		return false
	}
	var next *owner
	for _, o := range c.order {
		if c.waits(o, free) && (next == nil || compareWaiting(o, next) < 0) {
			next = o
		}
	}
	if next == nil {
		return false
	}
	next.turnAt, next.offered = c.now.Mono, false
	c.turn = turn{holder: next, until: c.now.Mono + turnTime, free: free}
	return true
}

func compareWaiting(a, b *owner) int {
	return cmp.Or(cmp.Compare(a.waiting.Priority, b.waiting.Priority), cmp.Compare(a.turnAt, b.turnAt))
}

// endTurn ends the present turn. The others are to hear of the room again.
func (c *Core) endTurn() {
	c.turn = turn{}
	c.changed()
}

// usedFor returns what of the upstream a dispatcher is told to be in use: all of it
// while its tasks wait and the rest is kept for another. One that has no task waiting
// rarely wants the same room, and is told the truth.
func (c *Core) usedFor(o *owner) message.Resources {
	if c.turn.holder == nil || c.turn.holder == o || o.waiting == nil || c.now.Mono >= o.waitingUntil {
		return c.used
	}
	return c.life.capacity
}
