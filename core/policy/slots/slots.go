// Package slots decides which class may take the last free slots.
package slots

import "github.com/dogwoodgauge/dogwoodgauge/core/job"

// DefaultReserve keeps one slot of an executor free of batch tasks.
var DefaultReserve = Reserve{Urgent: 1}

// maxShare bounds the reserve to one slot in maxShare, so that an executor with
// few slots still runs every class.
const maxShare = 4

// Reserve holds back free slots from batch tasks.
type Reserve struct {
	// Urgent is the number of slots that batch tasks never take.
	Urgent int
}

// Admit reports whether a task of class may take one of free free slots of an
// executor with slots slots in all.
func (r Reserve) Admit(free, slots int, class job.Class) bool {
	if class != job.Batch {
		return free > 0
	}
	return free > r.held(slots)
}

// held returns the number of reserved slots among slots.
func (r Reserve) held(slots int) int {
	return max(0, min(r.Urgent, slots/maxShare))
}
