package lessee

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
)

const (
	// pollDelay is the longest time from the sending of a poll to its answer.
	pollDelay = 5 * time.Second
	// waitingTTL is how long a dispatcher's report of a waiting task is valid. While it is,
	// the dispatcher can get a reservation and is notified of freed capacity at once. The
	// dispatcher repeats the report after half a heartbeat interval.
	waitingTTL = lease.HeartbeatInterval
)

// leaseHolder is one incarnation of a dispatcher that holds, or has held, runs here.
type leaseHolder struct {
	ref node.Ref
	// leaseUntil is when the lessee stops its runs, unless it proves before then that it is
	// alive.
	leaseUntil time.Duration
	// lapsed is set once the lease has lapsed and the runs are being stopped.
	lapsed bool
	// lastTimestamp is the Timestamp of its last heartbeat, echoed in heartbeats to it.
	lastTimestamp time.Duration
	// lastMessageAt is when its last message was received, and heartbeatSentAt when the last
	// heartbeat was sent to it.
	lastMessageAt, heartbeatSentAt time.Duration
	// acceptsIdleInterval is set if it accepts fewer heartbeats while it has no runs here,
	// and statedInterval is the interval that the last heartbeat to it stated.
	acceptsIdleInterval bool
	statedInterval      time.Duration
	// knownInfoVersion is the version of the upstream info that it last reported to have.
	knownInfoVersion uint64
	// knownCrash is the Number of the last crash of the upstream that it has acknowledged.
	knownCrash uint64
	// watch is its last request for evidence of interference, or nil, and evidenceSentAt is
	// when evidence was last due to it.
	watch          *message.InterferenceWatch
	evidenceSentAt time.Duration
	// maxOfferSeq is the highest Seq of its offers that were processed.
	maxOfferSeq uint64
	// firstWaiting is its first waiting task, as last reported; the report expires at
	// waitingExpiresAt. After an unused reservation it gets no other until skippedUntil,
	// unless it reports a waiting task again or more capacity is free than skippedFree.
	// lastReservedAt is when its last reservation began, and offeredSinceReserved is set by
	// its first offer after that.
	firstWaiting                                   *message.WaitingTask
	waitingExpiresAt, skippedUntil, lastReservedAt time.Duration
	skippedFree                                    message.Resources
	offeredSinceReserved                           bool
	// waitingDue is the time of the objective of firstWaiting's job, if firstWaiting has it.
	waitingDue time.Duration
	// reportedVersion and reportedSeq are capacityVersion and maxOfferSeq as of the last
	// capacity report that was sent to it, and reportedReady what that report stated.
	reportedVersion uint64
	reportedSeq     uint64
	reportedReady   bool
	// untoldCancels lists the cancelled jobs that it has not been told of.
	untoldCancels []string
	// holds lists the changes of holds that it has not confirmed.
	holds holdLog
	// witnessedRuns counts the open runs of other dispatchers of which it is a witness.
	witnessedRuns int
	// unfinished counts the runs that have not completed.
	unfinished int
}

// holder returns the lease holder of a dispatcher, and adds it if it is not known.
func (c *Core) holder(ref node.Ref) *leaseHolder {
	if h, ok := c.holders[ref]; ok {
		return h
	}
	h := &leaseHolder{ref: ref, leaseUntil: c.now.Mono + lease.RunLease, untoldCancels: c.cancelled.Jobs(c.now.Mono)}
	h.holds.add(c.holds.Holds(c.now.Mono)...)
	c.holders[ref] = h
	c.holderOrder = append(c.holderOrder, h)
	c.logEvent("dispatcher_seen", "", "dispatcher", ref.String())
	return h
}

func (c *Core) handleEnvelope(env message.Envelope) {
	h := c.holder(env.From)
	h.lastMessageAt = c.now.Mono
	for i := range env.Messages {
		m := &env.Messages[i]
		switch {
		case m.Heartbeat != nil:
			c.handleHeartbeat(h, m.Heartbeat)
		case m.Offer != nil:
			c.handleOffer(h, m.Offer)
		case m.RevokeOffer != nil:
			c.handleRevoke(h, m.RevokeOffer)
		}
	}
}

