// Package pressure tells whether a process falls behind its own work, from the delays
// between the arrival of requests and their handling.
//
// Like CoDel it looks at the least delay of an interval: a host whose processor is
// taken away for moments has long delays between short ones, one that is overloaded
// has no short ones.
package pressure

import "time"

const (
	// Target is the delay that a request may have under lasting load: half of the
	// 60 ms that jobs may take beyond their work.
	Target = 30 * time.Millisecond
	// Interval is for how long every delay must exceed Target: two of the periods of
	// 100 ms in which hosts get their share of a processor.
	Interval = 200 * time.Millisecond
	// Recovery is how long after the last sign of overload a process still counts as
	// recovering: a balancer that asks once a second has seen it twice.
	Recovery = 2500 * time.Millisecond
)

// Gauge watches the delays of one process. The zero value has seen none. Times are
// monotonic.
type Gauge struct {
	// above is since when every delay has exceeded Target, and last when one was seen.
	above, last time.Duration
	high        bool
	// overAt is when the process was last seen to be overloaded, if over.
	over   bool
	overAt time.Duration
}

// Observe notes the delay of a request that is handled at now, and reports whether
// the process is overloaded.
func (g *Gauge) Observe(now, delay time.Duration) bool {
	if delay <= Target {
		g.high = false
		return false
	}
	if !g.high || now-g.last > Interval {
		g.high, g.above = true, now
	}
	g.last = now
	if now-g.above < Interval {
		return false
	}
	g.over, g.overAt = true, now
	return true
}

// Recovering reports whether the process was overloaded lately.
func (g *Gauge) Recovering(now time.Duration) bool { return g.over && now-g.overAt < Recovery }
