// Package slots decides which slots of an executor are reserved for urgent tasks.
package slots

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// DefaultReserve keeps one slot of an executor free for urgent tasks.
var DefaultReserve = Reserve{Urgent: 1}

// maxShare limits the reserve to one in maxShare of all slots, so that an executor
// with few slots still runs every class.
const maxShare = 4

// Reserve tells how many slots of an executor are kept free for urgent tasks.
type Reserve struct {
	// Urgent is the number of slots that only urgent tasks may take.
	Urgent int
}

// Admit reports whether a task of class may start on an executor with the given
// numbers of free slots and of all slots.
func (r Reserve) Admit(free, slots int, class job.Class) bool {
	if class == job.Urgent {
		return free > 0
	}
	return free > r.ReservedSlots(slots)
}

// ReservedSlots returns the number of reserved slots of an executor with the
// given number of slots.
func (r Reserve) ReservedSlots(slots int) int {
	return max(0, min(r.Urgent, slots/maxShare))
}

// lapseTime is how long after the last urgent task slots stay reserved.
const lapseTime = 30 * time.Second

// UrgentActivity tracks whether urgent tasks still arrive, so that an executor
// that gets none may use all its slots. The zero value has no observations. It
// is not safe for concurrent use.
type UrgentActivity struct {
	// lastUrgentAt is when the last urgent task arrived. It is valid if
	// observed is true.
	observed     bool
	lastUrgentAt time.Duration
}

// Observe records that a task of class arrived at the monotonic time now.
func (a *UrgentActivity) Observe(now time.Duration, class job.Class) {
	if class == job.Urgent {
		a.observed, a.lastUrgentAt = true, now
	}
}

// Reserve returns r until lapseTime after the last urgent task, and an empty
// reserve otherwise.
func (a *UrgentActivity) Reserve(now time.Duration, r Reserve) Reserve {
	if !a.observed || now-a.lastUrgentAt > lapseTime {
		return Reserve{}
	}
	return r
}
