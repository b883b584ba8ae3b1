package lessee

import "github.com/dogwoodgauge/dogwoodgauge/core/policy/recent"

// maxToldCancels limits the cancelled jobs that a heartbeat lists.
const maxToldCancels = 64

// handleCancelled records the jobs that a dispatcher has cancelled, and passes them on to the
// other dispatchers: at once, or with the next heartbeats if the dispatcher has listed them for
// an agent that is new to it. Offers of their tasks are refused from now on.
func (c *Core) handleCancelled(from *leaseHolder, ids []string, listed bool) {
	if len(ids) == 0 {
		return
	}
	var added []string
	for _, id := range ids {
		isNew, forgotten := c.cancelled.Add(c.now.Mono, id)
		if forgotten != "" {
			c.cancelsForgotten++
			c.logEvent("cancel_forgotten", forgotten, "limit", recent.MaxJobs)
		}
		if isNew {
			c.logEvent("cancel_passed_on", id, "from", from.ref.String(), "dispatchers", len(c.holderOrder)-1)
			added = append(added, id)
		}
	}
	if len(added) == 0 {
		return
	}
	for _, h := range c.holderOrder {
		if h != from {
			h.untoldCancels = append(h.untoldCancels, added...)
			if !listed {
				c.sendHeartbeat(h)
			}
		}
	}
}

// takeUntoldCancels returns the cancelled jobs that the next heartbeat to h lists.
func (h *leaseHolder) takeUntoldCancels() []string {
	n := min(len(h.untoldCancels), maxToldCancels)
	list := h.untoldCancels[:n:n]
	h.untoldCancels = h.untoldCancels[n:]
	if len(h.untoldCancels) > recent.MaxJobs {
		h.untoldCancels = h.untoldCancels[len(h.untoldCancels)-recent.MaxJobs:]
	}
	return list
}
