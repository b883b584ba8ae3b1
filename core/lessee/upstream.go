package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/retry"
)

type phase uint8

const (
	// absent: no upstream is known, or it has ended.
	absent phase = iota
	// probing: the upstream may have runs that the lessee must stop before it accepts new
	// ones: runs that an earlier incarnation of the agent left, orphaned runs, or runs
	// reported as lost while the upstream was unresponsive.
	probing
	// open: every run at the upstream is known, and new runs can start.
	open
)

// upstreamState is the state of one incarnation of the agent's local upstream.
type upstreamState struct {
	phase phase
	// discoveredAt is when the agent first learned of this incarnation.
	discoveredAt time.Duration
	id           string
	incarnation  int64
	seq          int64
	service      string
	domain       string
	labels       []string
	// capacity is the usable capacity: what estimate makes of the announced one.
	capacity message.Resources
	estimate capacityEstimate
	draining bool
	// announced is set once an announcement of this incarnation was received or restored;
	// lastAnnouncedAt is when that last happened.
	announced       bool
	lastAnnouncedAt time.Duration
	// refuted is set once a poll has shown that the upstream is in another incarnation than the
	// announced one.
	refuted bool
	// clock is the upstream's clock as of clockAt, in its answers. An announcement may come
	// from another writer; a wrong clock would make a lease too long.
	clock   time.Duration
	clockAt time.Duration

	// processedUpTo is the CompletedRun.Number of the last processed completion, and
	// acknowledgedUpTo the last that an answered poll has acknowledged.
	processedUpTo, acknowledgedUpTo int64
	// nextProbeAt is when the next poll is due in phase probing.
	nextProbeAt time.Duration
	// longPollInFlight and renewalInFlight are true while such a poll has no result.
	longPollInFlight, renewalInFlight bool
	// polls spaces out the polls in phase open while they fail.
	polls retry.Pacer
	// life holds the signs that the incarnation has ended, and suspectedAt is when the last
	// hint was seen.
	life        liveness.Incarnation
	suspectedAt time.Duration
	// withdrawn is set while no poll has refuted a withdrawal, and aliveAt is when the upstream
	// was last known to run before its port refused a connection.
	withdrawn bool
	aliveAt   time.Duration
	// lastRenewalSentAt is when the last renewal was sent, and lastAnsweredSentAt when the
	// latest answered poll was sent.
	lastRenewalSentAt, lastAnsweredSentAt time.Duration
	// leaseEnd is the end, on the upstream's clock, of the lease that the last extension asked
	// for, and leaseFrom when that was sent. leaseShortened is set if the lease was shortened by
	// more than maxShortening.
	leaseEnd, leaseFrom time.Duration
	leaseShortened      bool
	// openedAt is when phase open began.
	openedAt time.Duration
	// extensions holds the calls that may have extended the lease, answered or not.
	extensions extensions
}

// suspectAfter is the time without an answered poll after which the lessee no longer
// extends the upstream's lease. All runs there then end at a known time.
const suspectAfter = lease.UpstreamLease

// hasUnacknowledged reports whether the upstream may still list processed completions,
// since no answered poll has acknowledged them.
func (u *upstreamState) hasUnacknowledged() bool {
	return u.phase == open && u.processedUpTo > u.acknowledgedUpTo
}

// observeClock records the upstream's clock. It ignores a clock from an older answer that
// was received late.
func (u *upstreamState) observeClock(clock, now time.Duration) {
	if clock > u.clock {
		u.clock, u.clockAt = clock, now
	}
}

// handleAnnouncement applies an announcement, unless a newer one has been applied before.
func (c *Core) handleAnnouncement(a Announcement) {
	u := &c.upstream
	switch {
	case c.isLate(a):
		c.logEvent("announcement_late", "", "upstream", a.ID, "born", a.Incarnation, "seq", a.Seq, "known_born", u.incarnation, "known_seq", u.seq)
		return
	case a.Incarnation == u.incarnation && a.ID == u.id:
		if u.phase == absent {
			c.beginIncarnation(a)
		}
	default:
		c.orphanRuns("a newer incarnation has announced itself")
		c.beginIncarnation(a)
	}
	c.applyAnnouncement(a)
	if key := announcementKeyOf(a); !a.Draining && key != c.lastPersisted {
		c.lastPersisted = key
		c.out = append(c.out, PersistAnnouncement{Announcement: a})
	}
}

// isLate reports whether a newer announcement was applied before. What only an announcement
// states may be false: it no longer counts once a poll has refuted it, or when it has been
// the last one applied for announcementTTL.
func (c *Core) isLate(a Announcement) bool {
	u := &c.upstream
	outdated := c.now.Mono-u.lastAnnouncedAt > announcementTTL
	if a.Incarnation == u.incarnation && a.ID == u.id {
		return a.Seq <= u.seq && !outdated
	}
	unproven := u.phase == probing && (u.refuted || outdated)
	return u.phase != absent && a.Incarnation < u.incarnation && !unproven
}

