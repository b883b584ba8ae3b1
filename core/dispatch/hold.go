package dispatch

import (
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/latestart"
)

// holdState holds the jobs of which a task may start late: an upstream may still execute a start
// call of an earlier submission, here or at another dispatcher.
type holdState struct {
	known latestart.Memory
	// own holds those of offers of this dispatcher that are not released.
	own map[latestart.Key]*ownHold
	// waiting lists the open jobs that were held, in the order of their arrival.
	waiting []*job
}

// ownHold is a hold for offers of this dispatcher.
type ownHold struct {
	latestart.Hold
	// offers holds the offers whose start calls may be executed late.
	offers map[uint64]bool
	// announced is the Offer of which the other dispatchers were told, or zero.
	announced uint64
}

// holdOffer holds the job of an open or revoked offer, unless all its start calls were answered.
// The other dispatchers are told if a call is known to be unanswered, or if the agent may have
// ended: the caller may submit the job again to one of them.
func (c *Core) holdOffer(t *task) {
	a := t.agent
	if t.startsAnswered || a.leftNothing {
		return
	}
	key := latestart.Key{Job: t.job.spec.ID, Agent: a.ref, Dispatcher: c.cfg.Self}
	h, ok := c.holds.own[key]
	if !ok {
		h = &ownHold{Hold: latestart.Hold{Key: key}, offers: make(map[uint64]bool)}
		if c.holds.own == nil {
			c.holds.own = make(map[latestart.Key]*ownHold)
		}
		c.holds.own[key] = h
	}
	if !h.offers[t.seq] {
		h.offers[t.seq] = true
		a.heldOffers[t.seq] = h
		h.Offer, h.ExpiresAt = max(h.Offer, t.seq), c.now.Mono+lease.LateStartExpiry
		c.remember(h.Hold)
	}
	if t.mayStartLate || a.suspect || !a.life.MayGetWork() {
		c.announceHold(h)
	}
}

func (c *Core) announceHold(h *ownHold) {
	if h.announced == h.Offer {
		return
	}
	h.announced = h.Offer
	c.logEvent("job_may_start_late", h.Job, "agent", h.Agent.String(), "offers", len(h.offers))
	c.announcements.enqueue(c.now.Mono, notice{hold: h.Hold})
}

// announceHoldsOf tells the other dispatchers of all jobs of which a task may start late beside an
// agent that may have ended.
func (c *Core) announceHoldsOf(a *agent) {
	for _, seq := range sortedKeys(a.openOffers) {
		c.holdOffer(a.openOffers[seq])
	}
	for _, seq := range sortedKeys(a.heldOffers) {
		c.announceHold(a.heldOffers[seq])
	}
	c.announceWitnessed(a)
}

// announceAllHolds tells the other dispatchers of all holds of this process, which ends.
func (c *Core) announceAllHolds() {
	for _, a := range c.sortedAgents {
		for _, seq := range sortedKeys(a.heldOffers) {
			c.announceHold(a.heldOffers[seq])
		}
	}
}

// remember records a hold, and reports whether it was news.
func (c *Core) remember(h latestart.Hold) bool {
	changed, forgotten := c.holds.known.Update(c.now.Mono, h)
	if forgotten != nil {
		c.stats.HoldsForgotten++
		c.logEvent("hold_forgotten", forgotten.Job, "agent", forgotten.Agent.String(), "limit", latestart.MaxHolds)
	}
	return changed
}

// recordStarted records the offers of which an agent states that every start call was answered.
func (c *Core) recordStarted(a *agent, seqs []uint64) {
	for _, seq := range seqs {
		if t, ok := a.openOffers[seq]; ok {
			t.startsAnswered = true
		}
		c.releaseOffer(a, seq)
	}
}

// releaseOffer records that no start call of an offer will be executed late.
func (c *Core) releaseOffer(a *agent, seq uint64) {
	h, ok := a.heldOffers[seq]
	if !ok {
		return
	}
	delete(a.heldOffers, seq)
	delete(h.offers, seq)
	if len(h.offers) > 0 {
		return
	}
	delete(c.holds.own, h.Key)
	if h.announced == 0 || c.now.Mono > h.ExpiresAt {
		c.holds.known.Remove(h.Key)
		return
	}
	h.Released = true
	c.remember(h.Hold)
	c.announcements.enqueue(c.now.Mono, notice{hold: h.Hold})
}

// forgetHoldsOf forgets the offers of an agent that is forgotten. Its holds have expired.
func (c *Core) forgetHoldsOf(a *agent) {
	for _, h := range a.heldOffers {
		delete(c.holds.own, h.Key)
	}
	clear(a.heldOffers)
}

// releaseHoldsOf releases all holds that wait for an incarnation of an agent: its next one has
// made the upstream refuse the start calls of before.
func (c *Core) releaseHoldsOf(ref node.Ref) {
	if a, ok := c.agents[ref]; ok {
		for _, seq := range sortedKeys(a.heldOffers) {
			c.releaseOffer(a, seq)
		}
	}
	for _, h := range c.holds.known.Of(c.now.Mono, ref) {
		h.Released = true
		c.remember(h)
	}
}

// learnHolds processes the holds of other dispatchers.
func (c *Core) learnHolds(from *agent, list []message.LateStart) {
	for _, l := range c.recordWitnessed(from, list) {
		c.learnHold(from, l.Received(c.now.Mono, lease.LateStartExpiry))
	}
}

// learnHold processes a hold of another dispatcher, and reports whether it was news that a job is
// held. A job that is open here is held too; if a task of it may run already, it is given up.
func (c *Core) learnHold(from *agent, h latestart.Hold) bool {
	if a, ok := c.agents[h.Agent]; ok && a.leftNothing {
		h.Released = true
	}
	if h.Dispatcher == c.cfg.Self || !c.remember(h) || h.Released {
		return false
	}
	c.logEvent("hold_learned", h.Job, "agent", h.Agent.String(), "dispatcher", h.Dispatcher.String(), "from", from.ref.String(),
		"left_ms", (h.ExpiresAt - c.now.Mono).Milliseconds())
	j, open := c.byID[h.Job]
	switch {
	case !open || j.held:
	case slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == offered }):
		c.giveUp(j, reasonMayStartLate)
	default:
		c.recordWithdrawal(j)
		c.holdJob(j)
	}
	return true
}

// holdJob keeps the tasks of an open job from being placed while the job is held.
func (c *Core) holdJob(j *job) {
	j.held, j.ranBefore = true, true
	for _, t := range j.tasks {
		if t.state == unplaced {
			t.state = blocked
		}
	}
	j.unplaced = 0
	c.dequeue(j)
	c.holds.waiting = append(c.holds.waiting, j)
	c.stats.HeldResubmissions++
	c.logEvent("job_held", j.spec.ID, "request", j.spec.Request, "holds", c.holds.known.Len())
}

// releaseJobs makes the jobs placeable that are no longer held.
func (c *Core) releaseJobs() {
	c.holds.waiting = slices.DeleteFunc(c.holds.waiting, func(j *job) bool {
		if c.jobs[j.call] != j {
			return true
		}
		if c.holds.known.Held(c.now.Mono, j.spec.ID) {
			return false
		}
		j.held = false
		c.unblock(j)
		c.enqueue(j)
		c.recordArrival(j)
		c.placementNeeded = true
		return true
	})
}
