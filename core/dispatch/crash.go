package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/containment"
)

const (
	// contentionTime is how long after the refusal of a job of a confined route the isolated
	// upstreams count as contended.
	contentionTime = time.Second
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
		findings := c.crashes.Record(c.now.Mono, a.info.Service, c.upstreamsOf(a.info.Service), crash)
		c.logEvent("upstream_crashed", "", "agent", a.ref.String(), "crash", crash.Number, "sign", crash.Sign, "age_ms", crash.Age.Milliseconds(), "runs", len(crash.Runs),
			"last_started", describeRuns(crash.Runs), "blamed", fmt.Sprint(findings.Blamed[:min(len(findings.Blamed), maxLoggedRuns)]))
		for _, r := range crash.Runs {
			if j, ok := c.byID[r.Task.Job]; ok {
				j.crashed = true
			}
		}
		c.refreshIsolation()
		c.logFindings(a, findings)
		for _, name := range findings.Condemned {
			if j, ok := c.byID[name.Job]; ok {
				c.answerJob(j, Interrupted, reasonCrashes, 0)
			}
		}
		c.placementNeeded = true
	}
}

func (c *Core) logFindings(a *agent, f containment.Findings) {
	if len(f.Cleared) > 0 {
		c.logEvent("crashes_together", "", "service", a.info.Service, "agent", a.ref.String(), "cleared", len(f.Cleared))
	}
	for _, name := range f.Condemned {
		evidence := c.crashes.Evidence(name)
		c.logEvent("task_condemned", name.Job, "task", name.String(), "agent", a.ref.String(), "open", c.byID[name.Job] != nil,
			"crashes", evidence.Crashes, "blamed", evidence.Blamed, "blame", evidence.Blame)
	}
	for _, route := range f.Confined {
		var agents []string
		for _, o := range c.sortedAgents {
			if o.isolated && o.info.Service == a.info.Service {
				agents = append(agents, string(o.ref.ID))
			}
		}
		c.logEvent("route_confined", "", "route", route, "service", a.info.Service, "agents", strings.Join(agents, " "))
	}
}

// upstreamsOf returns the number of known upstreams of a service. An agent counts once,
// whatever the number of its incarnations that are remembered.
func (c *Core) upstreamsOf(service string) int {
	n := 0
	var last node.ID
	for _, a := range c.sortedAgents {
		if a.info.Service == service && a.ref.ID != last {
			last = a.ref.ID
			n++
		}
	}
	return n
}

// describeRuns lists the tasks that were started last, each with its age at the crash.
func describeRuns(runs []message.CrashedRun) string {
	var b strings.Builder
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		fmt.Fprintf(&b, "%s@%dms ", r.Task, r.Age.Milliseconds())
	}
	return strings.TrimSpace(b.String())
}

// suspectJob reports whether an unplaced task of the job may have crashed an upstream.
func (c *Core) suspectJob(j *job) bool {
	return j.crashed && slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.state == unplaced && c.crashes.Verdict(t.name()) == containment.Suspect
	})
}

// routeConfined reports whether the route of a job is confined.
func (c *Core) routeConfined(j *job) bool {
	return c.crashes.RouteConfined(c.now.Mono, j.spec.Route.Name)
}

// confinedOut reports whether a job of a confined route cannot be served soon: no isolated
// upstream is up, or as many jobs as there are such upstreams wait for their first start.
func (c *Core) confinedOut(j *job) bool {
	if !c.routeConfined(j) {
		return false
	}
	service, waiting := j.spec.Route.Service, 0
	for _, o := range c.waiting {
		if !o.mayHaveRun && o.spec.Route.Service == service && c.routeConfined(o) {
			waiting++
		}
	}
	return waiting >= c.isolatedUsable(service)
}

// giveUpConfined gives up jobs of confined routes that wait: those of which no task may have
// run, once no isolated upstream is up, and suspects, while other jobs of confined routes
// are refused. Starting a suspect again would cost those more than it can gain.
func (c *Core) giveUpConfined() {
	if c.crashes.ConfinedRoutes() == 0 {
		return
	}
	contended := c.confinedRefusedAt > 0 && c.now.Mono-c.confinedRefusedAt < contentionTime
	var list []*job
	for _, j := range c.waiting {
		if c.routeConfined(j) && (contended && c.suspectJob(j) || !j.mayHaveRun && c.isolatedUsable(j.spec.Route.Service) == 0) {
			list = append(list, j)
		}
	}
	for _, j := range list {
		c.giveUp(j, reasonConfined)
	}
}
