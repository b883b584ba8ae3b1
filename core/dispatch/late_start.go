package dispatch

import "github.com/dogwoodgauge/dogwoodgauge/core/lease"

// recordUnanswered marks the tasks of an agent's offers of which a start call got no answer.
func (c *Core) recordUnanswered(a *agent, seqs []uint64) {
	for _, seq := range seqs {
		if h, ok := a.heldOffers[seq]; ok {
			c.announceHold(h)
		}
		if t, ok := a.openOffers[seq]; ok && !t.mayStartLate {
			t.mayStartLate = true
			c.logEvent("start_unanswered", t.job.spec.ID, "task", t.name().String(), "agent", a.ref.String(), "seq", seq)
		}
	}
}

// holdForLateStart holds a task of a lost agent if the task must not start elsewhere, and reports
// whether it does. The upstream may have restarted with its agent; it may then execute a start
// call that got no answer at any time until the agent's next incarnation has polled it, or
// the call is too old. That is so unless the agent has stated that every call was answered. If the
// task could no longer be done in time, its job is given up.
func (c *Core) holdForLateStart(t *task, a *agent) bool {
	if t.startsAnswered || a.leftNothing || c.now.Mono > max(a.lastHeartbeatAt, a.lastOfferAt)+lease.LateStartExpiry {
		return false
	}
	estimate := t.stepSpec().Estimate
	if c.now.Mono+leastDuration(estimate) > t.job.usefulUntil(c.cfg.UsefulFactor, estimate) {
		c.giveUp(t.job, reasonMayStartLate)
	}
	t.held = true
	return true
}

// heldBefore reports whether a, or an incarnation before it, has open offers, or jobs are held for
// it. Only the next ready incarnation can release those, and finds them through a.
func (c *Core) heldBefore(a *agent) bool {
	for known := true; known; a, known = c.agents[a.former] {
		if len(a.openOffers) > 0 || len(c.holds.known.Of(c.now.Mono, a.ref)) > 0 {
			return true
		}
	}
	return false
}

// repeatOffers repeats the open offers to an agent that is heard again after a silence, since its
// answers may be lost, and those of held tasks.
func (c *Core) repeatOffers(a *agent) {
	for _, seq := range sortedKeys(a.openOffers) {
		if t := a.openOffers[seq]; t.held || a.answersMayBeLost {
			t.held = false
			c.sendOffer(t)
		}
	}
	a.answersMayBeLost = false
}
