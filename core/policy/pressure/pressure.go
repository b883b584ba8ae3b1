// Package pressure detects that a process is overloaded, from the delays between the
// arrival of requests and their handling.
//
// Like CoDel, it uses the shortest delay of an interval. On a host that loses its
// processor for short periods, long delays alternate with short ones. An overloaded
// process has only long ones.
package pressure

import "time"

const (
	// Target is the longest delay that a request may have under sustained load: half
	// of the 60 ms by which the response time of a job may exceed its work.
	Target = 30 * time.Millisecond
	// Interval is how long every delay must exceed Target before the process counts as
	// overloaded. It spans two of the periods of 100 ms in which a host gets its share
	// of a processor.
	Interval = 200 * time.Millisecond
	// Recovery is how long after its last overload a process still counts as
	// recovering. A load balancer that polls once a second sees the state at least
	// twice in this time.
	Recovery = 2500 * time.Millisecond
)

// Gauge tracks the delays of one process. The zero value has no observations. Times
// are monotonic.
type Gauge struct {
	// While aboveTarget is true, every delay since aboveSince exceeded Target, and the
	// last of them was observed at lastAboveAt.
	aboveSince, lastAboveAt time.Duration
	aboveTarget             bool
	// lastOverloadedAt is valid if everOverloaded is true.
	everOverloaded   bool
	lastOverloadedAt time.Duration
}

// Observe records the delay of a request that is handled at now, and reports whether
// the process is overloaded.
func (g *Gauge) Observe(now, delay time.Duration) bool {
	if delay <= Target {
		g.aboveTarget = false
		return false
	}
	if !g.aboveTarget || now-g.lastAboveAt > Interval {
		g.aboveTarget, g.aboveSince = true, now
	}
	g.lastAboveAt = now
	if now-g.aboveSince < Interval {
		return false
	}
	g.everOverloaded, g.lastOverloadedAt = true, now
	return true
}

// Recovering reports whether the process was overloaded within the last Recovery.
func (g *Gauge) Recovering(now time.Duration) bool {
	return g.everOverloaded && now-g.lastOverloadedAt < Recovery
}
