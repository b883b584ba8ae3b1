package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/containment"
)

const (
	// isolationDivisor is the number of upstreams of a service for each one that runs
	// isolated tasks.
	isolationDivisor = 4
	// isolationResize is the pause between two changes of the number of isolated upstreams of
	// a service with confined routes. It grows while the tasks of all other routes use less
	// than growBelow of the capacity of the other upstreams, and shrinks while they use more
	// than shrinkAbove, each time by one or by 1/resizeDivisor of the upstreams. useWeight is
	// the weight of the newest value in the mean use.
	isolationResize = 50 * time.Millisecond
	growBelow       = 0.4
	shrinkAbove     = 0.6
	resizeDivisor   = 20
	useWeight       = 0.2
	// isolationKey is the key by which all dispatchers rank agents alike.
	isolationKey = "isolation"
	// isolationRefresh is how often the isolated upstreams are chosen again, and the waiting
	// tasks placed: time alone may permit what the last placement did not.
	isolationRefresh = 20 * time.Millisecond
	// provingTime is how long after the offer of a suspect task its upstream gets no tasks of
	// other jobs: the time within which the task is a suspect, and that of the start.
	provingTime = containment.StartWindow + 20*time.Millisecond
	// provingRetry is the pause after an agent has refused a task because an isolated task of
	// another dispatcher had just started there.
	provingRetry = 20 * time.Millisecond
)

// labelGroup identifies the upstreams of a service that have a label.
type labelGroup struct{ service, label string }

// isolationState is the part of a dispatcher's state that depends on crashes of upstreams.
type isolationState struct {
	refreshedAt time.Duration
	// reserved holds the services whose isolated upstreams are kept for confined routes.
	reserved map[string]bool
	// byLabel holds the isolated agents of label groups that have none of those of their
	// service. It is filled on demand.
	byLabel map[labelGroup][]*agent
	// sizes holds the sizes of the isolated sets of services with confined routes, as of
	// resizedAt.
	sizes     map[string]isolationSize
	resizedAt time.Duration
}

// isolationSize is the number of isolated upstreams of a service beyond the usual share, and
// the mean share of the capacity of all others that is in use.
type isolationSize struct {
	extra int
	use   float64
}

func newIsolationState() isolationState {
	return isolationState{reserved: make(map[string]bool), byLabel: make(map[labelGroup][]*agent), sizes: make(map[string]isolationSize)}
}

// updateIsolation drops what is outdated in the state that depends on crashes.
func (c *Core) updateIsolation() {
	if !c.crashes.Active() {
		return
	}
	for _, route := range c.crashes.Expire(c.now.Mono) {
		c.placementNeeded = true
		c.logEvent("route_released", "", "route", route)
	}
	if c.now.Mono-c.isolation.refreshedAt >= isolationRefresh {
		c.refreshIsolation()
		c.placementNeeded = true
	}
}

// refreshIsolation chooses the isolated upstreams of each service: a share of those with the
// highest ranks. An upstream that is down stays among them, so that crashes do not pass on
// to the others.
func (c *Core) refreshIsolation() {
	c.isolation.refreshedAt = c.now.Mono
	clear(c.isolation.byLabel)
	clear(c.isolation.reserved)
	services := make(map[string][]*agent)
	for _, a := range c.sortedAgents {
		a.isolated = false
		if c.mayIsolate(a) {
			services[a.info.Service] = append(services[a.info.Service], a)
		}
	}
	resize := c.now.Mono-c.isolation.resizedAt >= isolationResize
	if resize {
		c.isolation.resizedAt = c.now.Mono
	}
	for service, agents := range services {
		confined := c.crashes.ServiceConfined(c.now.Mono, service)
		if !confined {
			delete(c.isolation.sizes, service)
		}
		for _, a := range c.isolatedAmong(agents, c.isolation.sizes[service].extra, !confined) {
			a.isolated = true
		}
		// The isolated upstreams are of use to all routes while no other can get work.
		c.isolation.reserved[service] = confined &&
			slices.ContainsFunc(agents, func(a *agent) bool { return !a.isolated && c.expectedUsable(a) })
		if confined && resize {
			c.resizeIsolation(service, agents)
		}
	}
}

// resizeIsolation adapts the number of isolated upstreams of a service to the capacity that
// its other routes use.
func (c *Core) resizeIsolation(service string, agents []*agent) {
	used, capacity, others := 0, 0, 0
	for _, a := range agents {
		if !a.isolated && c.expectedUsable(a) {
			used += a.lastReport.Used.MilliCPU + a.unreportedSum.MilliCPU
			capacity += a.info.Capacity.MilliCPU
			others++
		}
	}
	use := float64(used) / float64(max(capacity, 1))
	size, known := c.isolation.sizes[service]
	if !known {
		size.use = use
	}
	size.use += useWeight * (use - size.use)
	change := max(1, len(agents)/resizeDivisor)
	switch {
	case size.use < growBelow && others > change:
		size.extra += change
	case size.use > shrinkAbove:
		size.extra = max(0, size.extra-change)
	}
	c.isolation.sizes[service] = size
}

