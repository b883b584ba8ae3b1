package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// suspectAfter is the time without a heartbeat after which an agent gets no new work:
	// about two and a half heartbeat intervals.
	suspectAfter = lease.HeartbeatInterval*5/2 - 20*time.Millisecond
	// reconnectAfter is the time without a heartbeat after which a connection is reopened.
	reconnectAfter = 700 * time.Millisecond
	// forgetDead is the time without a heartbeat after which an agent whose process has
	// ended is removed. forgetUnresponsive is the same for an agent that may come back, as
	// after a network partition.
	forgetDead         = 10 * time.Second
	forgetUnresponsive = 10 * time.Minute
	// minReplyInterval is the shortest pause between two heartbeats in reply to those of an
	// agent, which may send one with every change of its capacity in use. It is half of the
	// agent's own heartbeat interval.
	minReplyInterval = lease.HeartbeatInterval / 2
	// idleReplyInterval is the same for an agent that has no runs of this dispatcher. Such
	// an agent only needs to know the dispatcher, which it forgets after five times as long.
	idleReplyInterval = time.Second
	// revokeRetryInterval is the pause between two RevokeOffer messages for one offer.
	revokeRetryInterval = 300 * time.Millisecond
)

// agent is the state of one incarnation of an agent.
type agent struct {
	ref    node.Ref
	domain string
	// lastReport is the newest capacity report.
	lastReport message.CapacityReport
	// info describes the upstream, as of infoVersion.
	info        message.UpstreamInfo
	infoVersion uint64
	// lastTimestamp is the highest timestamp received from the agent. lastHeartbeatAt is when
	// its last heartbeat was received or, before the first one, when the agent connected.
	lastTimestamp   time.Duration
	lastHeartbeatAt time.Duration
	// openOffers holds the tasks of offers that have not completed, by sequence number.
	openOffers map[uint64]*task
	// revokedAt holds the revoked offers that have not completed, with the time at which
	// the last RevokeOffer was sent.
	revokedAt map[uint64]time.Duration
	// unreported holds the demand of each offer that lastReport does not include, and
	// unreportedSum the sum of these demands.
	unreported    map[uint64]message.Resources
	unreportedSum message.Resources
	// dead is set at deadAt, when the agent's process was found to have ended.
	dead bool
	// heartbeatSentAt is when the last heartbeat was sent to the agent.
	heartbeatSentAt time.Duration
	deadAt          time.Duration
	// nextReconnectAt is the earliest time at which the connection may be reopened again.
	nextReconnectAt time.Duration
	// suspect is set after suspectAfter without a heartbeat.
	suspect bool
}

