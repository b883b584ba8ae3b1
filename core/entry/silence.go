package entry

import "github.com/dogwoodgauge/dogwoodgauge/core/policy/silence"

// judgeSilence marks the agents that do not answer, so that new jobs get another
// home.
func (c *Core) judgeSilence() {
	if silence.Late(c.now.Mono, c.gossip.next) {
		c.hearAll()
	}
	suspects, usable := 0, 0
	for _, a := range c.order {
		a.suspect = a.silence.Suspect(c.now.Mono)
		if !a.usable() {
			continue
		}
		usable++
		if a.suspect {
			suspects++
		}
	}
	if silence.Credible(suspects, usable) {
		return
	}
	for _, a := range c.order {
		a.suspect = false
	}
}

// hearAll forgets the silence of all agents.
func (c *Core) hearAll() {
	for _, a := range c.order {
		a.silence.Heard()
	}
}

// queryQuiet queries agents that were sent something and have not been heard
// since, a bounded number in each round.
func (c *Core) queryQuiet() {
	left := queryFanOut
	for _, a := range c.order {
		if left > 0 && !a.dead && a.silence.Due(c.now.Mono) {
			c.query(a)
			left--
		}
	}
}