// handleHeartbeat processes a heartbeat. Its echoed timestamp renews the lease of the
// dispatcher's runs.
func (c *Core) handleHeartbeat(h *leaseHolder, hb *message.Heartbeat) {
	first := h.lastTimestamp == 0
	h.lastTimestamp = hb.Timestamp
	h.knownInfoVersion, h.acceptsIdleInterval = hb.KnownInfoVersion, hb.AcceptsIdleInterval
	h.knownCrash = hb.KnownCrash
	h.holds.confirm(hb.KnownLateStart)
	c.setWatch(h, hb.Watch)
	if c.setWaiting(h, hb.FirstWaiting) {
		h.skippedUntil = 0
	}
	if hb.EchoedTimestamp > 0 {
		h.renewLease(hb.EchoedTimestamp)
	}
	c.applySite(hb.Site)
	c.handleCancelled(h, hb.Cancelled, first)
	c.handleLateStarts(h, hb.LateStarts, first)
	wantSite := c.siteRequester.ShouldRequest(c.now.Mono, c.site.Revision, hb.Revision)
	giveSite := hb.WantSite && hb.Revision < c.site.Revision && c.siteLimiter.Allow(c.now.Mono, c.site)
	if first || wantSite || giveSite || hb.WantReply {
		c.sendHeartbeatWithSite(h, wantSite, giveSite)
	}
}

// renewLease extends the lease after the dispatcher has echoed a timestamp of this agent:
// the echo proves that the dispatcher was alive after that time.
func (h *leaseHolder) renewLease(timestamp time.Duration) {
	if until := timestamp + lease.RunLease; until > h.leaseUntil {
		h.leaseUntil = until
		h.lapsed = false
	}
}

// sendDueHeartbeats sends the periodic heartbeats: in each round to the dispatchers with runs
// here, and to some of the others in turn. It also drops old answers, and forgets
// dispatchers that have neither runs here nor sent a message for long.
func (c *Core) sendDueHeartbeats() {
	if c.now.Mono < c.nextHeartbeatAt {
		return
	}
	c.nextHeartbeatAt = c.now.Mono + lease.HeartbeatInterval
	maps.DeleteFunc(c.completedAt, func(_ message.TaskName, at time.Duration) bool { return c.now.Mono-at > pollDelay })
	c.answers.expire(c.now.Mono)
	c.forgetCrashes()
	idleInterval := c.idleInterval()
	for _, h := range slices.Clone(c.holderOrder) {
		if h.unfinished == 0 && c.now.Mono-h.lastMessageAt > pace.ForgetAfter(idleInterval) {
			c.forgetHolder(h)
		} else if h.needsEveryHeartbeat(c) {
			c.sendHeartbeat(h)
		}
	}
	c.idleCredit = min(c.idleCredit+c.idlePerRound(), float64(len(c.holderOrder)))
	c.sendIdleHeartbeats()
}

// needsEveryHeartbeat reports whether a dispatcher gets a heartbeat in each round. It does
// if it has runs here or is a witness of runs, does not know the upstream's info, readiness or last crash, does not
// accept idle intervals, or was told a shorter one than the present one.
func (h *leaseHolder) needsEveryHeartbeat(c *Core) bool {
	return h.unfinished > 0 || h.witnessedRuns > 0 || len(h.holds.holds) > 0 || !h.acceptsIdleInterval || h.knownInfoVersion != c.infoVersion || h.reportedReady != c.Ready() ||
		h.statedInterval < c.idleInterval() || len(c.unknownCrashes(h)) > 0
}

