package entry

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"
)

// silentRetry is the pause told to a caller whose job cannot be sent on.
const silentRetry = statusInterval

// judgeSilence marks the agents that do not answer, so that new jobs get another
// home.
func (c *Core) judgeSilence() {
	if silence.SelfPaused(c.now.Mono, c.gossip.next) {
		c.hearAll()
	}
	suspects, silent, usable := 0, 0, 0
	for _, a := range c.order {
		a.suspect = a.silence.Suspect(c.now.Mono)
		a.mute = a.silence.UnresponsiveFor(c.now.Mono) >= silence.RefuseAfter
		usable += count(a.usable())
		suspects += count(a.usable() && a.suspect)
		silent += count(a.usable() && a.mute)
	}
	c.cutOff = usable > 0 && !silence.SuspicionCredible(silent, usable)
	if silence.SuspicionCredible(suspects, usable) {
		return
	}
	for _, a := range c.order {
		a.suspect = false
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hearAll forgets the silence of all agents.
func (c *Core) hearAll() {
	for _, a := range c.order {
		a.silence.MessageReceived()
	}
}

// queryQuiet queries agents that were sent something and have not been heard
// since, a bounded number in each round.
func (c *Core) queryQuiet() {
	left := queryFanOut
	for _, a := range c.order {
		if left > 0 && !a.dead && a.silence.QueryDue(c.now.Mono) {
			c.query(a)
			left--
		}
	}
}

// refuseSilent answers a submission whose home has been silent for long without
// sending it, so that the caller tries another entry, or another ID, while there
// is time. It says nothing about other copies of the submission.
func (c *Core) refuseSilent(k *call) bool {
	a := c.agents[k.home]
	if k.kind != callSubmit || !a.mute {
		return false
	}
	c.replyKind(k, errkind.Unavailable, "the home of the job does not answer", silentRetry)
	return true
}