func (c *Core) handleAgentConnected(e AgentConnected) {
	if a, ok := c.agents[e.Agent]; ok {
		a.dead = false
		c.sendHeartbeat(a)
		return
	}
	a := &agent{
		ref: e.Agent, domain: e.Domain, lastHeartbeatAt: c.now.Mono,
		openOffers: make(map[uint64]*task), revokedAt: make(map[uint64]time.Duration), unreported: make(map[uint64]message.Resources),
	}
	c.agents[a.ref] = a
	i, _ := slices.BinarySearchFunc(c.sortedAgents, a, func(x, y *agent) int { return compareRefs(x.ref, y.ref) })
	c.sortedAgents = slices.Insert(c.sortedAgents, i, a)
	c.updateKnownWorkers()
	c.logEvent("agent_connected", "", "agent", a.ref.String(), "domain", a.domain)
	c.sendHeartbeat(a)
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// updateKnownWorkers passes the list of agents to the fault detector.
func (c *Core) updateKnownWorkers() {
	var ids []node.ID
	for _, a := range c.sortedAgents {
		ids = append(ids, a.ref.ID)
	}
	c.faults.SetWorkers(c.now.Mono, slices.Compact(ids))
}

func (c *Core) sendHeartbeat(a *agent) { c.sendHeartbeatWithSite(a, false, false) }

// sendHeartbeatWithSite sends a heartbeat. It requests the agent's site state if wantSite is
// set, and carries this dispatcher's site state if giveSite is set.
func (c *Core) sendHeartbeatWithSite(a *agent, wantSite, giveSite bool) {
	a.heartbeatSentAt = c.now.Mono
	hb := &message.Heartbeat{
		Timestamp: c.now.Mono, EchoedTimestamp: a.lastTimestamp, Revision: c.site.Revision, FirstWaiting: c.firstWaiting(), WantSite: wantSite,
		KnownInfoVersion: a.infoVersion,
	}
	if giveSite {
		hb.Site = c.site
	}
	c.send(a.ref, message.Message{Heartbeat: hb})
}

func (c *Core) handleEnvelope(env message.Envelope) {
	a, ok := c.agents[env.From]
	if !ok {
		return
	}
	for i := range env.Messages {
		m := &env.Messages[i]
		switch {
		case m.Heartbeat != nil:
			c.handleHeartbeat(a, m.Heartbeat)
		case m.RunCompletion != nil:
			c.handleRunCompletion(a, m.RunCompletion)
		}
	}
}

func (c *Core) handleHeartbeat(a *agent, hb *message.Heartbeat) {
	if a.suspect {
		a.suspect = false
		c.logEvent("agent_heard_again", "", "agent", a.ref.String(), "silent_ms", (c.now.Mono - a.lastHeartbeatAt).Milliseconds())
	}
	a.lastTimestamp = max(a.lastTimestamp, hb.Timestamp)
	a.lastHeartbeatAt = c.now.Mono
	a.dead = false
	c.applySite(hb.Site)
	if hb.Capacity != nil {
		c.applyCapacity(a, hb.Capacity)
	}
	c.resendRevocations(a)
	wantSite := c.siteRequester.ShouldRequest(c.now.Mono, c.site.Revision, hb.Revision)
	giveSite := hb.WantSite && hb.Revision < c.site.Revision && c.siteLimiter.Allow(c.now.Mono, c.site)
	if wantSite || giveSite || a.includesInfo(hb) || c.now.Mono-a.heartbeatSentAt >= a.replyInterval() {
		c.sendHeartbeatWithSite(a, wantSite, giveSite)
	}
}

// includesInfo reports whether a heartbeat includes the upstream info. The agent repeats
// the info until a heartbeat confirms its version in KnownInfoVersion.
func (a *agent) includesInfo(hb *message.Heartbeat) bool {
	return hb.Capacity != nil && hb.Capacity.Info != nil
}

// replyInterval returns the shortest pause between two heartbeats in reply to those of a.
// An agent with runs of this dispatcher needs frequent proof that the dispatcher is alive.
func (a *agent) replyInterval() time.Duration {
	if len(a.openOffers)+len(a.revokedAt) > 0 {
		return minReplyInterval
	}
	return idleReplyInterval
}

// applyCapacity applies a capacity report, unless a newer one was received before it.
func (c *Core) applyCapacity(a *agent, r *message.CapacityReport) {
	if r.Version < a.lastReport.Version {
		return
	}
	changed := r.Ready != a.lastReport.Ready
	if r.Info != nil {
		changed = changed || r.InfoVersion != a.infoVersion
		a.info, a.infoVersion = *r.Info, r.InfoVersion
	}
	if changed {
		c.logEvent("agent_room", "", "agent", a.ref.String(), "ready", r.Ready, "capacity_mcpu", a.info.Capacity.MilliCPU,
			"used_mcpu", r.Used.MilliCPU, "version", r.Version)
	}
	a.lastReport = *r
	for seq := range a.unreported {
		if seq <= r.MaxIncludedSeq {
			a.removeUnreported(seq)
		}
	}
	c.placementNeeded = true
}

// addUnreported adds an offer that lastReport does not include.
func (a *agent) addUnreported(seq uint64, demand message.Resources) {
	a.unreported[seq] = demand
	a.unreportedSum = a.unreportedSum.Add(demand)
}

// removeUnreported removes an offer that lastReport includes, or that has completed.
func (a *agent) removeUnreported(seq uint64) {
	if demand, ok := a.unreported[seq]; ok {
		delete(a.unreported, seq)
		a.unreportedSum = a.unreportedSum.Sub(demand)
	}
}

// free returns the free capacity of a, as far as known.
func (a *agent) free() message.Resources {
	return a.info.Capacity.Sub(a.lastReport.Used).Sub(a.unreportedSum)
}

// usable reports whether a may get new work.
func (c *Core) usable(a *agent) bool {
	return a.lastReport.Ready && a.lastReport.InfoVersion == a.infoVersion && !a.dead &&
		c.now.Mono-a.lastHeartbeatAt <= suspectAfter && !c.site.IsDomainOut(a.info.Domain)
}

// revoke asks the agent to stop or never start a run whose result is no longer needed.
func (c *Core) revoke(t *task) {
	a := t.agent
	delete(c.openOffers, t.seq)
	delete(a.openOffers, t.seq)
	a.revokedAt[t.seq] = c.now.Mono
	c.send(a.ref, message.Message{RevokeOffer: &message.RevokeOffer{Seq: t.seq}})
}

// resendRevocations repeats each RevokeOffer that the agent has not answered for
// revokeRetryInterval.
func (c *Core) resendRevocations(a *agent) {
	for _, seq := range sortedKeys(a.revokedAt) {
		if c.now.Mono-a.revokedAt[seq] >= revokeRetryInterval {
			a.revokedAt[seq] = c.now.Mono
			c.send(a.ref, message.Message{RevokeOffer: &message.RevokeOffer{Seq: seq}})
		}
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// handleRunCompletion processes the completion of an offer.
func (c *Core) handleRunCompletion(a *agent, e *message.RunCompletion) {
	if e.Capacity != nil {
		c.applyCapacity(a, e.Capacity)
	}
	delete(a.revokedAt, e.Seq)
	a.removeUnreported(e.Seq)
	c.placementNeeded = true
	t, ok := c.openOffers[e.Seq]
	if !ok || t.agent != a {
		return
	}
	delete(c.openOffers, e.Seq)
	delete(a.openOffers, e.Seq)
	id := t.job.spec.ID
	switch e.Result {
	case message.RunDone:
		c.faults.Observe(c.now.Mono, a.ref.ID, id, false)
		c.recordTaskDone(t)
	case message.RunFailed:
		c.faults.Observe(c.now.Mono, a.ref.ID, id, true)
		c.logEvent("task_failed", id, "task", t.name().String(), "agent", a.ref.String(), "failures", t.failures+1,
			"took_ms", e.Duration.Milliseconds())
		t.avoidAgent(a.ref.ID)
		c.recordTaskFailure(t)
	case message.RunRefused:
		c.stats.Refusals++
		c.logEvent("offer_refused", id, "task", t.name().String(), "agent", a.ref.String(), "reason", e.Reason)
		c.handleRefusal(t, a, e.Reason)
	default:
		if e.Reason == message.RefusedTakenOver {
			c.giveUp(t.job, reasonTakenOver)
			return
		}
		c.stats.LostRuns++
		c.logEvent("run_lost", id, "task", t.name().String(), "agent", a.ref.String(), "result", e.Result, "reason", e.Reason)
		if e.Reason == message.RefusedTooSlow {
			t.tooSlowRuns++
			t.avoidAgent(a.ref.ID)
			c.faults.Observe(c.now.Mono, a.ref.ID, id, true)
		}
		c.requeue(t)
	}
}

// handleRefusal requeues a task that the agent has refused to start.
func (c *Core) handleRefusal(t *task, a *agent, reason message.RefuseReason) {
	t.starts--
	if reason != message.RefusedNoCapacity && reason != message.RefusedStopping {
		t.avoidAgent(a.ref.ID)
	}
	j := t.job
	c.requeue(t)
	j.mayHaveRun = j.anyMayHaveRun()
	if !j.mayHaveRun {
		c.latestStarts.Add(j.latestStart(), j.call)
	}
}

// anyMayHaveRun reports whether a task has been started or may have been.
func (j *job) anyMayHaveRun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.starts > 0 })
}

