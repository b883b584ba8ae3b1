package dispatch

import (
	"math"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/interference"
)

// exploreInterval is the number of offers of which one ignores interference, so that a
// finding can be disproved.
const exploreInterval = 16

// updateInterference updates the findings and the request for evidence in heartbeats.
func (c *Core) updateInterference() {
	if c.interference == nil {
		return
	}
	begun, ended := c.interference.Evaluate(c.now.Mono)
	for _, f := range begun {
		c.logFinding("interference_found", f)
	}
	for _, f := range ended {
		c.logFinding("interference_ended", f)
	}
	if c.watch == nil || len(begun)+len(ended) > 0 {
		c.watch = &message.InterferenceWatch{Routes: c.interference.Watched()}
	}
}

func (c *Core) logFinding(event string, f interference.Finding) {
	c.logEvent(event, "", "route", f.Route, "beside", f.Beside, "slower_percent", int(math.Round(100*math.Expm1(f.Excess))),
		"significance", math.Round(10*f.Significance)/10, "weight", math.Round(f.Weight), "agents", math.Round(f.Agents))
}

// applyEvidence records the evidence in a heartbeat of an agent.
func (c *Core) applyEvidence(a *agent, evidence *message.InterferenceReport) {
	if c.interference != nil && evidence != nil {
		c.interference.Add(c.now.Mono, a.ref.ID, evidence)
	}
}

// interferencePrice returns what the next offer of t to an agent costs because of tasks that
// run there. One of exploreInterval offers costs nothing.
func (c *Core) interferencePrice(t *task, a *agent) float64 {
	if c.interference == nil || len(c.interference.Findings()) == 0 || (c.lastSeq+1)%exploreInterval == 0 {
		return 0
	}
	return c.interference.Price(t.job.spec.Route.Name, func(route string) bool { return c.mayRun(a, route) })
}

// mayRun reports whether tasks of a route run on the upstream of an agent, as far as known:
// according to its last report, or because of offers that the report does not include.
func (c *Core) mayRun(a *agent, route string) bool {
	if a.lastReport.Running[route] > 0 {
		return true
	}
	for seq := range a.unreported {
		if t, ok := c.openOffers[seq]; ok && t.job.spec.Route.Name == route {
			return true
		}
	}
	return false
}
