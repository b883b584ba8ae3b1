// Package slots decides which class may take the last free slots.
package slots

import "github.com/dogwoodgauge/dogwoodgauge/core/job"

// Reserve holds back free slots for urgent tasks.
type Reserve struct {
	// Urgent is the number of slots that batch tasks never take.
	Urgent int
}

// Admit reports whether a task of class may take one of free free slots of an
// executor with slots slots in all.
func (r Reserve) Admit(free, slots int, class job.Class) bool { return free > 0 }
