package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

// witnessed is an offer of another dispatcher of which a start call got no answer. This process
// holds its job if the agent may have ended: the other dispatcher may have been lost with it.
type witnessed struct {
	latestart.Key
	offer uint64
}

// recordWitnessed records what an agent states of its own runs for other dispatchers, and returns
// the other statements of the list.
func (c *Core) recordWitnessed(a *agent, list []message.LateStart) []message.LateStart {
	var others []message.LateStart
	for _, l := range list {
		if !l.Agent.IsZero() {
			others = append(others, l)
			continue
		}
		h := l.Received(c.now.Mono, lease.LateStartExpiry)
		h.Agent = a.ref
		w := witnessed{h.Key, h.Offer}
		if h.Released {
			delete(a.witnessed, w)
			continue
		}
		if a.witnessed == nil {
			a.witnessed = make(map[witnessed]latestart.Hold)
		}
		a.witnessed[w] = h
	}
	return others
}

// announceWitnessed holds the jobs of the offers that an agent has stated before it may have ended,
// and tells the other dispatchers.
func (c *Core) announceWitnessed(a *agent) {
	list := slices.SortedFunc(maps.Values(a.witnessed), func(x, y latestart.Hold) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Dispatcher.String(), y.Dispatcher.String()), cmp.Compare(x.Offer, y.Offer))
	})
	clear(a.witnessed)
	for _, h := range list {
		if c.learnHold(a, h) {
			c.announcements.enqueue(c.now.Mono, notice{hold: h})
		}
	}
}

// expireWitnessed forgets the offers whose start calls are too old to be executed.
func (c *Core) expireWitnessed(a *agent) {
	maps.DeleteFunc(a.witnessed, func(_ witnessed, h latestart.Hold) bool { return c.now.Mono > h.ExpiresAt })
}
