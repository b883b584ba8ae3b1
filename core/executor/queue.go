package executor

import (
	"slices"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// waiting holds accepted tasks that wait for a slot, by class and, within a
// class, by deadline.
type waiting struct {
	limit   int
	classes [3][]*entry
}

func newWaiting(limit int) *waiting { return &waiting{limit: limit} }

func classIndex(c job.Class) int {
	switch c {
	case job.Urgent:
		return 0
	case job.Batch:
		return 2
	default:
		return 1
	}
}

func (q *waiting) len() int {
	return len(q.classes[0]) + len(q.classes[1]) + len(q.classes[2])
}

// push adds e. It reports false when the queue is full.
func (q *waiting) push(e *entry) bool {
	if q.len() >= q.limit {
		return false
	}
	list := &q.classes[classIndex(e.start.Class)]
	i, _ := slices.BinarySearchFunc(*list, e.deadline+1, func(x *entry, at time.Duration) int {
		return int(min(max(x.deadline-at, -1), 1))
	})
	*list = slices.Insert(*list, i, e)
	return true
}

// pop removes the first task of the most urgent class that admit accepts.
func (q *waiting) pop(admit func(job.Class) bool) *entry {
	for i := range q.classes {
		list := &q.classes[i]
		if len(*list) == 0 || !admit((*list)[0].start.Class) {
			continue
		}
		e := (*list)[0]
		*list = slices.Delete(*list, 0, 1)
		return e
	}
	return nil
}

func (q *waiting) remove(e *entry) {
	list := &q.classes[classIndex(e.start.Class)]
	if i := slices.Index(*list, e); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// expired removes and returns the tasks whose deadline has passed.
func (q *waiting) expired(now time.Duration) []*entry {
	var out []*entry
	for i := range q.classes {
		list := &q.classes[i]
		for len(*list) > 0 && (*list)[0].deadline <= now {
			out = append(out, (*list)[0])
			*list = slices.Delete(*list, 0, 1)
		}
	}
	return out
}

func (q *waiting) all() []*entry {
	return slices.Concat(q.classes[0], q.classes[1], q.classes[2])
}

// nextDeadline returns the earliest deadline of a waiting task.
func (q *waiting) nextDeadline() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, list := range q.classes {
		if len(list) > 0 && (!found || list[0].deadline < next) {
			next = list[0].deadline
			found = true
		}
	}
	return next, found
}

// NextDeadline returns the earliest deadline of a task that waits.
func (c *Core) NextDeadline() (time.Duration, bool) { return c.queue.nextDeadline() }
