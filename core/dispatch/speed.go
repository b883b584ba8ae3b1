package dispatch

import (
	"maps"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/speed"
)

const (
	// speedRefresh is the shortest pause between two comparisons of the upstreams' speeds.
	speedRefresh = 250 * time.Millisecond
	// slowdownLifetime is how long a reported slowdown is valid without a newer one. Then the
	// upstream counts as one of median speed, gets work, and is measured again.
	slowdownLifetime = 2 * time.Minute
	// slowRelative and fastRelative are the relative slowdowns from which an upstream is
	// called slow or fast in logs and metrics. It must cross them by speedMargin to change its
	// class. The margins together are more than twice the error of a measurement.
	slowRelative, fastRelative, speedMargin = 1.1, 0.9, 0.05
	// maxOfferedSlowdown bounds the slowdown in an offer, in percent, so that a wrong value does
	// not disable the check for lack of progress.
	maxOfferedSlowdown = 300
	// maxSpeedLogs limits the log lines on changes of speed in one comparison; the others
	// follow in the next ones.
	maxSpeedLogs = 4
)

// speedClass is a rough relative speed, for logs and metrics.
type speedClass uint8

const (
	medianSpeed speedClass = iota
	fastSpeed
	slowSpeed
)

// speedNames holds the names of the classes, indexed by speedClass.
var speedNames = []string{"median", "fast", "slow"}

// hostSpeed is the last known slowdown of an agent's upstream. It outlives the agent's
// incarnation.
type hostSpeed struct {
	service string
	// slowdown is in percent, as of reportedAt.
	slowdown   int
	reportedAt time.Duration
	class      speedClass
}

// speedState holds what is known of the upstreams' speeds.
type speedState struct {
	hosts map[node.ID]*hostSpeed
	// fleets holds the summary of each service, as of refreshedAt.
	fleets      map[string]speed.Fleet
	refreshedAt time.Duration
}

// recordSlowdown records the slowdown in a capacity report. Zero leaves the last value in
// place.
func (c *Core) recordSlowdown(a *agent, slowdown int) {
	if !c.cfg.LearnSpeed || slowdown <= 0 {
		return
	}
	if c.speeds.hosts == nil {
		c.speeds.hosts = make(map[node.ID]*hostSpeed)
	}
	h := c.speeds.hosts[a.ref.ID]
	if h == nil {
		h = &hostSpeed{}
		c.speeds.hosts[a.ref.ID] = h
	}
	h.service, h.slowdown, h.reportedAt = a.info.Service, slowdown, c.now.Mono
}

// slowdown returns the known slowdown of an agent's upstream in percent, or zero.
func (c *Core) slowdown(a *agent) int {
	if h := c.speeds.hosts[a.ref.ID]; h != nil && h.service == a.info.Service {
		return h.slowdown
	}
	return 0
}

// refreshSpeeds compares the speeds of the upstreams, at most once in speedRefresh.
func (c *Core) refreshSpeeds() {
	s := &c.speeds
	if !c.cfg.LearnSpeed || s.fleets != nil && c.now.Mono-s.refreshedAt < speedRefresh {
		return
	}
	s.refreshedAt = c.now.Mono
	maps.DeleteFunc(s.hosts, func(_ node.ID, h *hostSpeed) bool { return c.now.Mono-h.reportedAt > slowdownLifetime })
	known := make(map[string][]int)
	for _, a := range c.sortedAgents {
		if slowdown := c.slowdown(a); slowdown > 0 && a.life.MayGetWork() {
			known[a.info.Service] = append(known[a.info.Service], slowdown)
		}
	}
	s.fleets = make(map[string]speed.Fleet, len(known))
	for service, slowdowns := range known {
		s.fleets[service] = speed.Summarize(slowdowns)
	}
	c.classifySpeeds()
}

// classifySpeeds sets the relative slowdown of each agent and logs notable changes.
func (c *Core) classifySpeeds() {
	c.stats.FastAgents, c.stats.SlowAgents = 0, 0
	logged := 0
	for _, a := range c.sortedAgents {
		slowdown, fleet := c.slowdown(a), c.speeds.fleets[a.info.Service]
		a.relativeSlowdown = fleet.Relative(slowdown)
		h := c.speeds.hosts[a.ref.ID]
		if h == nil || !a.life.MayGetWork() {
			continue
		}
		if class := nextClass(h.class, a.relativeSlowdown); class != h.class && logged < maxSpeedLogs {
			logged++
			c.logEvent("agent_speed", "", "agent", a.ref.String(), "was", speedNames[h.class], "now", speedNames[class],
				"slowdown_percent", slowdown, "median_percent", fleet.Median)
			h.class = class
		}
		switch h.class {
		case fastSpeed:
			c.stats.FastAgents++
		case slowSpeed:
			c.stats.SlowAgents++
		}
	}
}

// nextClass returns the class of an upstream that had class was.
func nextClass(was speedClass, relative float64) speedClass {
	slow, fast := slowRelative+speedMargin, fastRelative-speedMargin
	switch was {
	case slowSpeed:
		slow = slowRelative - speedMargin
	case fastSpeed:
		fast = fastRelative + speedMargin
	}
	switch {
	case relative >= slow:
		return slowSpeed
	case relative <= fast:
		return fastSpeed
	default:
		return medianSpeed
	}
}

// speedPenalty returns what the speed of a's upstream takes from its score for t. A task is
// rated by its expected completion against the objective of its job, so long and late tasks
// prefer fast upstreams more than others.
func (c *Core) speedPenalty(t *task, a *agent) float64 {
	if !c.cfg.LearnSpeed || a.relativeSlowdown == 0 {
		return 0
	}
	return speed.Penalty(a.relativeSlowdown, t.stepSpec().Estimate, t.job.objective-c.now.Mono)
}

// expectedLongest returns the expected duration of the longest task of a job on an upstream
// of mean speed.
func (c *Core) expectedLongest(j *job) time.Duration {
	fleet, ok := c.speeds.fleets[j.spec.Route.Service]
	if !ok {
		return j.longestEstimate
	}
	return time.Duration(float64(j.longestEstimate) * fleet.Mean)
}

// offeredSlowdown returns the slowdown that an offer to a states, or zero.
func (c *Core) offeredSlowdown(a *agent) int {
	if slowdown := c.slowdown(a); slowdown > 100 {
		return min(slowdown, maxOfferedSlowdown)
	}
	return 0
}
