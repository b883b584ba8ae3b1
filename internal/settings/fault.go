package settings

import (
	"fmt"
	"strings"
)

// Fault is one fault of a settings file.
type Fault struct {
	File string
	// Line counts from 1. It is 0 when the fault belongs to the file as a whole.
	Line   int
	Reason string
}

// String returns "file:line: reason", without the line when there is none.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Reason
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
}

// Faults lists every fault of a settings file in order of lines.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
