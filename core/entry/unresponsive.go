package entry

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"
)

// unresponsiveRetry is the retry delay sent to a caller whose job cannot be
// sent to an agent because the agents are unresponsive.
const unresponsiveRetry = statusInterval

// updateSuspects marks the agents that do not answer, so that new jobs get
// another home. When the round is late, this process itself was probably
// paused, so all agents count as if a message had just arrived from them. No
// agent is a suspect while the number of suspects is not credible, because then
// this entry is probably cut off.
func (c *Core) updateSuspects() {
	if silence.SelfPaused(c.now.Mono, c.gossip.nextRoundAt) {
		c.clearUnanswered()
	}
	suspects, unresponsive, usable := 0, 0, 0
	for _, a := range c.orderedAgents {
		a.suspect = a.silence.Suspect(c.now.Mono)
		a.unresponsive = a.silence.UnresponsiveFor(c.now.Mono) >= silence.RefuseAfter
		usable += boolToInt(a.usable())
		suspects += boolToInt(a.usable() && a.suspect)
		unresponsive += boolToInt(a.usable() && a.unresponsive)
	}
	c.isolated = usable > 0 && !silence.SuspicionCredible(unresponsive, usable)
	if silence.SuspicionCredible(suspects, usable) {
		return
	}
	for _, a := range c.orderedAgents {
		a.suspect = false
	}
}

// peerSuspect keeps new jobs from an agent that refuses connections, until a message from it
// is received. It may be alive, and its jobs may run.
func (c *Core) peerSuspect(ref node.Ref) {
	if a, ok := c.agents[ref]; ok {
		a.silence.ConnectionRefused(c.now.Mono)
		c.updateSuspects()
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// clearUnanswered treats all agents as if a message had just been received from
// them.
func (c *Core) clearUnanswered() {
	for _, a := range c.orderedAgents {
		a.silence.MessageReceived()
	}
}

// queryUnanswered queries agents that were sent a message and from which none
// has been received since, at most queryFanOut in each round.
func (c *Core) queryUnanswered() {
	left := queryFanOut
	for _, a := range c.orderedAgents {
		if left > 0 && !a.dead && a.silence.QueryDue(c.now.Mono) {
			c.query(a)
			left--
		}
	}
}

// refuseUnresponsive refuses a submission whose home has long been unresponsive
// without sending it, so that the caller can try another entry, or another ID,
// before the deadline. The reply does not cover other copies of the submission,
// which may have reached the home. It reports whether the submission was
// refused.
func (c *Core) refuseUnresponsive(k *call) bool {
	a := c.agents[k.home]
	if k.kind != callSubmit || !a.unresponsive {
		return false
	}
	c.replyKind(k, errkind.Unavailable, "the home of the job does not answer", unresponsiveRetry)
	return true
}
