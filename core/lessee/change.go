package lessee

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// note is what of an announcement is worth noting anew when it changes.
type note struct {
	id       string
	born     int64
	service  string
	domain   string
	capacity message.Resources
}

func noteOf(a Announcement) note { return note{a.ID, a.Incarnation, a.Service, a.Domain, a.Capacity} }

// remembered takes up the upstream of an earlier run, unless one is known already. The
// first look shows whether it lives and is still in the same life.
func (c *Core) remembered(a Announcement) {
	if c.life.phase != absent || c.life.id != "" {
		return
	}
	a.Seq, a.Clock = 0, 0
	c.noted = noteOf(a)
	c.begin(a)
	c.update(a)
	c.logEvent("upstream_remembered", "", "upstream", a.ID, "born", a.Incarnation)
}

// lifeChanged notes that the upstream has begun another life. Its runs have ended, but
// calls that were meant for the former life may have been carried out in the new one:
// until that is known to run nothing, nothing is said of them.
func (c *Core) lifeChanged(why string) {
	if c.life.phase == absent {
		return
	}
	c.changed()
	c.logEvent("upstream_changed", "", "upstream", c.life.id, "born", c.life.born, "why", why, "runs", len(c.runs))
	for _, o := range c.order {
		for _, r := range o.open() {
			r.state, r.stray = stopping, true
		}
	}
	c.strayUntil = c.life.extendedAt + lease.MaxUpstreamExpiry
}

// endStrays reports the runs of a former life as lost.
func (c *Core) endStrays() {
	for _, o := range c.order {
		for _, r := range o.stopping() {
			if r.stray {
				c.finish(r, message.RunLost, "", 0)
			}
		}
	}
}
