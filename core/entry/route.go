package entry

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

// route finds the home of a job that has an ID.
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
		c.reach(k)
		return
	}
	home, ok := c.homeOf(k)
	k.home = home.Ref
	if !ok || c.dead[home.Ref] || c.agents[home.Ref] == nil {
		c.homeLost(k)
		return
	}
	c.reach(k)
}

// reach sends the call to its home unless that does not answer.
func (c *Core) reach(k *call) {
	if !c.refuseSilent(k) {
		c.begin(k, k.home)
	}
}

// homeOf finds the home of an ID of the caller's own: by the agents in force
// when the job was created, or now when that time is not stated.
func (c *Core) homeOf(k *call) (control.Member, bool) {
	if k.job != nil {
		return c.homes.Home(k.id, k.job.Created)
	}
	return c.homes.Home(k.id, c.now.Wall)
}

// homeLost handles a call whose home is gone or not known: another process may
// hold the answer.
func (c *Core) homeLost(k *call) {
	if k.asking {
		c.askSuccessor(k)
		return
	}
	k.asking = true
	for _, m := range c.successorsOf(k) {
		if m.Ref != k.home && !c.dead[m.Ref] {
			k.successors = append(k.successors, m.Ref)
		}
	}
	c.askSuccessor(k)
}

// successorsOf returns the processes that may hold the answer of a lost home.
func (c *Core) successorsOf(k *call) []control.Member {
	if m, ok := k.id.Minted(); ok {
		return rendezvous.Candidates(m.Home.String(), c.state.Agents(), 1)
	}
	successors := rendezvous.Candidates(k.home.String(), c.state.Agents(), 1)
	return append(successors, rendezvous.Candidates(string(k.id), c.state.Agents(), formerHomes)...)
}

// askSuccessor asks the next process for the answer, or gives up.
func (c *Core) askSuccessor(k *call) {
	if len(k.successors) == 0 {
		if k.kind != callSubmit && k.found {
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
