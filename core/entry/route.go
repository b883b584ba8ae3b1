package entry

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// route determines the home of a job that has an ID and sends the call to it.
func (c *Core) route(k *call) {
	if m, ok := k.id.Minted(); ok {
		if k.job != nil {
			k.job.Created = m.Created
		}
		k.home = m.Home
		if c.dead[m.Home] || c.agents[m.Home] == nil {
			c.homeLost(k)
			return
		}
		c.sendIfResponsive(k)
		return
	}
	home, ok := c.homeOf(k)
	k.home = home.Ref
	if !ok || c.dead[home.Ref] || c.agents[home.Ref] == nil {
		c.homeLost(k)
		return
	}
	c.sendIfResponsive(k)
}

// sendIfResponsive sends the call to its home, unless it is a submission and
// the home is unresponsive.
func (c *Core) sendIfResponsive(k *call) {
	if !c.refuseUnresponsive(k) {
		c.sendToHome(k, k.home)
	}
}

// homeOf determines the home of a job whose ID its caller chose. It uses the
// agents in force when the job was created, or those in force now if the call
// does not state the creation time.
func (c *Core) homeOf(k *call) (control.Member, bool) {
	if k.job != nil {
		return c.homes.Home(k.id, k.job.Created)
	}
	return c.homes.Home(k.id, c.now.Wall)
}

// homeLost handles a call whose home has ended, is unknown or holds no record.
// It asks the agents that may hold the answer instead.
func (c *Core) homeLost(k *call) {
	if k.askingSuccessors {
		c.askSuccessor(k)
		return
	}
	k.askingSuccessors = true
	for _, m := range c.successorsOf(k) {
		if m.Ref != k.home && !c.dead[m.Ref] {
			k.successors = append(k.successors, m.Ref)
		}
	}
	c.askSuccessor(k)
}

// successorsOf returns the agents that may hold the answer of a job whose home
// is lost.
func (c *Core) successorsOf(k *call) []control.Member {
	if m, ok := k.id.Minted(); ok {
		return rendezvous.Candidates(m.Home.String(), c.state.Agents(), 1)
	}
	successors := rendezvous.Candidates(k.home.String(), c.state.Agents(), 1)
	return append(successors, rendezvous.Candidates(string(k.id), c.state.Agents(), formerHomes)...)
}

// askSuccessor asks the next successor for the answer. When none is left, it
// answers the call with errkind.NotFound or errkind.OutcomeUnknown.
func (c *Core) askSuccessor(k *call) {
	if len(k.successors) == 0 {
		if k.kind != callSubmit && k.recordMissing {
			c.replyKind(k, errkind.NotFound, "no record of the job is held", 0)
			return
		}
		c.replyKind(k, errkind.OutcomeUnknown,
			"the home of the job has ended or is not known; nothing is started again", 0)
		return
	}
	k.home = k.successors[0]
	k.successors = k.successors[1:]
	if k.request == 0 {
		c.register(k)
	}
	c.sendFetch(k)
}
