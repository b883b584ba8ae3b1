// Package node identifies the processes of the system.
package node

import "strconv"

// ID is the configured name of a process. It is stable across restarts.
type ID string

// Incarnation identifies one execution of a process, from its start to its end. The
// process draws a new random nonzero value at every start.
type Incarnation uint64

// Ref identifies one incarnation of one process.
type Ref struct {
	ID          ID          `json:"id"`
	Incarnation Incarnation `json:"inc"`
}

// IsZero reports whether r identifies no process.
func (r Ref) IsZero() bool { return r == Ref{} }

// String returns "id/incarnation" with the incarnation in hexadecimal.
func (r Ref) String() string {
	return string(r.ID) + "/" + strconv.FormatUint(uint64(r.Incarnation), 16)
}

// Less orders refs by ID, then by incarnation.
func (r Ref) Less(o Ref) bool {
	if r.ID != o.ID {
		return r.ID < o.ID
	}
	return r.Incarnation < o.Incarnation
}
