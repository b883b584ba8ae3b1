package home

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// maxPlaceBatch is the largest number of records of one class that a call of place
// considers.
const maxPlaceBatch = 64

// waitlist holds the records with waiting tasks. The records of each class are
// served in round-robin order.
type waitlist struct {
	classes [job.NumClasses][]*record
	// tasks counts the waiting tasks of each class.
	tasks [job.NumClasses]int
}

// addWaiting adds n, which may be negative, to the number of waiting tasks of the
// class of r.
func (w *waitlist) addWaiting(r *record, n int) { w.tasks[r.job.Class.Rank()] += n }

// len returns the number of waiting tasks.
func (w *waitlist) len() int { return w.ahead(len(w.tasks) - 1) }

// ahead returns the number of waiting tasks of a class and of the more urgent ones.
func (w *waitlist) ahead(class int) int {
	n := 0
	for _, tasks := range w.tasks[:class+1] {
		n += tasks
	}
	return n
}

// add adds a record all of whose tasks wait.
func (w *waitlist) add(r *record) {
	w.addWaiting(r, len(r.tasks))
	w.enqueue(r)
}

// enqueue appends a record to its class unless it is on the list already.
func (w *waitlist) enqueue(r *record) {
	if r.inWaitlist {
		return
	}
	r.inWaitlist = true
	list := &w.classes[r.job.Class.Rank()]
	*list = append(*list, r)
}

// place sends waiting tasks to executors with free capacity: the urgent class first,
// and the records of a class in round-robin order.
func (c *Core) place() {
	c.reopensAt = never
	for i := range c.waiting.classes {
		if c.classHeld(i) {
			c.shedClass(i)
			continue
		}
		c.placeClass(i)
	}
	if c.reopensAt != never && (c.nextPlaceAt <= c.now.Mono || c.reopensAt < c.nextPlaceAt) {
		c.nextPlaceAt = c.reopensAt
		c.timers.Add(c.nextPlaceAt, timer{kind: timerPlace})
	}
}

// never is the latest time, used for an event that is not scheduled.
const never = time.Duration(1<<63 - 1)

// placeClass places the tasks of the first records of a class. Records with tasks
// that still wait go to the end of the list.
func (c *Core) placeClass(class int) {
	list := c.waiting.classes[class]
	n := min(len(list), maxPlaceBatch)
	if n == 0 {
		return
	}
	c.fullLinks = c.fullLinks[:0]
	batch := slices.Clone(list[:n])
	var stillWaiting []*record
	for _, r := range batch {
		if c.placeRecord(r) && !c.shedIfWaitedTooLong(r) {
			stillWaiting = append(stillWaiting, r)
			continue
		}
		r.inWaitlist = false
	}
	rest := c.waiting.classes[class][n:]
	c.waiting.classes[class] = append(slices.Clone(rest), stillWaiting...)
}

// retryAfter estimates how long it takes until the waiting tasks have been sent.
func (c *Core) retryAfter() time.Duration {
	slots := 0
	var service time.Duration
	for _, l := range c.order {
		slots += l.load.Slots
		service = max(service, l.load.MeanServiceTime)
	}
	if slots == 0 {
		return noMatchRetryAfter
	}
	return service * time.Duration(1+c.waiting.len()/slots)
}
