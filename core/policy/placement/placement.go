// Package placement chooses the executor that gets a task.
//
// A Picker sees candidates that have passed the label selectors. It corrects
// the last reported load of each by the tasks that this process has sent since.
// Pickers are not safe for concurrent use.
package placement

import (
	"strconv"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Candidate is one executor that may run the task.
type Candidate struct {
	Ref    node.Ref
	Domain string
	// Local marks the deciding process itself.
	Local bool
	// Load is the last report. Load.Slots is 0 when none has been received.
	Load message.Load
	// Sent is the number of tasks that this process has sent there and that
	// Load does not cover.
	Sent int
	// Age is the age of Load.
	Age time.Duration
	// Suspect marks an executor that is silent or on probation.
	Suspect bool
}

// Picker chooses among candidates.
type Picker interface {
	// Name returns the name that New accepts.
	Name() string
	// Pick returns an index into cands, or -1 when none has room.
	Pick(cands []Candidate) int
}

// The names that New accepts. Default is used for an empty name.
const (
	Random     = "random"
	RoundRobin = "round-robin"
	LeastLoad  = "least-load"
	TwoChoices = "two-choices"
	LocalFirst = "local-first"
	Default    = LocalFirst
)

// Names lists the policies, baselines first.
var Names = []string{Random, RoundRobin, LeastLoad, TwoChoices, LocalFirst}

// UnknownError reports a policy name that New does not accept.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string {
	return "unknown placement policy " + strconv.Quote(e.Name)
}

// New returns the named policy. The same seed and candidates give the same
// choices.
func New(name string, seed uint64) (Picker, error) {
	return nil, &UnknownError{Name: name}
}

// Free returns the number of free slots of c, never below zero.
func Free(c Candidate) int { return 0 }

// Room returns the number of tasks that c can accept: its free slots and what
// is left of its allowed queue. It is never below zero.
func Room(c Candidate) int { return 0 }
