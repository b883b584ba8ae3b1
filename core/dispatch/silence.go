package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/pace"
)

// doubtInterval is the shortest pause between two rounds in which the agents of a failure
// domain are asked for heartbeats.
const doubtInterval = time.Second

// active reports whether the agent has, or may have, runs of this dispatcher. It then sends
// heartbeats at the pace of the lease.
func (a *agent) active() bool { return len(a.openOffers)+len(a.revokedAt) > 0 }

// usable reports whether a may get new work.
func (c *Core) usable(a *agent) bool { return c.expectedUsable(a) && !a.doubted }

// expectedUsable reports whether a may get new work now, or as soon as it has answered the
// heartbeat of doubtDomain.
func (c *Core) expectedUsable(a *agent) bool {
	return a.lastReport.Ready && a.lastReport.InfoVersion == a.infoVersion && a.life.MayGetWork() &&
		c.silence(a) <= pace.SuspectAfter(a.interval()) && !c.site.IsDomainOut(a.info.Domain)
}

// interval returns the pause between the heartbeats that a sends now.
func (a *agent) interval() time.Duration {
	if a.active() || len(a.witnessed) > 0 {
		return lease.HeartbeatInterval
	}
	return a.idleInterval
}

// silence returns for how long a has sent nothing. It counts from the first open offer if
// that is later than the last message: until then a kept its idle interval.
func (c *Core) silence(a *agent) time.Duration {
	since := a.lastMessageAt
	if a.active() {
		since = max(since, a.activeSince)
	}
	return c.now.Mono - since
}

// recordMessage records that a message of a was received.
func (c *Core) recordMessage(a *agent) {
	if a.suspect {
		c.logEvent("agent_heard_again", "", "agent", a.ref.String(), "silent_ms", (c.now.Mono - a.lastMessageAt).Milliseconds())
	}
	if a.suspect || a.doubted || a.life.Suspect() != "" || c.reportAge(a) > lease.HeartbeatInterval {
		c.placementNeeded = true
	}
	a.answersMayBeLost = a.answersMayBeLost || a.suspect
	a.suspect, a.doubted = false, false
	a.life.Heard()
	a.lastMessageAt = c.now.Mono
}

// doubtDomain asks the idle agents of a failure domain for a heartbeat, after an agent of it
// has become suspect: the whole domain may be cut off or without power. Until they answer,
// they get no work.
func (c *Core) doubtDomain(domain string) {
	if at, ok := c.domainDoubtedAt[domain]; ok && c.now.Mono-at < doubtInterval {
		return
	}
	c.domainDoubtedAt[domain] = c.now.Mono
	asked := 0
	for _, a := range c.sortedAgents {
		if a.domain == domain && a.life.MayGetWork() && !a.suspect && !a.active() && c.now.Mono-a.lastMessageAt > lease.HeartbeatInterval {
			a.doubted = true
			asked++
			c.sendHeartbeatWith(a, message.Heartbeat{WantReply: true})
		}
	}
	if asked > 0 {
		c.logEvent("domain_doubted", "", "domain", domain, "asked", asked)
	}
}

// handlePeerReset resends what may have been lost with a connection. Agents answer a
// repeated offer from the state of the first one.
func (c *Core) handlePeerReset(ref node.Ref) {
	a, ok := c.agents[ref]
	if !ok || a.ended() {
		return
	}
	c.logEvent("connection_reset", "", "agent", ref.String(), "offers", len(a.openOffers))
	c.sendHeartbeatWith(a, c.recentNotices())
	for _, seq := range sortedKeys(a.openOffers) {
		c.sendOffer(a.openOffers[seq])
	}
}

// checkAgents reconnects or removes agents without heartbeats and requeues their tasks.
func (c *Core) checkAgents() {
	if c.now.Mono-c.agentsCheckedAt < minCheckInterval {
		return
	}
	c.agentsCheckedAt = c.now.Mono
	for _, a := range slices.Clone(c.sortedAgents) {
		c.expireWitnessed(a)
		unresponsiveFor := c.silence(a)
		if a.ended() && c.now.Mono > a.runsExpiredAt() {
			c.requeueLost(a, unresponsiveFor)
		}
		if unresponsiveFor <= pace.SuspectAfter(a.interval()) {
			if !a.ended() {
				c.repeatOffers(a)
			}
			continue
		}
		if !a.suspect {
			a.suspect = true
			c.logEvent("agent_silent", "", "agent", a.ref.String(), "silent_ms", unresponsiveFor.Milliseconds(), "offers", len(a.openOffers))
			c.replaceRelay(a)
			c.announceHoldsOf(a)
			c.doubtDomain(a.domain)
		}
		if c.now.Mono > a.runsExpiredAt() {
			c.requeueLost(a, unresponsiveFor)
		}
		if reconnectAfter := pace.ReconnectAfter(a.interval()); unresponsiveFor > reconnectAfter && c.now.Mono >= a.nextReconnectAt && !a.ended() {
			a.nextReconnectAt = c.now.Mono + reconnectAfter
			c.out = append(c.out, AgentUnresponsive{Agent: a.ref})
			c.sendHeartbeat(a)
		}
		if (!a.life.MayGetWork() && unresponsiveFor > forgetDead || unresponsiveFor > forgetUnresponsive) && !c.heldBefore(a) {
			c.removeAgent(a)
		}
	}
}

// requeueLost requeues the tasks of an agent's open offers when the leases of its runs have
// lapsed, except for those that the upstream may still start.
func (c *Core) requeueLost(a *agent, unresponsiveFor time.Duration) {
	for _, seq := range sortedKeys(a.openOffers) {
		t, open := a.openOffers[seq]
		if !open || c.holdForLateStart(t, a) {
			continue
		}
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
	c.forgetHoldsOf(a)
	c.sortedAgents = slices.DeleteFunc(c.sortedAgents, func(x *agent) bool { return x == a })
	c.workersChanged = true
	// An open connection would keep it from being connected anew.
	c.out = append(c.out, AgentUnresponsive{Agent: a.ref})
	c.logEvent("agent_forgotten", "", "agent", a.ref.String())
}
