// Package ownership decides whether this process may create the record of a
// job that is placed by hashing. docs/design/freshness.md has the proof.
package ownership

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Config holds the parameters of a Tracker.
type Config struct {
	Self node.Ref
	// Lease is the duration of the freshness lease of every process.
	Lease time.Duration
	// ClockBound bounds the difference of any two wall clocks.
	ClockBound time.Duration
	// Window is the admission window: a job older than this is never created.
	Window time.Duration
}

// Kind is the kind of a Verdict.
type Kind string

// The kinds of verdicts.
const (
	// Own: this process may create the job, if its freshness lease is valid.
	Own Kind = "own"
	// Elsewhere: another process is the home.
	Elsewhere Kind = "elsewhere"
	// TooEarly: this process is the home, but a former home may have started
	// the job.
	TooEarly Kind = "too_early"
	// TooOld: the job is older than the admission window.
	TooOld Kind = "too_old"
	// FromFuture: the creation time is later than any clock can show.
	FromFuture Kind = "from_future"
)

// Verdict is the answer of Admit.
type Verdict struct {
	Kind Kind
	// Home is the home of the job when one is known.
	Home node.Ref
}

// Tracker follows the membership to tell when this process took over each
// range of IDs. It is not safe for concurrent use.
type Tracker struct{ config Config }

// NewTracker returns a tracker for a process that is not yet a member.
func NewTracker(c Config) *Tracker { return &Tracker{config: c} }

// Observe reads the state after it has changed: after each Apply or batch of
// Apply calls and after ResetTo.
func (t *Tracker) Observe(now clock.Now, s *control.State) {}

// Heard records that the run from has applied every record before next, as
// each envelope states.
func (t *Tracker) Heard(now clock.Now, from node.Ref, next int64) {}

// Admit decides on the job id. Created is its creation time in milliseconds
// since the Unix epoch; a creation time that the ID itself carries goes first.
// The caller must hold a valid freshness lease when it acts on Own.
func (t *Tracker) Admit(now clock.Now, id job.ID, created int64) Verdict { return Verdict{} }

// Confirm returns the confirmation record that this process should append now.
// It reports false when none is due. Call it on each timer tick.
func (t *Tracker) Confirm(now clock.Now) ([]byte, bool) { return nil, false }
