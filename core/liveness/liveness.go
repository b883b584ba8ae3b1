// Package liveness decides whether an incarnation of another process has ended.
//
// A sign is a hint or a proof. A hint, such as a refused connection, may come from the network
// or from a pause: the process gets no new work, but what it was running may still run. Only a
// proof ends the incarnation, and with it everything that depends on its being alive. See
// docs/design/liveness.md.
package liveness

import "time"

// Sign is something that was seen of an incarnation.
type Sign string

// The hints.
const (
	// Refused: a connection to its port was refused.
	Refused Sign = "connection_refused"
	// RefusedLong: connections to its port were refused again and again, and it was not
	// reached in between.
	RefusedLong Sign = "connections_refused_long"
	// Reset: a connection to it was reset.
	Reset Sign = "connection_reset"
	// Silent: it has not answered in time.
	Silent Sign = "silent"
)

// The proofs.
const (
	// Restarted: a later incarnation of the same process has been seen.
	Restarted Sign = "later_incarnation"
	// Farewell: it has said itself that it ends, in a message that names the incarnation.
	Farewell Sign = "farewell"
	// Expired: every lease that it held, or may have given, has run out by the bounds of the
	// clocks.
	Expired Sign = "lease_expired"
)

// Proves reports whether the sign proves that the incarnation has ended.
func (s Sign) Proves() bool {
	switch s {
	case Restarted, Farewell, Expired:
		return true
	default:
		return false
	}
}

// Incarnation is what is known of one incarnation. In the zero value it is alive. It is not
// safe for concurrent use.
type Incarnation struct {
	suspect, ended Sign
	endedAt        time.Duration
}

// Observe records a sign that was seen at the monotonic time now. Only the first proof counts.
func (i *Incarnation) Observe(now time.Duration, s Sign) {
	switch {
	case i.ended != "":
	case s.Proves():
		i.ended, i.endedAt = s, now
	default:
		i.suspect = s
	}
}

// Heard records a message of the incarnation, which refutes the hints, but no proof: the
// message may have been delayed.
func (i *Incarnation) Heard() { i.suspect = "" }

// Suspect returns the last hint since a message was received, or an empty sign.
func (i *Incarnation) Suspect() Sign { return i.suspect }

// Ended returns the proof that the incarnation has ended and when it was seen, or an empty
// sign.
func (i *Incarnation) Ended() (proof Sign, at time.Duration) { return i.ended, i.endedAt }

// MayGetWork reports whether neither a hint nor a proof keeps new work from the incarnation.
func (i *Incarnation) MayGetWork() bool { return i.ended == "" && i.suspect == "" }
