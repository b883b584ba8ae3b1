// Package pace decides how often an agent sends heartbeats to each dispatcher, and how long
// a dispatcher waits for the next one before it suspects the agent.
//
// Heartbeats to a dispatcher that has runs at the agent keep the pace of the lease. Those to
// all other dispatchers share a fixed rate, so that neither side sends or receives more when
// the fleet grows.
package pace

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/lease"
)

const (
	// IdleRate is the number of heartbeats that an agent sends in a second to all
	// dispatchers without runs there.
	IdleRate = 20.0
	// maxIdleInterval keeps connections through stateful network equipment open, and bounds
	// the age of what a dispatcher knows of an idle agent.
	maxIdleInterval = 10 * time.Second
	// suspectIntervals is the number of heartbeat intervals, less suspectMargin, after which
	// a silent agent is suspected: two heartbeats in a row may be lost.
	suspectIntervals = 2.5
	suspectMargin    = 20 * time.Millisecond
	// reconnectIntervals is the number of intervals after which its connection is reopened.
	reconnectIntervals = 3.5
	// forgetIntervals is the number of idle intervals without a message after which an agent
	// forgets a dispatcher without runs, and minForgetTime the shortest such time.
	forgetIntervals = 5
	minForgetTime   = 5 * time.Second
)

// IdlePerRound returns the number of heartbeats to dispatchers without runs that are due in
// each round of lease.HeartbeatInterval, if the agent knows this number of dispatchers and
// sends rate heartbeats a second. It may have a fraction.
func IdlePerRound(dispatchers int, rate float64) float64 {
	rate = max(rate, float64(dispatchers)/maxIdleInterval.Seconds())
	return min(rate*lease.HeartbeatInterval.Seconds(), float64(dispatchers))
}

// IdleInterval returns the longest pause between two heartbeats to one dispatcher without
// runs, if perRound of them are sent in each round and each dispatcher gets one in turn.
func IdleInterval(dispatchers int, perRound float64) time.Duration {
	if float64(dispatchers) <= perRound {
		return lease.HeartbeatInterval
	}
	return scale(lease.HeartbeatInterval, float64(dispatchers)/perRound) + lease.HeartbeatInterval
}

// StatedInterval returns the interval that a dispatcher expects of an agent that has stated
// this one. It is never longer than an agent may choose, whatever a faulty message says.
func StatedInterval(stated time.Duration) time.Duration {
	return min(max(stated, lease.HeartbeatInterval), maxIdleInterval+lease.HeartbeatInterval)
}

// SuspectAfter returns the time without a message after which a dispatcher suspects an agent
// that sends its heartbeats at this interval.
func SuspectAfter(interval time.Duration) time.Duration {
	return scale(interval, suspectIntervals) - suspectMargin
}

// ReconnectAfter returns the time without a message after which a dispatcher reopens the
// connection with an agent that sends its heartbeats at this interval.
func ReconnectAfter(interval time.Duration) time.Duration { return scale(interval, reconnectIntervals) }

// ForgetAfter returns the time without a message after which an agent forgets a dispatcher
// without runs to which it sends its heartbeats at this interval.
func ForgetAfter(interval time.Duration) time.Duration {
	return max(forgetIntervals*interval, minForgetTime)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
