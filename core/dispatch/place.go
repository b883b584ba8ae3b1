package dispatch

import (
	"iter"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// sameDomainBonus is added to the score of an agent in the failure domain of this
	// process, since messages between failure domains are expensive. Without bonuses, the
	// score is the share of free capacity. A task leaves its domain when the agents there are
	// nearly full while others are nearly idle.
	sameDomainBonus = 0.4
	// affinityBonus is added to the score of an agent whose upstream has the label in
	// Step.PreferredLabel. On other upstreams the task takes up to twice as long.
	affinityBonus = 0.75
	// togetherBonus keeps the isolated tasks of a job together, so that a crash takes few jobs
	// along.
	togetherBonus = 2.0
	// avoidPenalty ranks the agents that the task avoids behind all others.
	avoidPenalty = 4.0
	// maxTooSlowRuns is how often a task moves to another upstream for lack of progress. A
	// task that is slow on that many upstreams is slow itself.
	maxTooSlowRuns = 2
	// maxPlacementMisses is the number of tasks without a fitting agent after which a
	// placement ends.
	maxPlacementMisses = 16
)

// reportLifetime is the age at which a report says nothing more about the capacity in use:
// most tasks that it includes have completed.
const reportLifetime = time.Second

// candidate is an agent that may get tasks in this placement. Its free capacity excludes
// what this placement has already offered to it.
type candidate struct {
	agent *agent
	free  message.Resources
}

// urgency ranks the jobs of one priority.
type urgency uint8

const (
	// onTime: the job has started, or can still meet its objective.
	onTime urgency = iota
	late
	// suspect: a task of the job may have crashed an upstream.
	suspect
)

// urgency returns the urgency of a job with unplaced tasks.
func (c *Core) urgency(j *job) urgency {
	switch {
	case c.suspectJob(j):
		return suspect
	case c.missesObjective(j):
		return late
	default:
		return onTime
	}
}

// placementOrder returns the jobs with unplaced tasks by priority, and within a priority by
// urgency. Jobs of the same urgency are ordered by objective. When the demand exceeds the
// capacity, an order by objective alone would make all jobs late. Jobs are examined only as
// far as the caller gets, since few can be placed while thousands wait. With minimum shares,
// sharedOrder replaces this order.
func (c *Core) placementOrder(candidates []candidate) iter.Seq[*job] {
	if c.shares.placed != nil {
		return c.sharedOrder(candidates)
	}
	return func(yield func(*job) bool) {
		// The caller removes jobs from c.waiting.
		c.placementList = append(c.placementList[:0], c.waiting...)
		for list := c.placementList; len(list) > 0; {
			n := firstQueueLength(list)
			if !c.orderByUrgency(list[:n], yield) {
				return
			}
			list = list[n:]
		}
	}
}

// orderByUrgency passes jobs of one priority to yield by urgency, until yield returns false.
// It returns false then. It overwrites the list.
func (c *Core) orderByUrgency(list []*job, yield func(*job) bool) bool {
	for _, urgency := range []urgency{onTime, late, suspect} {
		rest := list[:0]
		for _, j := range list {
			if c.urgency(j) != urgency {
				rest = append(rest, j)
			} else if !yield(j) {
				return false
			}
		}
		list = rest
	}
	return true
}

// missesObjective reports whether a job of which no task may have run cannot meet its
// objective.
func (c *Core) missesObjective(j *job) bool {
	return !j.mayHaveRun && c.now.Mono+c.expectedLongest(j) > j.objective
}

// findCandidates returns the agents that may get work now.
func (c *Core) findCandidates() []candidate {
	c.candidates = c.candidates[:0]
	used, capacity := 0, 0
	for _, a := range c.sortedAgents {
		if !c.usable(a) || c.faults.Quarantined(c.now.Mono, a.ref.ID) {
			continue
		}
		c.candidates = append(c.candidates, candidate{a, a.free()})
		if c.reportAge(a) <= lease.HeartbeatInterval {
			used += a.lastReport.Used.MilliCPU
			capacity += a.info.Capacity.MilliCPU
		}
	}
	if capacity > 0 {
		c.discountOldReports(float64(used) / float64(capacity))
	}
	return c.candidates
}

// reportAge returns the age of the last report of an agent. It is zero for an agent that
// sends every heartbeat to all dispatchers.
func (c *Core) reportAge(a *agent) time.Duration {
	if a.idleInterval == lease.HeartbeatInterval {
		return 0
	}
	return c.now.Mono - a.lastMessageAt
}

// discountOldReports replaces the free capacity in old reports by what is likely, given the
// share of capacity in use in new ones. In a full fleet nearly all offers to agents that
// reported free capacity long ago would be refused; such agents are notified of the waiting
// tasks instead, and those with free capacity then report it.
func (c *Core) discountOldReports(usedShare float64) {
	for i := range c.candidates {
		o := &c.candidates[i]
		age := c.reportAge(o.agent)
		if age <= lease.HeartbeatInterval {
			continue
		}
		weight := min(float64(age)/float64(reportLifetime), 1)
		reported := float64(o.agent.lastReport.Used.MilliCPU)
		likely := usedShare * float64(o.agent.info.Capacity.MilliCPU)
		o.free.MilliCPU -= int(weight * (likely - reported))
	}
}

// place offers the waiting tasks to agents, in placementOrder, while there is free capacity.
func (c *Core) place() {
	if !c.placementNeeded {
		return
	}
	c.placementNeeded = false
	if len(c.waiting) == 0 {
		return
	}
	c.refreshSpeeds()
	candidates := c.findCandidates()
	misses := 0
	for j := range c.placementOrder(candidates) {
		for _, t := range j.tasks {
			if t.state != unplaced {
				continue
			}
			best := c.chooseCandidate(t, candidates)
			if best == nil && c.isolationOf(t) != message.NotIsolated {
				continue // Others of its tasks may run elsewhere.
			}
			if best == nil {
				misses++
				break
			}
			best.free = best.free.Sub(t.stepSpec().Demand)
			c.offerTask(t, best.agent)
		}
		if j.unplaced == 0 {
			c.dequeue(j)
		} else {
			c.recount(j)
		}
		if misses >= maxPlacementMisses {
			return
		}
	}
}

