package lessee

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

// maxToldHolds limits the holds that a heartbeat lists.
const maxToldHolds = 32

// handleLateStarts records the jobs that a dispatcher holds, or no longer, and passes them on to the
// other dispatchers: at once, or with the next heartbeats if the dispatcher has listed them for
// an agent that is new to it.
func (c *Core) handleLateStarts(from *leaseHolder, list []message.LateStart, listed bool) {
	var news []latestart.Hold
	for _, l := range list {
		h := l.Received(c.now.Mono, lease.LateStartExpiry)
		changed, forgotten := c.holds.Update(c.now.Mono, h)
		if forgotten != nil {
			c.holdsForgotten++
			c.logEvent("hold_forgotten", forgotten.Job, "agent", forgotten.Agent.String(), "limit", latestart.MaxHolds)
		}
		if changed {
			c.logEvent("hold_passed_on", h.Job, "from", from.ref.String(), "released", h.Released, "dispatchers", len(c.holderOrder)-1)
			news = append(news, h)
		}
	}
	if len(news) == 0 {
		return
	}
	for _, h := range c.holderOrder {
		if h != from {
			h.untoldHolds = append(h.untoldHolds, news...)
			if !listed {
				c.sendHeartbeat(h)
			}
		}
	}
}

// takeUntoldHolds returns the holds that the next heartbeat to h lists.
func (c *Core) takeUntoldHolds(h *leaseHolder) []message.LateStart {
	n := min(len(h.untoldHolds), maxToldHolds)
	var list []message.LateStart
	for _, hold := range h.untoldHolds[:n] {
		if c.now.Mono < hold.ExpiresAt && hold.Dispatcher != h.ref {
			list = append(list, message.NewLateStart(c.now.Mono, hold))
		}
	}
	h.untoldHolds = h.untoldHolds[n:]
	if extra := len(h.untoldHolds) - latestart.MaxHolds; extra > 0 {
		h.untoldHolds = h.untoldHolds[extra:]
	}
	return list
}
