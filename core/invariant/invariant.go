// Package invariant counts violations of properties that must always hold.
package invariant

import "fmt"

// Name identifies one property.
type Name string

// The properties that the process checks of its own actions.
const (
	DuplicateStart     Name = "duplicate_start"
	PartialAnswer      Name = "partial_answer"
	MisdeliveredAnswer Name = "misdelivered_answer"
	UntrueNotRun       Name = "untrue_not_run"
	StaleStart         Name = "stale_start"
)

// Names lists every property.
var Names = []Name{DuplicateStart, PartialAnswer, MisdeliveredAnswer, UntrueNotRun, StaleStart}

// Recorder counts violations, or panics on the first one. The zero value
// counts. It is not safe for concurrent use.
type Recorder struct {
	// Panic makes Check panic on a violation. Tests set it.
	Panic  bool
	counts map[Name]uint64
}

// Check records a violation of name when ok is false. The format and its arguments
// describe the violation in the text of the panic.
func (r *Recorder) Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	if r.Panic {
		panic("invariant " + string(name) + " violated: " + fmt.Sprintf(format, args...))
	}
	if r.counts == nil {
		r.counts = make(map[Name]uint64)
	}
	r.counts[name]++
}

// Count returns the number of recorded violations of name.
func (r *Recorder) Count(name Name) uint64 { return r.counts[name] }
