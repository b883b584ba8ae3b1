package lessee

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
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
	// clock is the upstream's clock as of clockAt.
	clock   time.Duration
	clockAt time.Duration

	// processedUpTo is the CompletedRun.Number of the last processed completion, and
	// acknowledgedUpTo the last that an answered poll has acknowledged.
	processedUpTo, acknowledgedUpTo int64
	// nextProbeAt is when the next poll is due in phase probing.
	nextProbeAt time.Duration
	// longPollInFlight and renewalInFlight are true while such a poll has no result.
	longPollInFlight, renewalInFlight bool
	// lastRenewalSentAt is when the last renewal was sent, lastAnsweredSentAt when the
	// latest answered poll was sent, and lastExtensionSentAt when the last call was sent
	// that may have extended the lease, whether answered or not.
	lastRenewalSentAt, lastAnsweredSentAt, lastExtensionSentAt time.Duration
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

// extendLease returns the end, on the upstream's clock, of a lease that begins now. It
// records that a call which extends the lease is being sent.
func (c *Core) extendLease() time.Duration {
	c.upstream.lastExtensionSentAt = c.now.Mono
	return c.upstream.clock + c.now.Mono - c.upstream.clockAt + lease.UpstreamLease
}

// handleAnnouncement applies an announcement, unless a newer one has been applied before.
func (c *Core) handleAnnouncement(a Announcement) {
	u := &c.upstream
	switch {
	case u.phase != absent && a.Incarnation < u.incarnation, a.Incarnation == u.incarnation && a.ID == u.id && a.Seq <= u.seq:
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
		discoveredAt: c.now.Mono,
		phase:        probing, id: a.ID, incarnation: a.Incarnation, clock: a.Clock, clockAt: c.now.Mono, nextProbeAt: c.now.Mono,
		processedUpTo: processedUpTo, acknowledgedUpTo: processedUpTo,
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
	u.observeClock(a.Clock, c.now.Mono)
}

func (c *Core) handleWithdrawal(id string) {
	if id == c.upstream.id {
		c.handleUpstreamEnd("the upstream has withdrawn", "")
	}
}

// handleUpstreamEnd reports all runs as lost for this reason, since the upstream's
// incarnation has ended.
func (c *Core) handleUpstreamEnd(why string, reason message.RefuseReason) {
	if c.upstream.phase == absent {
		return
	}
	c.upstream.phase = absent
	c.upstream.longPollInFlight, c.upstream.renewalInFlight = false, false
	c.capacityChanged()
	c.logEvent("upstream_ended", "", "upstream", c.upstream.id, "born", c.upstream.incarnation, "why", why, "runs", len(c.runs))
	c.reportAllLost(reason)
}

// handleRefusedConnection handles the end of an upstream whose port refuses connections.
func (c *Core) handleRefusedConnection() {
	reason := c.recordCrash(c.now.Mono)
	c.handleUpstreamEnd("its port refused a connection", reason)
}

func (c *Core) reportAllLost(reason message.RefuseReason) {
	c.reportCrashes()
	for _, h := range c.holderOrder {
		for _, r := range h.unfinishedRuns() {
			c.completeRun(r, message.RunLost, reason, 0)
		}
	}
}

// unfinishedRuns returns the runs that have not completed: first the live ones, then those
// being stopped.
func (h *leaseHolder) unfinishedRuns() []*run { return append(h.liveRuns(), h.stoppingRuns()...) }

// sendDueCalls sends the polls and stop calls that are due.
func (c *Core) sendDueCalls() {
	u := &c.upstream
	switch u.phase {
	case probing:
		if len(c.runs) > 0 && c.now.Mono > c.orphansUntil {
			c.completeOrphans()
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
		c.handleUpstreamEnd("no announcement received in time", "")
		return
	}
	if len(c.runs) > 0 && c.upstreamSuspected() && c.now.Mono-u.lastExtensionSentAt > lease.UpstreamExpiry {
		c.handleUnresponsiveUpstream()
		return
	}
	if len(c.runs) > 0 && !u.renewalInFlight && c.now.Mono >= u.lastRenewalSentAt+lease.RenewalInterval {
		c.poll(true)
	}
	if !u.longPollInFlight && (len(c.runs) > 0 || u.hasUnacknowledged()) {
		c.poll(false)
	}
	for _, h := range c.holderOrder {
		for _, r := range h.stoppingRuns() {
			if c.now.Mono-r.lastStopSentAt > lease.RenewalInterval {
				c.callStop(r)
			}
		}
	}
}

// upstreamSuspected reports whether the upstream has answered no poll for longer than
// suspectAfter, and its oldest run is older than that too: while there are no runs, the
// lessee sends no renewals. It does not extend the lease of a suspected upstream.
func (c *Core) upstreamSuspected() bool {
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

// handleUnresponsiveUpstream reports all runs as lost. It is called when the upstream has
// answered no poll for so long that the leases of its runs have lapsed.
func (c *Core) handleUnresponsiveUpstream() {
	c.logEvent("upstream_silent", "", "upstream", c.upstream.id, "runs", len(c.runs),
		"held_ms_ago", (c.now.Mono - c.upstream.lastAnsweredSentAt).Milliseconds())
	var reason message.RefuseReason
	if c.resumedAt <= c.upstream.lastAnsweredSentAt {
		reason = c.recordCrash(c.upstream.lastAnsweredSentAt)
	}
	c.upstream.phase = probing
	c.upstream.nextProbeAt = c.now.Mono
	c.upstream.longPollInFlight, c.upstream.renewalInFlight = false, false
	c.capacityChanged()
	c.reportAllLost(reason)
}

func (c *Core) poll(renewal bool) {
	u := &c.upstream
	a := Poll{Upstream: u.id, Renewal: renewal, Token: c.token, AcknowledgedUpTo: u.processedUpTo}
	if u.phase == open && !c.upstreamSuspected() {
		a.LeaseUntil = c.extendLease()
	}
	if renewal {
		u.renewalInFlight, u.lastRenewalSentAt = true, c.now.Mono
	} else {
		u.longPollInFlight, a.Wait = true, longPollWait
	}
	c.out = append(c.out, a)
}

// handlePollCompleted processes the result of a poll.
func (c *Core) handlePollCompleted(e PollCompleted) {
	u := &c.upstream
	if u.phase == absent {
		return
	}
	if e.Renewal {
		u.renewalInFlight = false
	} else {
		u.longPollInFlight = false
	}
	switch e.Result {
	case CallOK:
	case CallNoListener:
		if e.SentAt >= u.discoveredAt {
			c.handleRefusedConnection()
		}
		return
	case CallFenced:
		c.token += tokenStep
		return
	default:
		return
	}
	if e.Incarnation != u.incarnation {
		if e.Incarnation > u.incarnation {
			c.orphanRuns("a poll found a newer incarnation")
			// The upstream info comes with the announcement of the new incarnation.
			c.beginIncarnation(Announcement{ID: u.id, Incarnation: e.Incarnation})
		}
		return
	}
	u.observeClock(e.Clock, c.now.Mono)
	u.lastAnsweredSentAt = max(u.lastAnsweredSentAt, e.SentAt)
	if u.phase == probing {
		// Only a poll with the newest token proves that earlier calls can start no more runs.
		if e.Token == c.token {
			c.handleProbe(e)
		}
		return
	}
	if c.processCompletions(e) && e.Renewal {
		// The long poll should have returned these completions: its answer was lost.
		u.longPollInFlight = false
	}
	c.reconcileRuns(e)
}

// handleProbe stops the runs that a poll in phase probing has listed. Once the upstream
// lists none, handleProbe opens it.
func (c *Core) handleProbe(e PollCompleted) {
	for _, completion := range e.Completed {
		c.upstream.processedUpTo = max(c.upstream.processedUpTo, completion.Number)
	}
	if len(e.Running) == 0 {
		c.completeOrphans()
		c.upstream.phase = open
		c.capacityChanged()
		c.logEvent("upstream_open", "", "upstream", c.upstream.id, "born", c.upstream.incarnation)
		return
	}
	c.logEvent("leftover_runs_stopped", "", "upstream", c.upstream.id, "runs", len(e.Running))
	for _, t := range e.Running {
		c.out = append(c.out, StopRun{Upstream: c.upstream.id, Name: t.Name, RunNumber: t.RunNumber, Token: c.token})
	}
}

// processCompletions processes the new completions and reports whether there were any.
func (c *Core) processCompletions(e PollCompleted) bool {
	found := false
	for _, completion := range e.Completed {
		if completion.Number <= c.upstream.processedUpTo {
			continue
		}
		found = true
		c.upstream.processedUpTo = completion.Number
		r, ok := c.runsByTask[completion.Name]
		if !ok || r.number != completion.RunNumber {
			continue
		}
		duration := c.now.Mono - r.startedAt
		switch {
		case completion.Completion == CompletionDone:
			c.recordDuration(r, duration)
			c.completeRun(r, message.RunDone, "", duration)
		case completion.Completion == CompletionFailed:
			c.completeRun(r, message.RunFailed, "", duration)
		case r.state == stopping:
			c.completeRun(r, message.RunStopped, r.stopReason, 0)
		default:
			c.completeRun(r, message.RunLost, "", 0)
		}
	}
	c.upstream.acknowledgedUpTo = max(c.upstream.acknowledgedUpTo, e.AcknowledgedUpTo)
	return found
}

// reconcileRuns compares the upstream's list of active runs with the lessee's own runs. It
// completes runs that the upstream does not list and stops runs that are not its own.
func (c *Core) reconcileRuns(e PollCompleted) {
	listed := make(map[message.TaskName]int, len(e.Running))
	for _, t := range e.Running {
		listed[t.Name] = t.RunNumber
		r, ok := c.runsByTask[t.Name]
		if ok && r.number == t.RunNumber {
			c.checkProgress(r, t.Percent)
			continue
		}
		if completedAt, justCompleted := c.completedAt[t.Name]; !ok && justCompleted && completedAt >= e.SentAt {
			continue // The poll was sent before the completion was processed.
		}
		if !ok || r.state != starting {
			c.logEvent("unknown_run_stopped", t.Name.Job, "task", t.Name.String(), "run", t.RunNumber)
			c.out = append(c.out, StopRun{Upstream: c.upstream.id, Name: t.Name, RunNumber: t.RunNumber, Token: c.token})
		}
	}
	for _, h := range c.holderOrder {
		for _, r := range h.unfinishedRuns() {
			if r.state == starting || !r.confirmed || r.startedAt >= e.SentAt {
				continue
			}
			if number, ok := listed[r.name]; ok && number == r.number {
				continue
			}
			if r.state == stopping {
				c.completeRun(r, message.RunStopped, r.stopReason, 0)
			} else {
				c.completeRun(r, message.RunLost, "", 0)
			}
		}
	}
}
