package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/containment"
	"github.com/dogwoodgauge/dogwoodgauge/core/rendezvous"
)

const (
	// isolationDivisor is the number of upstreams of a service for each one that runs
	// suspect tasks.
	isolationDivisor = 4
	// provingTime is how long after the offer of a suspect task its upstream gets no tasks of
	// other jobs: the time within which the task is a suspect, and that of the start.
	provingTime = containment.StartWindow + 20*time.Millisecond
	// isolationKey is the key by which all dispatchers rank agents alike.
	isolationKey = "isolation"
	// maxLoggedRuns limits the runs that the log line of a crash lists.
	maxLoggedRuns = 6
)

// handleCrashes processes the crashes of an agent's upstream that were not known yet. It
// gives up the jobs of tasks under which upstreams keep crashing.
func (c *Core) handleCrashes(a *agent, crashes []message.Crash) {
	for i := range crashes {
		crash := &crashes[i]
		if crash.Number <= a.knownCrash {
			continue
		}
		a.knownCrash = crash.Number
		c.stats.Crashes++
		c.placementNeeded = true
		c.logEvent("upstream_crashed", "", "agent", a.ref.String(), "crash", crash.Number, "runs", len(crash.Runs),
			"last_started", describeRuns(crash.Runs))
		for _, name := range c.crashes.Record(c.now.Mono, crash) {
			c.logEvent("task_condemned", name.Job, "task", name.String(), "agent", a.ref.String(), "open", c.byID[name.Job] != nil)
			if j, ok := c.byID[name.Job]; ok {
				c.answerJob(j, Failed, reasonCrashes, 0)
			}
		}
	}
}

// describeRuns lists the tasks that were started last, each with its age at the crash.
func describeRuns(runs []message.CrashedRun) string {
	var b strings.Builder
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		fmt.Fprintf(&b, "%s@%dms ", r.Task, r.Age.Milliseconds())
	}
	return strings.TrimSpace(b.String())
}

// isolationGroup identifies upstreams that can stand in for each other.
type isolationGroup struct{ service, label string }

// isolated reports whether an agent is among those that run the suspect tasks of a group.
func (c *Core) isolated(a *agent, g isolationGroup) bool {
	set, ok := c.isolation[g]
	if !ok {
		set = c.isolationSet(g)
		c.isolation[g] = set
	}
	return slices.Contains(set, a.ref.ID)
}

// isolationSet returns the agents of a group that run suspect tasks: those with the highest
// ranks in a fixed order. An agent whose upstream is down stays among them, so that
// crashes do not pass on to the others.
func (c *Core) isolationSet(g isolationGroup) []node.ID {
	if g.label != "" {
		if set := c.withLabel(c.isolationSet(isolationGroup{service: g.service}), g.label); len(set) > 0 {
			return set
		}
	}
	var ids []node.ID
	for _, a := range c.sortedAgents {
		if a.info.Service == g.service && hasLabel(a, g.label) && !a.dead && !a.suspect && !c.site.IsDomainOut(a.info.Domain) {
			ids = append(ids, a.ref.ID)
		}
	}
	ids = slices.Compact(ids)
	slices.SortFunc(ids, func(x, y node.ID) int {
		if rendezvous.Rank(isolationKey, x) > rendezvous.Rank(isolationKey, y) {
			return -1
		}
		return 1
	})
	return ids[:(len(ids)+isolationDivisor-1)/isolationDivisor]
}

// withLabel returns the agents whose upstreams have a label.
func (c *Core) withLabel(ids []node.ID, label string) []node.ID {
	var list []node.ID
	for _, a := range c.sortedAgents {
		if hasLabel(a, label) && slices.Contains(ids, a.ref.ID) {
			list = append(list, a.ref.ID)
		}
	}
	return list
}

// confined reports whether a task may only run on isolated upstreams.
func (c *Core) confined(t *task) bool {
	return c.crashes.Verdict(t.name()) != containment.Clear
}

// allowed reports whether the crashes permit t on the agent: a confined task only on an
// isolated one that proves no other job, any other task on those that prove none.
func (c *Core) allowed(t *task, a *agent) bool {
	if !c.crashes.Active() {
		return true
	}
	if proving := c.provingJob(a); proving != nil && proving != t.job {
		return false
	}
	return !c.confined(t) || c.isolated(a, isolationGroup{t.job.spec.Route.Service, t.stepSpec().RequiredLabel})
}

// provingJob returns the job whose suspect tasks have just been started by the agent, or
// nil. If the upstream crashes now, no other job is to blame.
func (c *Core) provingJob(a *agent) *job {
	if a.proving != nil && c.now.Mono < a.provingUntil {
		return a.proving
	}
	return nil
}

// recordConfinedOffer begins the proving time of a confined task.
func (c *Core) recordConfinedOffer(t *task, a *agent) {
	a.proving, a.provingUntil = t.job, c.now.Mono+provingTime
	c.provingEndsAt = max(c.provingEndsAt, a.provingUntil)
}

// endProving ends the proving time of an agent once the tasks of the job there have
// completed.
func (a *agent) endProving() {
	for _, t := range a.openOffers {
		if t.job == a.proving {
			return
		}
	}
	a.proving = nil
}

// updateContainment drops what is outdated in the state that depends on crashes.
func (c *Core) updateContainment() {
	clear(c.isolation)
	if !c.crashes.Active() {
		return
	}
	c.crashes.Expire(c.now.Mono)
	if c.provingEndsAt > 0 && c.now.Mono >= c.provingEndsAt {
		c.provingEndsAt, c.placementNeeded = 0, true
	}
}

// suspectJob reports whether an unplaced task of the job may have crashed an upstream.
func (c *Core) suspectJob(j *job) bool {
	return c.crashes.Active() && slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.state == unplaced && c.crashes.Verdict(t.name()) == containment.Suspect
	})
}