// isolatedAmong returns those of the agents that run isolated tasks: the usual share and extra
// ones. If none of them can get work, it adds the next one that can if extend is set: no
// route is confined, so the isolated tasks are few.
func (c *Core) isolatedAmong(agents []*agent, extra int, extend bool) []*agent {
	ranked := slices.Clone(agents)
	slices.SortFunc(ranked, func(a, b *agent) int {
		return cmp.Or(cmp.Compare(b.isolationRank, a.isolationRank), compareRefs(a.ref, b.ref))
	})
	count := min((len(ranked)+isolationDivisor-1)/isolationDivisor+extra, len(ranked))
	if i := slices.IndexFunc(ranked, c.expectedUsable); extend && i >= count {
		return append(ranked[:count:count], ranked[i])
	}
	return ranked[:count]
}

// mayIsolate reports whether an agent can be among those that run isolated tasks.
func (c *Core) mayIsolate(a *agent) bool {
	return a.life.MayGetWork() && !a.suspect && !c.site.IsDomainOut(a.info.Domain)
}

// isolatedUsable returns the number of isolated upstreams of the service that can get work.
func (c *Core) isolatedUsable(service string) int {
	n := 0
	for _, a := range c.sortedAgents {
		if a.isolated && a.info.Service == service && c.expectedUsable(a) {
			n++
		}
	}
	return n
}

// isolatedFor reports whether an agent runs the isolated tasks that require a label.
func (c *Core) isolatedFor(a *agent, g labelGroup) bool {
	if g.label == "" {
		return a.isolated
	}
	group, ok := c.isolation.byLabel[g]
	if !ok {
		for _, o := range c.sortedAgents {
			if o.info.Service == g.service && hasLabel(o, g.label) && c.mayIsolate(o) {
				group = append(group, o)
			}
		}
		if isolated := slices.DeleteFunc(slices.Clone(group), func(o *agent) bool { return !o.isolated }); len(isolated) > 0 {
			group = isolated
		} else {
			group = c.isolatedAmong(group, 0, !c.crashes.ServiceConfined(c.now.Mono, g.service))
		}
		c.isolation.byLabel[g] = group
	}
	return slices.Contains(group, a)
}

// isolationOf returns the isolation of the offers of a task.
func (c *Core) isolationOf(t *task) message.Isolation {
	switch {
	case !c.crashes.Active():
		return message.NotIsolated
	case t.job.crashed && c.crashes.Verdict(t.name()) != containment.Clear && !c.clearedByOthers(t.job):
		return message.Alone
	case c.routeConfined(t.job):
		return message.Isolated
	default:
		return message.NotIsolated
	}
}

// clearedByOthers reports whether the suspects of a job need not start alone, since another
// route is known to crash the upstreams of its service.
func (c *Core) clearedByOthers(j *job) bool {
	return !c.routeConfined(j) && c.crashes.ServiceConfined(c.now.Mono, j.spec.Route.Service)
}

// allowed reports whether the crashes permit a task of this isolation on the agent: an
// isolated task only on an isolated upstream, any other task on those that no confined route
// needs. No task may follow one that starts alone.
func (c *Core) allowed(t *task, isolation message.Isolation, a *agent) bool {
	if !c.crashes.Active() {
		return true
	}
	if a.aloneJob != nil && a.aloneJob != t.job && c.now.Mono < a.aloneUntil || c.now.Mono < a.retryAt {
		return false
	}
	if isolation == message.NotIsolated {
		return !a.isolated || !c.isolation.reserved[a.info.Service]
	}
	if isolation == message.Alone && (c.now.Mono < a.aloneRetryAt || a.isolatedJob != t.job && c.now.Mono < a.isolatedAt+provingTime) {
		return false
	}
	return c.isolatedFor(a, labelGroup{t.job.spec.Route.Service, t.stepSpec().RequiredLabel})
}

// recordIsolatedOffer records the offer of an isolated task.
func (c *Core) recordIsolatedOffer(t *task, a *agent, isolation message.Isolation) {
	a.isolatedJob, a.isolatedAt = t.job, c.now.Mono
	if isolation == message.Alone {
		a.aloneJob, a.aloneUntil = t.job, c.now.Mono+provingTime
	}
}

// recordProving records that an agent has refused t since an isolated task of another
// dispatcher has just started there.
func (c *Core) recordProving(t *task, a *agent) {
	retryAt := c.now.Mono + provingRetry
	if c.isolationOf(t) == message.Alone {
		a.aloneRetryAt = retryAt
	} else {
		a.retryAt = retryAt
	}
}

// endAlone ends the time in which other tasks are kept from an agent, once the tasks of the
// job that started alone there have completed.
func (a *agent) endAlone() {
	if a.aloneJob == nil {
		return
	}
	for _, t := range a.openOffers {
		if t.job == a.aloneJob {
			return
		}
	}
	a.aloneJob = nil
}
