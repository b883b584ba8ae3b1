package agent

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"
)

// unansweredFanOut is the number of peers queried in each round because they
// were sent a task and no message has been received from them since.
const unansweredFanOut = 2

// updateSuspects passes to the home the list of watched peers that do not
// answer. When the round is late, this process itself was probably paused, so
// all peers count as if a message had just arrived from them. The list stays
// empty while the number of unresponsive peers is not credible, because then
// this process is probably cut off.
func (c *Core) updateSuspects() {
	if silence.SelfPaused(c.now.Mono, c.gossip.nextRoundAt) {
		for _, p := range c.watched {
			p.silence.MessageReceived()
		}
	}
	var suspects []node.Ref
	alive := 0
	for _, p := range c.watched {
		if p.dead {
			continue
		}
		alive++
		if p.silence.Suspect(c.now.Mono) {
			suspects = append(suspects, p.member.Ref)
		}
	}
	if !silence.SuspicionCredible(len(suspects), alive) {
		suspects = nil
	}
	c.home.SetSuspects(suspects)
}

// peerSuspect keeps new tasks from a peer that refuses connections, until a message from it
// is received. It may be alive, and its tasks may run.
func (c *Core) peerSuspect(ref node.Ref) {
	if p, ok := c.peers[ref]; ok {
		p.silence.ConnectionRefused(c.now.Mono)
		c.updateSuspects()
	}
}

// queryUnanswered queries watched peers that were sent a task and from which no
// message has been received since.
func (c *Core) queryUnanswered() {
	left := unansweredFanOut
	for i := range c.watched {
		p := c.watched[(c.gossip.lastQueried+i)%len(c.watched)]
		if left > 0 && p.silence.QueryDue(c.now.Mono) {
			c.query(p, false)
			left--
		}
	}
}
