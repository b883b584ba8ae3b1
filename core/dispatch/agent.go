package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

const (
	// forgetDead is the time without a message after which an agent is removed whose process
	// has ended, or refuses connections. forgetUnresponsive is the same for one that is only
	// silent. An agent that comes back after that is connected anew.
	forgetDead         = 10 * time.Second
	forgetUnresponsive = 10 * time.Minute
	// minReplyInterval is the shortest pause between two heartbeats in reply to those of an
	// agent, which may send one with every change of its capacity in use. It is half of the
	// agent's own heartbeat interval.
	minReplyInterval = lease.HeartbeatInterval / 2
	// minIdleReplyInterval is the same for an agent that has no runs of this dispatcher. Such
	// an agent only needs to know the dispatcher, which it forgets after five times as long.
	minIdleReplyInterval = time.Second
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
	// lastMessageAt is when its last message of any kind was received. idleInterval is the
	// pause between its heartbeats while it has no runs of this dispatcher.
	lastMessageAt, idleInterval time.Duration
	// activeSince is when the first offer was sent after a time without open offers, and
	// lastOfferAt when the last offer was sent.
	activeSince, lastOfferAt time.Duration
	// openOffers holds the tasks of offers that have not completed, by sequence number.
	openOffers map[uint64]*task
	// revokedAt holds the revoked offers that have not completed, with the time at which
	// the last RevokeOffer was sent.
	revokedAt map[uint64]time.Duration
	// heldOffers holds the offers of which a start call may be executed late, with the holds of
	// their jobs.
	heldOffers map[uint64]*ownHold
	// lateStartSeq is the highest Heartbeat.LateStartSeq that was received.
	lateStartSeq uint64
	// witnessed holds what the agent has stated of its runs for other dispatchers.
	witnessed map[witnessed]latestart.Hold
	// unreported holds the demand of each offer that lastReport does not include, and
	// unreportedSum the sum of these demands.
	unreported    map[uint64]message.Resources
	unreportedSum message.Resources
	// knownCrash is the Number of the last crash of its upstream that was reported.
	knownCrash uint64
	// isolationRank is its rank among the agents that may run isolated tasks, and isolated is
	// set if it is one of those that do.
	isolationRank uint64
	isolated      bool
	// isolatedJob is the job of the isolated task that was last offered to it, at isolatedAt.
	// Until aloneUntil, it gets no tasks of other jobs than aloneJob. Until retryAt it gets no
	// tasks, and until aloneRetryAt none that must start alone, since it has refused one.
	isolatedJob, aloneJob                         *job
	isolatedAt, aloneUntil, retryAt, aloneRetryAt time.Duration
	// relativeSlowdown is the slowdown of its upstream divided by the median of the service,
	// or zero before the first comparison.
	relativeSlowdown float64
	// life is what is known of the end of its process.
	life liveness.Incarnation
	// former is the incarnation that it has replaced, or zero. leftNothing is set when the
	// next incarnation has found that no run of this one is alive.
	former      node.Ref
	leftNothing bool
	// heartbeatSentAt is when the last heartbeat was sent to the agent.
	heartbeatSentAt time.Duration
	// nextReconnectAt is the earliest time at which the connection may be reopened again.
	nextReconnectAt time.Duration
	// suspect is set when its next message is overdue, and doubted when another agent of its
	// failure domain has become suspect and this one has been asked for a heartbeat.
	suspect, doubted bool
	// answersMayBeLost is set when it is heard again after it was suspect, until its open offers
	// are repeated.
	answersMayBeLost bool
}

