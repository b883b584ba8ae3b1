// Package queue holds the tasks that an executor has accepted and not started.
//
// The queue is bounded. It orders tasks by priority class, and inside a class by
// earliest deadline. A class that has been passed over for a fixed number of pops
// gets the next one, so that higher classes cannot starve it. A Queue is not safe
// for concurrent use.
package queue

import (
	"container/heap"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Handle identifies one queued item. It is never reused and never zero.
type Handle uint64

// The number of consecutive pops that may pass over a class with waiting items before
// the class gets the next pop.
const (
	NormalPassOverLimit = 8
	BatchPassOverLimit  = 32
)

// starvedFactor is how many times its pass-over limit a class must have been
// passed over before Starved reports true.
const starvedFactor = 2

// PushResult is the result of a Push.
type PushResult[T any] struct {
	// OK is true when the item was queued.
	OK bool
	// Handle identifies the item when OK is true.
	Handle Handle
	// Evicted holds the item of a lower class that was removed to make space, if
	// any. Its task has not started, and the caller must refuse it.
	Evicted []T
}

// Queue is a bounded priority queue.
type Queue[T any] struct {
	limit      int
	lastHandle Handle
	byHandle   map[Handle]*item[T]
	levels     [levelCount]level[T]
}

// level holds the items of one class.
type level[T any] struct {
	items items[T]
	// passedOver counts the consecutive pops that other classes got while this
	// class had waiting items.
	passedOver int
}

// levelCount is the number of classes.
const levelCount = 3

// passOverLimits holds the pass-over limit of each level. The urgent class has
// none, because it is first in order.
var passOverLimits = [levelCount]int{0, NormalPassOverLimit, BatchPassOverLimit}

// New returns an empty queue for at most limit items.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, byHandle: make(map[Handle]*item[T])}
}

// Push queues v. Deadline is a monotonic time. If the queue is full, Push evicts an
// item of a lower class to make space: of the lowest class with items, the one with
// the latest deadline. If no item of a lower class is queued, Push refuses v.
func (q *Queue[T]) Push(v T, class job.Class, deadline time.Duration) PushResult[T] {
	lvl := class.Rank()
	var evicted []T
	if len(q.byHandle) >= q.limit {
		victim := q.evictionCandidate(lvl)
		if victim == nil {
			return PushResult[T]{}
		}
		evicted = append(evicted, q.drop(victim))
	}
	q.lastHandle++
	e := &item[T]{value: v, handle: q.lastHandle, level: lvl, deadline: deadline}
	q.byHandle[e.handle] = e
	heap.Push(&q.levels[lvl].items, e)
	return PushResult[T]{OK: true, Handle: e.handle, Evicted: evicted}
}

// evictionCandidate returns the item to evict for a new item of level lvl, or nil.
func (q *Queue[T]) evictionCandidate(lvl int) *item[T] {
	for l := levelCount - 1; l > lvl; l-- {
		if len(q.levels[l].items) > 0 {
			return q.levels[l].items.latest()
		}
	}
	return nil
}

// Pop removes and returns the next item of the classes for which admit returns
// true. A nil admit allows every class. Pop reports false when there is no item.
func (q *Queue[T]) Pop(admit func(class job.Class) bool) (T, bool) {
	lvl := q.nextLevel(admit)
	if lvl < 0 {
		var zero T
		return zero, false
	}
	q.recordPop(lvl)
	return q.drop(q.levels[lvl].items[0]), true
}

// nextLevel returns the level from which Pop takes the next item, or -1: a lower
// level that has reached its pass-over limit, otherwise the first with an item.
func (q *Queue[T]) nextLevel(admit func(class job.Class) bool) int {
	first := -1
	for l := range q.levels {
		if len(q.levels[l].items) == 0 || admit != nil && !admit(job.Classes[l]) {
			continue
		}
		if first < 0 {
			first = l
			continue
		}
		if q.levels[l].passedOver >= passOverLimits[l] {
			return l
		}
	}
	return first
}

// Peek returns the first item of class without removing it. It reports false
// when there is none.
func (q *Queue[T]) Peek(class job.Class) (T, bool) {
	list := q.levels[class.Rank()].items
	if len(list) == 0 {
		var zero T
		return zero, false
	}
	return list[0].value, true
}

// recordPop records a pop of level lvl: every other level with waiting items has
// been passed over once more.
func (q *Queue[T]) recordPop(lvl int) {
	q.levels[lvl].passedOver = 0
	for l := range q.levels {
		if l != lvl && len(q.levels[l].items) > 0 {
			q.levels[l].passedOver++
		}
	}
}

// Starved reports whether pops have passed over class starvedFactor times as often as
// its limit allows, because the admit function of Pop excluded it. A caller that
// reserves slots for other classes should then admit it once.
func (q *Queue[T]) Starved(class job.Class) bool {
	l := class.Rank()
	lv := &q.levels[l]
	return passOverLimits[l] > 0 && len(lv.items) > 0 && lv.passedOver >= starvedFactor*passOverLimits[l]
}

// Remove removes and returns the item of h. It reports false when the item is not
// queued.
func (q *Queue[T]) Remove(h Handle) (T, bool) {
	e, ok := q.byHandle[h]
	if !ok {
		var zero T
		return zero, false
	}
	return q.drop(e), true
}

// RemoveFunc removes and returns all items for which match returns true, by class
// (most urgent first), then by deadline.
func (q *Queue[T]) RemoveFunc(match func(T) bool) []T {
	var out []T
	for l := range q.levels {
		for _, e := range q.levels[l].items.sorted() {
			if match(e.value) {
				out = append(out, q.drop(e))
			}
		}
	}
	return out
}

// Expire removes and returns all items whose deadline is at or before now.
func (q *Queue[T]) Expire(now time.Duration) []T {
	var out []T
	for l := range q.levels {
		for len(q.levels[l].items) > 0 && q.levels[l].items[0].deadline <= now {
			out = append(out, q.drop(q.levels[l].items[0]))
		}
	}
	return out
}

// NextDeadline returns the earliest deadline. It reports false when the queue
// is empty.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for l := range q.levels {
		if len(q.levels[l].items) == 0 {
			continue
		}
		d := q.levels[l].items[0].deadline
		if !found || d < earliest {
			earliest, found = d, true
		}
	}
	return earliest, found
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.byHandle) }

// LenClass returns the number of queued items of class.
func (q *Queue[T]) LenClass(class job.Class) int {
	return len(q.levels[class.Rank()].items)
}

// CountAhead returns the number of queued items that are before a new item of
// class: those of its own and of higher classes. Items of lower classes that
// get a pop because of their pass-over limit are not counted.
func (q *Queue[T]) CountAhead(class job.Class) int {
	n := 0
	for l := 0; l <= class.Rank(); l++ {
		n += len(q.levels[l].items)
	}
	return n
}

// drop removes e from the queue and returns its value.
func (q *Queue[T]) drop(e *item[T]) T {
	lv := &q.levels[e.level]
	heap.Remove(&lv.items, e.index)
	delete(q.byHandle, e.handle)
	if len(lv.items) == 0 {
		lv.passedOver = 0
	}
	return e.value
}
