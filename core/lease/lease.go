// Package lease defines the lease durations and message intervals that keep two runs of
// one task from overlapping. docs/design/platform.md has the safety argument.
package lease

import "time"

const (
	// RunLease is how long an agent keeps the runs of a dispatcher after the last proof
	// that the dispatcher is alive. Together with the time to stop a run, it is shorter
	// than the pause before a caller submits a job again, which is at least 1.3 s.
	RunLease = 600 * time.Millisecond
	// UpstreamLease is the lease that an agent requests from its upstream. The platform
	// permits at most 1 s; RunLease and UpstreamLease together stay below 1.3 s.
	UpstreamLease = 300 * time.Millisecond
	// RenewalInterval is the pause between two renewals of an upstream's lease. One renewal may
	// fail, and the next one be late, before the lease lapses.
	RenewalInterval = 100 * time.Millisecond
	// HeartbeatInterval is the pause between two heartbeats of an agent. Two heartbeats in
	// a row may be lost before RunLease has passed.
	HeartbeatInterval = 200 * time.Millisecond
	// MaxOfferDelay is how long an offer may be in transit; agents refuse offers that took
	// longer. It is far above a round trip between failure domains, and
	// RunLease - MaxOfferDelay exceeds two heartbeat intervals.
	MaxOfferDelay = 150 * time.Millisecond

	// StopTime is how long the upstream's lease is extended for others after the lease of a
	// dispatcher has lapsed, if the upstream does not confirm the stops of that dispatcher's
	// runs. They have then ended before RunExpiry.
	StopTime = 500 * time.Millisecond
	// RevokeTime is the same after an offer was revoked. The caller submits the job again
	// after 1.3 s at the earliest.
	RevokeTime = time.Second

	// maxClockDrift is the reciprocal of the share by which an upstream's clock may be slow: 2%.
	maxClockDrift = 50

	// lateStart is how late a start call of an agent that has ended may be executed. No bound
	// is known; see docs/design/liveness.md.
	lateStart = 90 * time.Millisecond

	// MaxCallDelay is how late an upstream executes a call that got no answer.
	MaxCallDelay = 12 * time.Second

	// stopSlack covers the time to carry out a stop (50 ms) and late timers.
	stopSlack = 100 * time.Millisecond
)

// UpstreamExpiry is the time, from the sending of the last renewal, after which the
// upstream has stopped every run. It allows for an upstream whose clock is slow.
const UpstreamExpiry = UpstreamLease + UpstreamLease/maxClockDrift + stopSlack

// MaxUpstreamExpiry is the same for a call that was meant for one incarnation of the
// upstream and executed by a newer one. On the clock of the newer one, the requested end of
// the lease may be far in the future, so the longest lease that the platform permits, 1 s,
// applies.
const MaxUpstreamExpiry = time.Second + time.Second/maxClockDrift + stopSlack

// LateStartExpiry is the time, from the sending of a start call that got no answer, after which
// neither the call can be executed by any incarnation of the upstream nor its run be alive.
const LateStartExpiry = MaxCallDelay + MaxUpstreamExpiry

// OfferRetention is how long an agent remembers its answer to an offer. A dispatcher that was cut
// off repeats the offer until LateStartExpiry after it was last in touch with the agent.
const OfferRetention = LateStartExpiry + MaxOfferDelay + stopSlack

// RunExpiry is the time, from the last heartbeat received from an agent or the last offer to
// it, after which no run that the agent had then is alive: neither one that a live agent was to
// stop after RunLease, nor one that a newer incarnation of the upstream has started from a call
// which was late by lateStart.
const RunExpiry = max(RunLease+UpstreamExpiry, MaxUpstreamExpiry+lateStart)

// MaxDrift is how much less than d an upstream's clock may have advanced in that time.
func MaxDrift(d time.Duration) time.Duration { return d / maxClockDrift }
