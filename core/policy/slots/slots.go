// Package slots decides which class may take the last free slots.
package slots

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// DefaultReserve keeps one slot of an executor free for urgent tasks.
var DefaultReserve = Reserve{Urgent: 1}

// maxShare bounds the reserve to one slot in maxShare, so that an executor with
// few slots still runs every class.
const maxShare = 4

// Reserve holds back free slots for urgent tasks.
type Reserve struct {
	// Urgent is the number of slots that only urgent tasks take.
	Urgent int
}

// Admit reports whether a task of class may take one of free free slots of an
// executor with slots slots in all.
func (r Reserve) Admit(free, slots int, class job.Class) bool {
	if class == job.Urgent {
		return free > 0
	}
	return free > r.Held(slots)
}

// Held returns the number of reserved slots among slots.
func (r Reserve) Held(slots int) int {
	return max(0, min(r.Urgent, slots/maxShare))
}

// lapse is how long the reserve stands after the last urgent task.
const lapse = 30 * time.Second

// Demand tells whether urgent tasks still come, so that an executor that gets
// none uses all its slots. The zero value has seen none. It is not safe for
// concurrent use.
type Demand struct {
	seen bool
	last time.Duration
}

// Observe records that a task of class was offered at the monotonic time now.
func (d *Demand) Observe(now time.Duration, class job.Class) {
	if class == job.Urgent {
		d.seen, d.last = true, now
	}
}

// Reserve returns r while urgent tasks come, and no reserve otherwise.
func (d *Demand) Reserve(now time.Duration, r Reserve) Reserve {
	if !d.seen || now-d.last > lapse {
		return Reserve{}
	}
	return r
}
