// Package queue holds the tasks that an executor has accepted and not started.
//
// The queue is bounded. It orders tasks by priority class and by earliest
// deadline inside a class. A lower class that has been passed over often enough
// gets the next turn, so that higher classes cannot starve it. A Queue is not
// safe for concurrent use.
package queue

import (
	"container/heap"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Handle names one queued item. It is never used twice and never zero.
type Handle uint64

// The number of consecutive turns that may pass a waiting class over.
const (
	NormalTurns = 8
	BatchTurns  = 32
)

// owedFactor times the turns of a class make it owed; see Owed.
const owedFactor = 2

// Pushed is the outcome of a Push.
type Pushed[T any] struct {
	// OK reports whether the item was queued.
	OK bool
	// Handle names the item when OK is true.
	Handle Handle
	// Evicted holds the item of a lower class that gave way, if any. It has
	// not started and must be refused.
	Evicted []T
}

// Queue is a bounded priority queue.
type Queue[T any] struct {
	limit  int
	next   Handle
	byID   map[Handle]*entry[T]
	levels [levels]level[T]
}

// level holds the items of one class.
type level[T any] struct {
	items items[T]
	// passed counts the turns given to other classes while this one waited.
	passed int
}

// levels is the number of classes.
const levels = 3

// turns is indexed by level; urgent tasks need no guaranteed turn.
var turns = [levels]int{0, NormalTurns, BatchTurns}

// New returns an empty queue for at most limit items.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, byID: make(map[Handle]*entry[T])}
}

// Push queues v. Deadline is a monotonic instant. A full queue evicts the
// latest deadline of the lowest class below class, or refuses v.
func (q *Queue[T]) Push(v T, class job.Class, deadline time.Duration) Pushed[T] {
	lvl := class.Rank()
	var evicted []T
	if len(q.byID) >= q.limit {
		victim := q.victim(lvl)
		if victim == nil {
			return Pushed[T]{}
		}
		evicted = append(evicted, q.drop(victim))
	}
	q.next++
	e := &entry[T]{value: v, handle: q.next, level: lvl, deadline: deadline}
	q.byID[e.handle] = e
	heap.Push(&q.levels[lvl].items, e)
	return Pushed[T]{OK: true, Handle: e.handle, Evicted: evicted}
}

// victim returns the item that gives way to one of level lvl, or nil.
func (q *Queue[T]) victim(lvl int) *entry[T] {
	for l := levels - 1; l > lvl; l-- {
		if len(q.levels[l].items) > 0 {
			return q.levels[l].items.last()
		}
	}
	return nil
}

// Pop removes the next item among the classes that admit allows. A nil admit
// allows every class.
func (q *Queue[T]) Pop(admit func(class job.Class) bool) (T, bool) {
	lvl := q.choose(admit)
	if lvl < 0 {
		var zero T
		return zero, false
	}
	q.pass(lvl)
	return q.drop(q.levels[lvl].items[0]), true
}

// choose returns the level whose turn it is, or -1.
func (q *Queue[T]) choose(admit func(class job.Class) bool) int {
	first := -1
	for l := range q.levels {
		if len(q.levels[l].items) == 0 || admit != nil && !admit(job.Classes[l]) {
			continue
		}
		if first < 0 {
			first = l
			continue
		}
		if q.levels[l].passed >= turns[l] {
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

// pass counts a turn given to level lvl against the waiting lower levels.
func (q *Queue[T]) pass(lvl int) {
	q.levels[lvl].passed = 0
	for l := range q.levels {
		if l != lvl && len(q.levels[l].items) > 0 {
			q.levels[l].passed++
		}
	}
}

// Owed reports whether class has waited twice as many turns as its share
// allows, because admit kept it back. A caller that reserves slots should then
// admit it once.
func (q *Queue[T]) Owed(class job.Class) bool {
	l := class.Rank()
	lv := &q.levels[l]
	return turns[l] > 0 && len(lv.items) > 0 && lv.passed >= owedFactor*turns[l]
}

// Remove removes the item of h. It reports false when it is not queued.
func (q *Queue[T]) Remove(h Handle) (T, bool) {
	e, ok := q.byID[h]
	if !ok {
		var zero T
		return zero, false
	}
	return q.drop(e), true
}

// RemoveFunc removes and returns all items for which match is true, most urgent
// class first and in order of deadline.
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
func (q *Queue[T]) Len() int { return len(q.byID) }

// LenClass returns the number of queued items of class.
func (q *Queue[T]) LenClass(class job.Class) int {
	return len(q.levels[class.Rank()].items)
}

// Ahead returns the number of queued items that a new item of class would wait
// for, the guaranteed turns of lower classes left out.
func (q *Queue[T]) Ahead(class job.Class) int {
	n := 0
	for l := 0; l <= class.Rank(); l++ {
		n += len(q.levels[l].items)
	}
	return n
}

// drop removes e and returns its value.
func (q *Queue[T]) drop(e *entry[T]) T {
	lv := &q.levels[e.level]
	heap.Remove(&lv.items, e.index)
	delete(q.byID, e.handle)
	if len(lv.items) == 0 {
		lv.passed = 0
	}
	return e.value
}
