// Package lease holds the times by which no two runs of one task overlap. See
// docs/design/platform.md for the argument.
package lease

import "time"

const (
	// Run is how long an agent keeps the runs of a dispatcher after the last proof
	// that the dispatcher runs. With a stop it is less than the shortest pause
	// before a caller sends a job again, 1.3 s.
	Run = 600 * time.Millisecond
	// Upstream is the lease that an agent asks of its upstream. The platform
	// permits at most 1 s; Run and Upstream together stay below 1.3 s.
	Upstream = 500 * time.Millisecond
	// Renewal is the pause between two renewals of an upstream's lease: two may
	// fail before it lapses.
	Renewal = 150 * time.Millisecond
	// Beat is the pause between two beats of an agent: two may be lost before Run
	// has passed.
	Beat = 200 * time.Millisecond
	// OfferDelay is how long an offer may be on its way. It is far above a round
	// trip between failure domains, and Run less OfferDelay is above two beats.
	OfferDelay = 150 * time.Millisecond

	// slack covers the time to carry out a stop (50 ms) and late timers.
	slack = 100 * time.Millisecond
)

// UpstreamEnd is how long after the sending of a renewal everything at the upstream
// has ended: its clock may be 2% slow.
const UpstreamEnd = Upstream + Upstream/50 + slack

// LongestEnd is the same for a call that the upstream has taken in another life than
// was meant: there the end asked for lies far ahead on its clock, and the longest lease
// that the platform permits, 1 s, counts.
const LongestEnd = time.Second + time.Second/50 + slack

// Settled is how long after the last word of an agent none of the runs that it had
// then is alive.
const Settled = Run + UpstreamEnd
