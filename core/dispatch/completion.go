package dispatch

import (
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// revoke asks the agent to stop or never start a run whose result is no longer needed.
func (c *Core) revoke(t *task) {
	a := t.agent
	c.holdOffer(t)
	delete(c.openOffers, t.seq)
	delete(a.openOffers, t.seq)
	a.revokedAt[t.seq] = c.now.Mono
	c.send(a.ref, message.Message{RevokeOffer: &message.RevokeOffer{Seq: t.seq}})
}

// resendRevocations repeats each RevokeOffer that the agent has not answered for
// revokeRetryInterval.
func (c *Core) resendRevocations(a *agent) {
	for _, seq := range sortedKeys(a.revokedAt) {
		if c.now.Mono-a.revokedAt[seq] >= revokeRetryInterval {
			a.revokedAt[seq] = c.now.Mono
			c.send(a.ref, message.Message{RevokeOffer: &message.RevokeOffer{Seq: seq}})
		}
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// handleRunCompletion processes the completion of an offer.
func (c *Core) handleRunCompletion(a *agent, e *message.RunCompletion) {
	if e.Capacity != nil {
		c.applyCapacity(a, e.Capacity)
	}
	delete(a.revokedAt, e.Seq)
	c.releaseOffer(a, e.Seq)
	a.removeUnreported(e.Seq)
	c.placementNeeded = true
	t, ok := c.openOffers[e.Seq]
	if !ok || t.agent != a {
		return
	}
	delete(c.openOffers, e.Seq)
	delete(a.openOffers, e.Seq)
	a.endAlone()
	id := t.job.spec.ID
	switch e.Result {
	case message.RunDone:
		c.faults.Observe(c.now.Mono, a.ref.ID, id, false)
		c.crashes.Acquit(t.name())
		c.recordTaskDone(t)
	case message.RunFailed:
		c.faults.Observe(c.now.Mono, a.ref.ID, id, true)
		c.logEvent("task_failed", id, "task", t.name().String(), "agent", a.ref.String(), "failures", t.failures+1,
			"took_ms", e.Duration.Milliseconds())
		t.avoidAgent(a.ref.ID)
		c.recordTaskFailure(t)
	case message.RunRefused:
		c.stats.Refusals++
		c.logEvent("offer_refused", id, "task", t.name().String(), "agent", a.ref.String(), "reason", e.Reason, "may_have_run", e.MayHaveRun)
		c.handleRefusal(t, a, e)
	default:
		if e.Reason == message.RefusedTakenOver {
			c.giveUp(t.job, reasonTakenOver)
			return
		}
		c.stats.LostRuns++
		if e.Reason == message.LostUpstreamCrashed {
			c.stats.CrashedRuns++
		}
		c.logEvent("run_lost", id, "task", t.name().String(), "agent", a.ref.String(), "result", e.Result, "reason", e.Reason)
		if e.Reason == message.RefusedTooSlow {
			t.tooSlowRuns++
			t.avoidAgent(a.ref.ID)
			c.faults.Observe(c.now.Mono, a.ref.ID, id, true)
		}
		c.requeue(t)
	}
}

// handleRefusal requeues a task that the agent has refused to start.
func (c *Core) handleRefusal(t *task, a *agent, e *message.RunCompletion) {
	reason := e.Reason
	if reason != message.RefusedStopping {
		t.starts-- // Otherwise a run of an earlier submission may have started.
	}
	t.job.ranBefore = t.job.ranBefore || e.MayHaveRun
	c.recordPlaced(t, -1)
	c.removeFromShare(t)
	if reason == message.RefusedProving {
		c.recordProving(t, a)
	} else if reason != message.RefusedNoCapacity && reason != message.RefusedStopping {
		t.avoidAgent(a.ref.ID)
	}
	j := t.job
	c.requeue(t)
	j.mayHaveRun = j.anyMayHaveRun()
	switch reason {
	case message.RefusedCancelled:
		c.learnCancelled(a, []string{j.spec.ID})
		return
	case message.RefusedIDInUse:
		c.giveUp(j, reasonIDInUse)
		return
	}
	if !j.mayHaveRun {
		c.latestStarts.Add(j.latestStart(c.cfg.UsefulFactor), j.call)
	}
}

// anyMayHaveRun reports whether a task has been started or may have been.
func (j *job) anyMayHaveRun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.starts > 0 })
}

// avoidAgent makes later placements of the task prefer other agents.
func (t *task) avoidAgent(id node.ID) {
	if !slices.Contains(t.avoided, id) {
		t.avoided = append(t.avoided, id)
	}
}