// chooseCandidate returns the best candidate for t, or nil if none is eligible and has
// enough free capacity.
func (c *Core) chooseCandidate(t *task, candidates []candidate) *candidate {
	var best *candidate
	var bestScore float64
	demand, isolation := t.stepSpec().Demand, c.isolationOf(t)
	c.stats.AgentsExamined += uint64(len(candidates))
	for i := range candidates {
		o := &candidates[i]
		if !demand.Fits(o.free) || !eligible(t, o.agent) || !c.allowed(t, isolation, o.agent) {
			continue
		}
		if score := c.score(t, o.agent, o.free, isolation != message.NotIsolated); best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

// eligible reports whether a usable agent may run t, whatever its free capacity.
func eligible(t *task, a *agent) bool {
	spec := t.stepSpec()
	return a.info.Service == t.job.spec.Route.Service && hasLabel(a, spec.RequiredLabel) &&
		(spec.MaxPerUpstream == 0 || t.countOnAgent(a) < spec.MaxPerUpstream)
}

// countOnAgent counts the tasks of t's step that are offered to a.
func (t *task) countOnAgent(a *agent) int {
	n := 0
	for _, o := range t.job.tasks {
		if o.step == t.step && o.state == offered && o.agent == a {
			n++
		}
	}
	return n
}

// score rates an agent that has enough free capacity; the highest score is chosen. It is
// the share of free capacity, plus the bonuses, minus the penalties if t avoids the agent, its
// upstream is slow, or tasks there slow t down.
func (c *Core) score(t *task, a *agent, free message.Resources, isolated bool) float64 {
	score := float64(free.MilliCPU) / float64(max(a.info.Capacity.MilliCPU, 1))
	if a.info.Domain == c.cfg.Domain {
		score += sameDomainBonus
	}
	if label := t.stepSpec().PreferredLabel; label != "" && hasLabel(a, label) {
		score += affinityBonus
	}
	if slices.Contains(t.avoided, a.ref.ID) {
		score -= avoidPenalty
	}
	if isolated && a.isolatedJob == t.job {
		score += togetherBonus
	}
	return score - c.speedPenalty(t, a) - c.interferencePrice(t, a)
}

// offerTask places t on a with a new offer.
func (c *Core) offerTask(t *task, a *agent) {
	c.lastSeq++
	t.seq, t.agent, t.state = c.lastSeq, a, offered
	t.starts++
	t.firstSentAt = 0
	t.startsAnswered, t.mayStartLate, t.held = false, false, false
	t.job.unplaced--
	t.rank, t.late = c.rankOf(t), c.missesObjective(t.job)
	t.job.mayHaveRun = true
	t.job.offerCount++
	if !a.active() {
		a.activeSince = c.now.Mono
	}
	c.openOffers[t.seq] = t
	a.openOffers[t.seq] = t
	isolation := c.isolationOf(t)
	if isolation != message.NotIsolated {
		c.recordIsolatedOffer(t, a, isolation)
	}
	a.addUnreported(t.seq, t.stepSpec().Demand)
	c.faults.RecordSent(c.now.Mono, a.ref.ID)
	c.stats.Offers++
	c.recordPlaced(t, 1)
	c.addToShare(t)
	c.logEvent("task_offered", t.job.spec.ID, "task", t.name().String(), "seq", t.seq, "run", t.starts, "agent", a.ref.String(),
		"room_version", a.lastReport.Version, "heard_ms_ago", (c.now.Mono - a.lastHeartbeatAt).Milliseconds(),
		"waited_ms", (c.now.Mono - t.job.arrivedAt).Milliseconds(), "isolation", isolation.String())
	c.sendOffer(t)
}

// sendOffer sends the open offer of t, for the first time or again.
func (c *Core) sendOffer(t *task) {
	spec := t.stepSpec()
	expected := spec.Estimate
	if t.tooSlowRuns >= maxTooSlowRuns {
		expected = 0
	}
	t.agent.lastOfferAt = c.now.Mono
	firstSentAt := t.firstSentAt
	if firstSentAt == 0 {
		t.firstSentAt = max(t.agent.lastTimestamp, 1)
	} else {
		c.logEvent("offer_repeated", t.job.spec.ID, "task", t.name().String(), "seq", t.seq, "agent", t.agent.ref.String(),
			"heard_ms_ago", (c.now.Mono - t.agent.lastHeartbeatAt).Milliseconds())
	}
	offer := &message.Offer{
		Seq: t.seq, Task: t.name(), RunNumber: t.starts, Service: t.job.spec.Route.Service, Route: t.job.spec.Route.Name, Isolation: c.isolationOf(t), Spec: t.job.spec.Spec,
		RequiredLabel: spec.RequiredLabel, Demand: spec.Demand, ExpectedDuration: expected, EchoedTimestamp: t.agent.lastTimestamp, EchoAge: c.now.Mono - t.agent.lastHeartbeatAt,
		FirstSentAt:  firstSentAt,
		FirstWaiting: c.firstWaiting(t.agent), Slowdown: c.offeredSlowdown(t.agent),
	}
	if c.cfg.OrderAcross {
		offer.Priority, offer.Due, offer.Late = t.rank, c.due(t.job), t.late
	}
	c.send(t.agent.ref, message.Message{Offer: offer})
}