// avoidAgent makes later placements of the task prefer other agents.
func (t *task) avoidAgent(id node.ID) {
	if !slices.Contains(t.avoided, id) {
		t.avoided = append(t.avoided, id)
	}
}

// handlePeerReset resends what may have been lost with a connection. Agents answer a
// repeated offer from the state of the first one.
func (c *Core) handlePeerReset(ref node.Ref) {
	a, ok := c.agents[ref]
	if !ok || a.dead {
		return
	}
	c.logEvent("connection_reset", "", "agent", ref.String(), "offers", len(a.openOffers))
	c.sendHeartbeat(a)
	for _, seq := range sortedKeys(a.openOffers) {
		c.sendOffer(a.openOffers[seq])
	}
}

// handlePeerDead records that the process of an agent has ended. Its runs continue until
// their lease at the upstream lapses.
func (c *Core) handlePeerDead(ref node.Ref) {
	a, ok := c.agents[ref]
	if !ok || a.dead {
		return
	}
	a.dead, a.deadAt = true, c.now.Mono
	c.logEvent("agent_ended", "", "agent", ref.String(), "offers", len(a.openOffers))
}

// checkAgents reconnects or removes agents without heartbeats and requeues their tasks.
func (c *Core) checkAgents() {
	if c.now.Mono-c.agentsCheckedAt < minCheckInterval {
		return
	}
	c.agentsCheckedAt = c.now.Mono
	for _, a := range slices.Clone(c.sortedAgents) {
		unresponsiveFor := c.now.Mono - a.lastHeartbeatAt
		if unresponsiveFor <= suspectAfter {
			continue
		}
		if !a.suspect {
			a.suspect = true
			c.logEvent("agent_silent", "", "agent", a.ref.String(), "silent_ms", unresponsiveFor.Milliseconds(), "offers", len(a.openOffers))
		}
		if c.now.Mono > a.runsExpiredAt() {
			c.requeueLost(a, unresponsiveFor)
		}
		if unresponsiveFor > reconnectAfter && c.now.Mono >= a.nextReconnectAt && !a.dead {
			a.nextReconnectAt = c.now.Mono + reconnectAfter
			c.out = append(c.out, AgentUnresponsive{Agent: a.ref})
			c.sendHeartbeat(a)
		}
		if a.dead && unresponsiveFor > forgetDead || unresponsiveFor > forgetUnresponsive {
			c.removeAgent(a)
		}
	}
}

