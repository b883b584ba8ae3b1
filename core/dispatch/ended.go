package dispatch

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/liveness"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// ended reports whether it is proven that the agent's process has ended.
func (a *agent) ended() bool {
	proof, _ := a.life.Ended()
	return proof != ""
}

// handlePeerSuspect keeps new work from an agent until it is heard again. Its runs may be
// alive: a refused connection may come from the network.
func (c *Core) handlePeerSuspect(e step.PeerSuspect) {
	a, ok := c.agents[e.Ref]
	if !ok || a.ended() {
		return
	}
	if a.life.Suspect() == "" {
		c.logEvent("agent_suspected", "", "agent", a.ref.String(), "hint", string(e.Hint), "offers", len(a.openOffers))
		c.replaceRelay(a)
	}
	a.life.Observe(c.now.Mono, e.Hint)
	c.announceHoldsOf(a)
	c.sendHeartbeatWith(a, message.Heartbeat{WantReply: true})
}

func (c *Core) handlePeerDead(ref node.Ref) {
	if a, ok := c.agents[ref]; ok {
		c.recordEnd(a, liveness.Restarted)
	}
}

// recordEnd records the proof that the process of an agent has ended.
func (c *Core) recordEnd(a *agent, proof liveness.Sign) {
	if a.ended() {
		return
	}
	a.life.Observe(c.now.Mono, proof)
	c.logEvent("agent_ended", "", "agent", a.ref.String(), "proof", string(proof), "offers", len(a.openOffers))
	c.replaceRelay(a)
	c.announceHoldsOf(a)
}

// runsExpiredAt returns the time after which no run of the agent can be alive. Its lease of
// the runs counts from the last of its timestamps that this process has received, and from
// the last offer. An agent whose process has ended may have renewed the upstream's lease
// right before, and the upstream may have executed its last start call late.
func (a *agent) runsExpiredAt() time.Duration {
	at := max(a.lastHeartbeatAt, a.lastOfferAt) + lease.RunExpiry
	if proof, endedAt := a.life.Ended(); proof != "" {
		at = min(at, endedAt+lease.MaxUpstreamExpiry)
		if a.leftNothing {
			at = endedAt
		}
	}
	return at
}

// endRunsOfFormer records that no run of the incarnations before a is alive. It is called when
// a is ready: its upstream has answered a poll with a's fencing token, which makes it refuse
// the earlier calls, and has listed no run.
func (c *Core) endRunsOfFormer(a *agent) {
	for former, ok := c.agents[a.former]; ok && !former.leftNothing; former, ok = c.agents[former.former] {
		former.leftNothing = true
		c.releaseHoldsOf(former.ref)
		if len(former.openOffers) > 0 {
			c.logEvent("runs_left_ended", "", "agent", former.ref.String(), "offers", len(former.openOffers))
		}
	}
}
