package containment

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
)

const (
	// confinement is how long a route is confined after the last crash that a task of it is
	// blamed for: longer than an upstream takes to come back.
	confinement = 10 * time.Second
	// A crash of which a route has relevantShare of the blame confines it or extends its
	// confinement. To be confined, tasks of confiningJobs jobs of it must have been condemned,
	// or of one, and the sum of its shares must exceed confiningBlame and be confiningShare of
	// the blame for all crashes.
	relevantShare  = 0.35
	confiningBlame = 1.25
	confiningShare = 0.6
	confiningJobs  = 2
)

// crashRecord is what a crash counts towards the blame of routes.
type crashRecord struct {
	at time.Duration
	// shares holds the shares of the routes, and jobs the blamed jobs.
	shares map[string]float64
	jobs   map[string]bool
}

// condemnation is when a task of a job was condemned that was blamed for crashes.
type condemnation struct {
	at    time.Duration
	route string
	task  message.TaskName
}

// confinedRoute is a route that is confined until a time, and its service.
type confinedRoute struct {
	service string
	until   time.Duration
}

// confineRoutes confines or extends the confinement of those routes that have shares of the
// blame for a crash, and returns the newly confined ones.
func (t *Tracker) confineRoutes(now time.Duration, service string, shares map[string]float64) (confined []string) {
	for route, share := range shares {
		isConfined := t.RouteConfined(now, route)
		if share < relevantShare || !isConfined && !t.mustConfine(route) {
			continue
		}
		if !isConfined {
			confined = append(confined, route)
		}
		t.confined[route] = confinedRoute{service, now + confinement}
	}
	slices.Sort(confined)
	return confined
}

// mustConfine reports whether the blame for recent crashes suffices to confine the route.
func (t *Tracker) mustConfine(route string) bool {
	switch condemned := t.condemnedJobsOf(route); {
	case condemned == 0:
		return false
	case condemned >= confiningJobs:
		return true
	default:
		blame, events := t.blameOf(route)
		return blame > confiningBlame && blame >= confiningShare*float64(events)
	}
}

// condemnedJobsOf returns the number of jobs of the route with a condemned task.
func (t *Tracker) condemnedJobsOf(route string) int {
	jobs := make(map[string]bool)
	for _, x := range t.condemnations {
		if x.route == route {
			jobs[x.task.Job] = true
		}
	}
	return len(jobs)
}

// blameOf returns the sum of a route's shares of blame, and the number of events. An event
// is one crash, or several within sameEvent, of which the mean share counts.
func (t *Tracker) blameOf(route string) (blame float64, events int) {
	for begin := 0; begin < len(t.crashes); events++ {
		end, sum := begin, 0.0
		for end < len(t.crashes) && t.crashes[end].at-t.crashes[begin].at <= sameEvent {
			sum += t.crashes[end].shares[route]
			end++
		}
		blame += sum / float64(end-begin)
		begin = end
	}
	return blame, events
}

// RouteConfined reports whether the tasks of a route are confined to a few upstreams.
func (t *Tracker) RouteConfined(now time.Duration, route string) bool {
	if len(t.confined) == 0 {
		return false
	}
	r, ok := t.confined[route]
	return ok && now < r.until
}

// ServiceConfined reports whether a route of the service is confined.
func (t *Tracker) ServiceConfined(now time.Duration, service string) bool {
	for _, r := range t.confined {
		if r.service == service && now < r.until {
			return true
		}
	}
	return false
}

// ConfinedRoutes returns the number of confined routes, as of the last call of Expire.
func (t *Tracker) ConfinedRoutes() int { return len(t.confined) }