// beginIncarnation starts to probe an incarnation of the upstream. Its runs, if any, are
// not known yet; the lessee does not extend their lease.
func (c *Core) beginIncarnation(a Announcement) {
	// The higher token makes the upstream refuse earlier calls that reach it late.
	c.token++
	processedUpTo := int64(0)
	if a.ID == c.upstream.id && a.Incarnation == c.upstream.incarnation {
		processedUpTo = c.upstream.processedUpTo
	}
	c.upstream = upstreamState{
		discoveredAt: c.now.Mono, lastAnnouncedAt: c.now.Mono,
		phase: probing, id: a.ID, incarnation: a.Incarnation, clockAt: c.now.Mono, nextProbeAt: c.now.Mono,
		processedUpTo: processedUpTo, acknowledgedUpTo: processedUpTo,
		polls: c.newPacer(),
	}
	c.logEvent("upstream_announced", "", "upstream", a.ID, "born", a.Incarnation, "service", a.Service, "capacity_mcpu", a.Capacity.MilliCPU)
}

func (c *Core) applyAnnouncement(a Announcement) {
	u := &c.upstream
	if a.Draining != u.draining {
		c.logEvent("upstream_draining", "", "upstream", a.ID, "draining", a.Draining)
	}
	resized := c.takeCapacity(a)
	if u.service != a.Service || resized || u.domain != a.Domain || !slices.Equal(u.labels, a.Labels) {
		c.infoVersion++
		c.capacityChanged()
	}
	if u.draining != a.Draining {
		c.capacityChanged()
	}
	u.seq, u.service, u.domain, u.labels = a.Seq, a.Service, a.Domain, a.Labels
	u.draining, u.announced, u.lastAnnouncedAt = a.Draining, true, c.now.Mono
}

// handleWithdrawal handles a withdrawal. It names no incarnation, so that an earlier one may
// have sent it: polls decide.
func (c *Core) handleWithdrawal(id string) {
	if id != c.upstream.id || c.upstream.phase == absent {
		return
	}
	c.upstream.withdrawn = true
	if !c.upstream.refuses() {
		c.suspectUpstream(liveness.Withdrawn)
	}
}

// handleUpstreamEnd forgets an upstream that has not been heard of in time, and reports the
// runs that were kept as lost.
func (c *Core) handleUpstreamEnd(why string) {
	if c.upstream.phase == absent {
		return
	}
	c.upstream.phase = absent
	c.upstream.longPollInFlight, c.upstream.renewalInFlight = false, false
	c.capacityChanged()
	c.logEvent("upstream_ended", "", "upstream", c.upstream.id, "born", c.upstream.incarnation, "why", why, "runs", len(c.runs))
	c.reportLost("")
}

// reportLost reports all runs that are not orphaned as lost, in phase absent also those of which
// no start call may be executed late.
func (c *Core) reportLost(reason message.RefuseReason) {
	c.reportCrashes()
	for _, h := range c.holderOrder {
		for _, r := range c.unfinishedRuns(h) {
			if !r.orphaned || c.upstream.phase == absent && !r.mayStartLate() {
				c.completeRun(r, message.RunLost, reason, 0)
			}
		}
	}
}

// unfinishedRuns returns the runs that have not completed: first the live ones, then those
// being stopped.
func (c *Core) unfinishedRuns(h *leaseHolder) []*run {
	return append(c.liveRuns(h), c.stoppingRuns(h)...)
}

// sendDueCalls sends the polls and stop calls that are due.
func (c *Core) sendDueCalls() {
	u := &c.upstream
	if u.phase != open {
		c.completeOrphans(false)
	}
	switch u.phase {
	case probing:
		if c.now.Mono-max(u.lastAnnouncedAt, u.lastAnsweredSentAt) > announcementTTL {
			c.handleUpstreamEnd("no announcement or answer received in time")
			return
		}
		if !u.renewalInFlight && c.now.Mono >= u.nextProbeAt {
			u.nextProbeAt = c.now.Mono + probeInterval
			c.poll(true)
		}
	case open:
		c.sendDueCallsOpen()
	}
}

func (c *Core) sendDueCallsOpen() {
	u := &c.upstream
	if c.now.Mono-u.lastAnnouncedAt > announcementTTL && len(c.runs) == 0 {
		c.handleUpstreamEnd("no announcement received in time")
		return
	}
	if c.runsExpired() {
		c.handleExpiredRuns()
		return
	}
	if !u.renewalInFlight && c.now.Mono >= c.nextRenewalAt() {
		c.poll(true)
	}
	if c.wantsLongPoll() && c.now.Mono >= u.polls.DueAt() {
		c.poll(false)
	}
	for _, h := range c.holderOrder {
		for _, r := range c.stoppingRuns(h) {
			if c.now.Mono-r.lastStopSentAt > lease.RenewalInterval {
				c.callStop(r)
			}
		}
	}
}

// wantsLongPoll reports whether a long poll is sent as soon as the pause after failures has
// passed.
func (c *Core) wantsLongPoll() bool {
	u := &c.upstream
	return u.phase == open && !u.longPollInFlight && !u.failing() && !u.refuses() && (len(c.runs) > 0 || u.hasUnacknowledged())
}

// upstreamSilent reports whether the upstream has answered no poll for longer than
// suspectAfter, and its oldest run is older than that too: while there are no runs, the
// lessee sends no renewals. It does not extend the lease of a silent upstream.
func (c *Core) upstreamSilent() bool {
	return c.now.Mono-c.upstream.lastAnsweredSentAt > suspectAfter && c.oldestRunAge() > suspectAfter
}

// oldestRunAge returns the age of the oldest run that has not completed.
func (c *Core) oldestRunAge() time.Duration {
	var age time.Duration
	for _, r := range c.runs {
		age = max(age, c.now.Mono-r.startedAt)
	}
	return age
}