// sendIdleHeartbeats sends idleCredit heartbeats to the next dispatchers that do not need
// every one, in the order of holderOrder.
func (c *Core) sendIdleHeartbeats() {
	for range c.holderOrder {
		if c.idleCredit < 1 {
			return
		}
		c.idleIndex = (c.idleIndex + 1) % len(c.holderOrder)
		if h := c.holderOrder[c.idleIndex]; !h.needsEveryHeartbeat(c) && h.heartbeatSentAt != c.now.Mono {
			c.sendHeartbeat(h)
			c.idleCredit--
		}
	}
}

func (c *Core) idlePerRound() float64 {
	return pace.IdlePerRound(len(c.holders), cmp.Or(c.cfg.IdleRate, pace.IdleRate))
}

// idleInterval returns the longest pause between two heartbeats to a dispatcher without runs
// here.
func (c *Core) idleInterval() time.Duration {
	return pace.IdleInterval(len(c.holders), c.idlePerRound())
}

func (c *Core) sendHeartbeat(h *leaseHolder) { c.sendHeartbeatWithSite(h, false, false) }

// sendHeartbeatWithSite sends a heartbeat. It requests the dispatcher's site state if
// wantSite is set, and carries this agent's site state if giveSite is set.
func (c *Core) sendHeartbeatWithSite(h *leaseHolder, wantSite, giveSite bool) {
	h.heartbeatSentAt, h.statedInterval = c.now.Mono, c.idleInterval()
	hb := &message.Heartbeat{
		Timestamp: c.now.Mono, EchoedTimestamp: h.lastTimestamp, Revision: c.site.Revision, WantSite: wantSite,
		IdleInterval: h.statedInterval, Crashes: c.unknownCrashes(h), Evidence: c.dueEvidence(h),
		Cancelled: h.takeUntoldCancels(),
	}
	hb.Unanswered, hb.Started = c.startCalls(h)
	hb.LateStarts, hb.LateStartSeq = h.holds.due(c.now.Mono)
	if giveSite {
		hb.Site = c.site
	}
	if h.reportedVersion != c.capacityVersion || h.reportedSeq != h.maxOfferSeq || h.lastTimestamp == 0 || h.knownInfoVersion != c.infoVersion {
		hb.Capacity = c.capacityReport(h)
	}
	c.send(h.ref, message.Message{Heartbeat: hb})
}

func (c *Core) forgetHolder(h *leaseHolder) {
	if c.reservation.holder == h {
		c.endReservation()
	}
	delete(c.holders, h.ref)
	c.holderOrder = slices.DeleteFunc(c.holderOrder, func(x *leaseHolder) bool { return x == h })
	c.endUnusedObservation()
	c.logEvent("dispatcher_forgotten", "", "dispatcher", h.ref.String())
}

// stopLapsedRuns stops the runs of dispatchers whose lease has lapsed.
func (c *Core) stopLapsedRuns() {
	for _, h := range c.holderOrder {
		if h.unfinished == 0 || h.lapsed || c.now.Mono < h.leaseUntil {
			continue
		}
		h.lapsed = true
		c.logEvent("dispatcher_lease_lapsed", "", "dispatcher", h.ref.String(), "runs", h.unfinished,
			"silent_ms", (c.now.Mono - h.lastMessageAt).Milliseconds())
		for _, r := range c.unfinishedRuns(h) {
			r.mustEndBy(h.leaseUntil + lease.StopTime)
			if r.state != stopping {
				c.stop(r)
			}
		}
	}
}

// liveRuns returns the runs that have not completed and are not being stopped, in order of
// seq.
func (c *Core) liveRuns(h *leaseHolder) []*run { return c.runsInState(h, starting, running) }

// stoppingRuns returns the runs that are being stopped, in order of seq.
func (c *Core) stoppingRuns(h *leaseHolder) []*run { return c.runsInState(h, stopping) }

func (c *Core) runsInState(h *leaseHolder, states ...runState) []*run {
	if h.unfinished == 0 {
		return nil
	}
	var list []*run
	for _, r := range c.runs {
		if r.holder == h && slices.Contains(states, r.state) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