// runsExpiredAt returns the time after which no run of the agent can be alive. An agent
// whose process has ended may have renewed the upstream's lease right before.
func (a *agent) runsExpiredAt() time.Duration {
	at := a.lastHeartbeatAt + lease.RunExpiry
	if a.dead {
		at = min(at, a.deadAt+lease.UpstreamExpiry)
	}
	return at
}

// requeueLost requeues the tasks of an agent's open offers when the leases of its runs have
// lapsed.
func (c *Core) requeueLost(a *agent, unresponsiveFor time.Duration) {
	for _, seq := range sortedKeys(a.openOffers) {
		t := a.openOffers[seq]
		delete(a.openOffers, seq)
		delete(c.openOffers, seq)
		a.revokedAt[seq] = c.now.Mono
		c.stats.LostRuns++
		c.logEvent("run_lost", t.job.spec.ID, "task", t.name().String(), "agent", a.ref.String(), "silent_ms", unresponsiveFor.Milliseconds())
		t.avoidAgent(a.ref.ID)
		c.requeue(t)
	}
	clear(a.unreported)
	a.unreportedSum = message.Resources{}
}

func (c *Core) removeAgent(a *agent) {
	delete(c.agents, a.ref)
	c.sortedAgents = slices.DeleteFunc(c.sortedAgents, func(x *agent) bool { return x == a })
	c.updateKnownWorkers()
	c.logEvent("agent_forgotten", "", "agent", a.ref.String())
}
