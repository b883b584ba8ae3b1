// Package lease holds the times by which no two runs of one task overlap. See
// docs/design/platform.md for the argument.
package lease

import "time"

const (
	// RunLease is how long an agent keeps the runs of a dispatcher after the last proof
	// that the dispatcher is alive. Together with the time to stop a run it is less than
	// the shortest pause before a caller submits a job again, 1.3 s.
	RunLease = 600 * time.Millisecond
	// UpstreamLease is the lease that an agent requests from its upstream. The platform
	// permits at most 1 s; RunLease and UpstreamLease together stay below 1.3 s.
	UpstreamLease = 500 * time.Millisecond
	// RenewalInterval is the pause between two renewals of an upstream's lease: two may
	// fail before the lease lapses.
	RenewalInterval = 150 * time.Millisecond
	// HeartbeatInterval is the pause between two heartbeats of an agent: two may be lost
	// before RunLease has passed.
	HeartbeatInterval = 200 * time.Millisecond
	// MaxOfferDelay is how long an offer may be in transit. It is far above a round trip
	// between failure domains, and RunLease - MaxOfferDelay exceeds two heartbeat intervals.
	MaxOfferDelay = 150 * time.Millisecond

	// slack covers the time to carry out a stop (50 ms) and late timers.
	slack = 100 * time.Millisecond
)

// UpstreamExpiry is the time after the last renewal was sent until the upstream has ended
// every run. It allows for a clock of the upstream that is 2% slow.
const UpstreamExpiry = UpstreamLease + UpstreamLease/50 + slack

// MaxUpstreamExpiry is the same for a call that a newer incarnation of the upstream has
// executed: on its clock the requested end of the lease lies far ahead, so the longest
// lease that the platform permits, 1 s, applies.
const MaxUpstreamExpiry = time.Second + time.Second/50 + slack

// RunExpiry is the time after the last message of an agent until none of the runs that
// the agent had then is alive.
const RunExpiry = RunLease + UpstreamExpiry
