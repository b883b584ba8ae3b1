package lessee

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

// announcementKey holds the fields of an announcement whose change makes the agent
// persist it again.
type announcementKey struct {
	id          string
	incarnation int64
	service     string
	domain      string
	capacity    message.Resources
}

func announcementKeyOf(a Announcement) announcementKey {
	return announcementKey{a.ID, a.Incarnation, a.Service, a.Domain, a.Capacity}
}

// restoreAnnouncement applies the announcement that an earlier incarnation of the agent has
// persisted, unless an upstream is already known. The first poll shows whether the upstream
// still runs and is in the same incarnation.
func (c *Core) restoreAnnouncement(a Announcement) {
	if c.upstream.phase != absent || c.upstream.id != "" {
		return
	}
	a.Seq, a.Clock = 0, 0
	c.lastPersisted = announcementKeyOf(a)
	c.beginIncarnation(a)
	c.applyAnnouncement(a)
	c.logEvent("upstream_remembered", "", "upstream", a.ID, "born", a.Incarnation)
}

// orphanRuns marks all runs as orphaned, since the upstream is in a newer incarnation. The
// runs of the previous incarnation have ended, but the newer one may have executed start
// calls that were sent to the previous one. The lessee therefore reports the runs as lost
// only when a poll shows that the newer incarnation runs nothing, or when none can be alive.
func (c *Core) orphanRuns(why string) {
	if c.upstream.phase == absent {
		return
	}
	c.capacityChanged()
	c.logEvent("upstream_changed", "", "upstream", c.upstream.id, "born", c.upstream.incarnation, "why", why, "runs", len(c.runs))
	if c.upstream.refuses() {
		c.recordCrash(liveness.Refused, c.upstream.suspectedAt, c.upstream.aliveAt)
	} else {
		c.recordCrash(liveness.Restarted, c.now.Mono, c.now.Mono)
	}
	c.upstream.life.Observe(c.now.Mono, liveness.Restarted)
	for _, h := range c.holderOrder {
		for _, r := range c.unfinishedRuns(h) {
			c.orphan(r, c.upstream.extensions.last()+lease.MaxUpstreamExpiry)
		}
	}
}

// orphan marks a run as orphaned until a time, or until a start call that got no answer can no
// longer be executed. That counts from now, when the upstream may have been called last.
func (c *Core) orphan(r *run, until time.Duration) {
	if r.mayStartLate() && !r.orphaned {
		until = max(until, c.now.Mono+lease.LateStartExpiry)
	}
	r.state, r.orphaned, r.orphanedUntil = stopping, true, max(r.orphanedUntil, until)
}

// completeOrphans reports the orphaned runs as lost: all, or those of which none can be alive any
// more.
func (c *Core) completeOrphans(all bool) {
	for _, h := range c.holderOrder {
		for _, r := range c.stoppingRuns(h) {
			if r.orphaned && (all || c.now.Mono > r.orphanedUntil) {
				c.completeRun(r, message.RunLost, message.LostUpstreamCrashed, 0)
			}
		}
	}
}

// nextOrphanExpiry returns when the next orphaned run can no longer be alive, or never.
func (c *Core) nextOrphanExpiry() time.Duration {
	at := never
	for _, r := range c.runs {
		if r.orphaned {
			at = min(at, r.orphanedUntil+time.Millisecond)
		}
	}
	return at
}
