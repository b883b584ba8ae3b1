package dispatch

import (
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// nearBonus is what an agent in the failure domain of this process is
	// preferred by, as a share of free room: messages to others are dear.
	nearBonus = 0.15
	// affinityBonus is what an upstream with the label in Step.PreferredLabel is preferred by:
	// elsewhere the task takes half as long again.
	affinityBonus = 0.5
	// avoidPenalty puts the agents behind all others where the task failed or was
	// refused.
	avoidPenalty = 4.0
	// maxMoves is how often a task is taken from an upstream for its lack of progress.
	// One that is slow on that many is slow itself.
	maxMoves = 2
	// maxMisses bounds the tasks without room that one placement looks at.
	maxMisses = 16
)

// candidate is an agent that may get tasks in this placement, with the room that is
// left there.
type candidate struct {
	agent *agent
	free  message.Resources
}

// placementOrder returns the jobs with tasks to place: by priority, and within one those that
// have begun or can still meet their objective before those that cannot, each in
// order of their objectives. When more is asked for than there is room, serving the
// earliest objective first would make all of them late. The returned slice is valid
// until the next call.
func (c *Core) placementOrder() []*job {
	list := c.ordered[:0]
	for begin := 0; begin < len(c.waiting); {
		end := begin + 1
		for end < len(c.waiting) && c.waiting[end].spec.Route.Priority == c.waiting[begin].spec.Route.Priority {
			end++
		}
		for _, late := range []bool{false, true} {
			for _, j := range c.waiting[begin:end] {
				if c.late(j) == late {
					list = append(list, j)
				}
			}
		}
		begin = end
	}
	c.ordered = list
	return list
}

// late reports whether a job of which nothing has begun cannot meet its objective.
func (c *Core) late(j *job) bool { return !j.touched && c.now.Mono+j.longest > j.objective }

// findCandidates returns the agents that may get work now.
func (c *Core) findCandidates() []candidate {
	c.candidates = c.candidates[:0]
	for _, a := range c.order {
		if c.usable(a) && !c.faults.Quarantined(c.now.Mono, a.ref.ID) {
			c.candidates = append(c.candidates, candidate{a, a.free()})
		}
	}
	return c.candidates
}

// place offers the tasks that wait, in order, while there is room.
func (c *Core) place() {
	if !c.dirty {
		return
	}
	c.dirty = false
	if len(c.waiting) == 0 {
		return
	}
	candidates := c.findCandidates()
	misses := 0
	for _, j := range c.placementOrder() {
		for _, t := range j.tasks {
			if t.state != unplaced {
				continue
			}
			best := c.choose(t, candidates)
			if best == nil {
				misses++
				break
			}
			best.free = best.free.Sub(t.kind().Demand)
			c.offer(t, best.agent)
		}
		if j.unplaced == 0 {
			c.dequeue(j)
		}
		if misses >= maxMisses {
			return
		}
	}
}

// choose returns the candidate that gets t, or nil when none has room.
func (c *Core) choose(t *task, candidates []candidate) *candidate {
	var best *candidate
	var bestScore float64
	need := t.kind().Demand
	c.stats.AgentsExamined += uint64(len(candidates))
	for i := range candidates {
		o := &candidates[i]
		if !need.Fits(o.free) || !eligible(t, o.agent) {
			continue
		}
		if score := c.score(t, o.agent, o.free); best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

// eligible reports whether an agent that takes work may run t, whatever its room.
func eligible(t *task, a *agent) bool {
	kind := t.kind()
	return a.kind.Service == t.job.spec.Route.Service && hasLabel(a, kind.RequiredLabel) &&
		(kind.MaxPerUpstream == 0 || t.onAgent(a) < kind.MaxPerUpstream)
}

// onAgent counts the tasks of the same step that a has.
func (t *task) onAgent(a *agent) int {
	n := 0
	for _, o := range t.job.tasks {
		if o.step == t.step && o.state == offered && o.agent == a {
			n++
		}
	}
	return n
}

// score ranks the agents that have room: the freest one first, near ones before
// others.
func (c *Core) score(t *task, a *agent, free message.Resources) float64 {
	score := float64(free.MilliCPU) / float64(max(a.kind.Capacity.MilliCPU, 1))
	if a.kind.Domain == c.cfg.Domain {
		score += nearBonus
	}
	if near := t.kind().PreferredLabel; near != "" && hasLabel(a, near) {
		score += affinityBonus
	}
	if slices.Contains(t.avoid, a.ref.ID) {
		score -= avoidPenalty
	}
	return score
}

// offer hands t to a.
func (c *Core) offer(t *task, a *agent) {
	c.seq++
	t.seq, t.agent, t.state = c.seq, a, offered
	t.runs++
	t.job.unplaced--
	t.job.touched = true
	t.job.offers++
	c.sent[t.seq] = t
	a.sent[t.seq] = t
	a.addExtra(t.seq, t.kind().Demand)
	c.faults.RecordSent(c.now.Mono, a.ref.ID)
	c.stats.Offers++
	c.logEvent("task_offered", t.job.spec.ID, "task", t.name().String(), "seq", t.seq, "run", t.runs, "agent", a.ref.String(),
		"room_version", a.room.Version, "heard_ms_ago", (c.now.Mono - a.heardAt).Milliseconds(),
		"waited_ms", (c.now.Mono - t.job.arrived).Milliseconds())
	c.sendOffer(t)
}

func (c *Core) sendOffer(t *task) {
	kind := t.kind()
	expected := kind.Estimate
	if t.moves >= maxMoves {
		expected = 0
	}
	c.send(t.agent.ref, message.Message{Offer: &message.Offer{
		Seq: t.seq, Task: t.name(), RunNumber: t.runs, Service: t.job.spec.Route.Service, Spec: t.job.spec.Spec,
		Demand: kind.Demand, ExpectedDuration: expected, EchoedTimestamp: t.agent.stamp, EchoAge: c.now.Mono - t.agent.heardAt,
		FirstWaiting: c.firstWaiting(),
	}})
}
