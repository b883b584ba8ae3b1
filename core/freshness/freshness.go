// Package freshness decides how long a process may go on starting work on the
// state that it holds. docs/design/freshness.md has the safety argument.
package freshness

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// DefaultDuration is the default lease.
const DefaultDuration = 2500 * time.Millisecond

// DefaultDriftPerMille is the default bound on the relative drift of two
// monotonic clocks.
const DefaultDriftPerMille = 10

// Config holds the parameters of a Lease.
type Config struct {
	Self node.Ref
	// Duration is how long evidence counts.
	Duration time.Duration
	// DriftPerMille bounds the relative drift of two monotonic clocks.
	DriftPerMille int
}

// Lease tracks the evidence that the process's offset is current. All instants
// are monotonic times of this process. It is not safe for concurrent use.
type Lease struct{ config Config }

// NewLease returns a lease that holds no evidence.
func NewLease(c Config) *Lease { return &Lease{config: c} }

// SetMembers sets the members in force at the process's offset.
func (l *Lease) SetMembers(members []control.Member) {}

// Advance says that the process has applied every record before next.
func (l *Lease) Advance(next int64) {}

// LogEvidence records that a log read sent at askedAt showed next as the end.
func (l *Lease) LogEvidence(next int64, askedAt time.Duration) {}

// RelayedEvidence records a peer's log evidence: the answer to a query that was
// sent at askedAt stated that the end was offset, from a read of the given age.
// A negative age is no evidence.
func (l *Lease) RelayedEvidence(offset int64, askedAt, age time.Duration) {}

// PeerEvidence records a peer's statement that it had applied no record at or
// past offset, given after a query that was sent at asOf.
func (l *Lease) PeerEvidence(from node.Ref, offset int64, asOf time.Duration) {}

// Until returns the instant up to which the process may start work, or zero.
func (l *Lease) Until() time.Duration { return 0 }

// Valid reports whether the process may start work at now.
func (l *Lease) Valid(now time.Duration) bool { return false }

// Evidence returns the latest log evidence, direct or relayed, that covers the
// process's offset: no record at or past offset was in the log at since.
func (l *Lease) Evidence() (offset int64, since time.Duration, ok bool) { return 0, 0, false }