func (c *Core) handleAgentConnected(e AgentConnected) {
	if former, ok := c.agents[e.Former]; ok {
		c.recordEnd(former, liveness.Restarted)
	}
	if a, ok := c.agents[e.Agent]; ok {
		a.life.Heard()
		c.placementNeeded = true
		c.sendHeartbeatWith(a, message.Heartbeat{WantReply: true})
		return
	}
	a := &agent{
		ref: e.Agent, former: e.Former, domain: e.Domain, lastHeartbeatAt: c.now.Mono, lastMessageAt: c.now.Mono, idleInterval: lease.HeartbeatInterval,
		isolationRank: rendezvous.Rank(isolationKey, e.Agent.ID),
		openOffers:    make(map[uint64]*task), revokedAt: make(map[uint64]time.Duration), heldOffers: make(map[uint64]*ownHold), unreported: make(map[uint64]message.Resources),
	}
	c.agents[a.ref] = a
	i, _ := slices.BinarySearchFunc(c.sortedAgents, a, func(x, y *agent) int { return compareRefs(x.ref, y.ref) })
	c.sortedAgents = slices.Insert(c.sortedAgents, i, a)
	c.workersChanged = true
	c.logEvent("agent_connected", "", "agent", a.ref.String(), "domain", a.domain)
	c.sendHeartbeatWith(a, c.recentNotices())
}

func compareRefs(a, b node.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// updateKnownWorkers passes the list of agents to the fault detector after a change. Many
// agents connect at once when a process starts.
func (c *Core) updateKnownWorkers() {
	if !c.workersChanged {
		return
	}
	c.workersChanged = false
	ids := make([]node.ID, 0, len(c.sortedAgents))
	for _, a := range c.sortedAgents {
		ids = append(ids, a.ref.ID)
	}
	c.faults.SetWorkers(c.now.Mono, slices.Compact(ids))
}

func (c *Core) sendHeartbeat(a *agent) { c.sendHeartbeatWith(a, message.Heartbeat{}) }

// sendHeartbeatWith sends a heartbeat with the requests and the site state that hb has.
func (c *Core) sendHeartbeatWith(a *agent, hb message.Heartbeat) {
	a.heartbeatSentAt = c.now.Mono
	hb.Timestamp, hb.EchoedTimestamp, hb.Revision = c.now.Mono, a.lastTimestamp, c.site.Revision
	hb.FirstWaiting, hb.KnownInfoVersion, hb.AcceptsIdleInterval = c.firstWaiting(a), a.infoVersion, true
	hb.KnownCrash, hb.KnownLateStart, hb.Watch = a.knownCrash, a.lateStartSeq, c.watch
	c.send(a.ref, message.Message{Heartbeat: &hb})
}

func (c *Core) handleEnvelope(env message.Envelope) {
	a, ok := c.agents[env.From]
	if !ok {
		return
	}
	c.recordMessage(a)
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
	a.lastTimestamp = max(a.lastTimestamp, hb.Timestamp)
	a.lastHeartbeatAt = c.now.Mono
	a.idleInterval = pace.StatedInterval(hb.IdleInterval)
	c.applySite(hb.Site)
	c.learnCancelled(a, hb.Cancelled)
	c.recordUnanswered(a, hb.Unanswered)
	c.recordStarted(a, hb.Started)
	c.learnHolds(a, hb.LateStarts)
	a.lateStartSeq = max(a.lateStartSeq, hb.LateStartSeq)
	c.applyEvidence(a, hb.Evidence)
	// The report names the service, which the crashes count for.
	if hb.Capacity != nil {
		c.applyCapacity(a, hb.Capacity)
	}
	c.handleCrashes(a, hb.Crashes)
	c.resendRevocations(a)
	wantSite := c.siteRequester.ShouldRequest(c.now.Mono, c.site.Revision, hb.Revision)
	giveSite := hb.WantSite && hb.Revision < c.site.Revision && c.siteLimiter.Allow(c.now.Mono, c.site)
	if wantSite || giveSite || a.includesInfo(hb) || len(hb.Crashes) > 0 || len(hb.LateStarts) > 0 || c.now.Mono-a.heartbeatSentAt >= a.replyInterval() {
		reply := message.Heartbeat{WantSite: wantSite}
		if giveSite {
			reply.Site = c.site
		}
		c.sendHeartbeatWith(a, reply)
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
	if a.active() {
		return minReplyInterval
	}
	return max(minIdleReplyInterval, 2*a.idleInterval)
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
	if r.Ready {
		c.endRunsOfFormer(a)
	}
	c.recordSlowdown(a, r.Slowdown)
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
