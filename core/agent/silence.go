package agent

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"
)

// quietFanOut is the number of peers that are queried in each round because they
// were sent a task and have not been heard since.
const quietFanOut = 2

// judgeSilence tells the home which of the watched peers do not answer.
func (c *Core) judgeSilence() {
	if silence.SelfPaused(c.now.Mono, c.gossip.next) {
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

// queryQuiet queries watched peers that were sent a task and have not been heard
// since.
func (c *Core) queryQuiet() {
	left := quietFanOut
	for i := range c.watched {
		p := c.watched[(c.gossip.turn+i)%len(c.watched)]
		if left > 0 && p.silence.QueryDue(c.now.Mono) {
			c.query(p, false)
			left--
		}
	}
}
