package home

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// placeBatch is the number of records of a class that one call looks at.
const placeBatch = 64

// waitlist holds the records with waiting tasks, by class, in turn order.
type waitlist struct {
	classes [job.NumClasses][]*record
	// tasks counts the waiting tasks of each class.
	tasks [job.NumClasses]int
}

// count adds n to the waiting tasks of the class of r.
func (w *waitlist) count(r *record, n int) { w.tasks[r.job.Class.Rank()] += n }

// len returns the number of waiting tasks.
func (w *waitlist) len() int { return w.ahead(len(w.tasks) - 1) }

// ahead returns the number of waiting tasks of a class and those above it.
func (w *waitlist) ahead(class int) int {
	n := 0
	for _, tasks := range w.tasks[:class+1] {
		n += tasks
	}
	return n
}

func (w *waitlist) add(r *record) {
	w.count(r, len(r.tasks))
	w.enter(r)
}

// enter puts a record at the end of its class.
func (w *waitlist) enter(r *record) {
	if r.inWaitlist {
		return
	}
	r.inWaitlist = true
	list := &w.classes[r.job.Class.Rank()]
	*list = append(*list, r)
}

// place sends waiting tasks to executors with room, urgent classes first and
// the records of a class in turn.
func (c *Core) place() {
	c.opensAt = never
	for i := range c.waiting.classes {
		if c.held(i) {
			c.shedClass(i)
			continue
		}
		c.placeClass(i)
	}
	if c.opensAt != never && (c.placeAt <= c.now.Mono || c.opensAt < c.placeAt) {
		c.placeAt = c.opensAt
		c.timers.Add(c.placeAt, timer{kind: timerPlace})
	}
}

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

func (c *Core) placeClass(class int) {
	list := c.waiting.classes[class]
	n := min(len(list), placeBatch)
	if n == 0 {
		return
	}
	c.fullLinks = c.fullLinks[:0]
	batch := slices.Clone(list[:n])
	var again []*record
	for _, r := range batch {
		if c.placeRecord(r) && !c.shedWaiting(r) {
			again = append(again, r)
			continue
		}
		r.inWaitlist = false
	}
	rest := c.waiting.classes[class][n:]
	c.waiting.classes[class] = append(slices.Clone(rest), again...)
}

// retryAfter estimates when the waiting tasks will have been placed.
func (c *Core) retryAfter() time.Duration {
	slots := 0
	var service time.Duration
	for _, l := range c.order {
		slots += l.load.Slots
		service = max(service, l.load.MeanServiceTime)
	}
	if slots == 0 {
		return noMatchRetry
	}
	return service * time.Duration(1+c.waiting.len()/slots)
}
