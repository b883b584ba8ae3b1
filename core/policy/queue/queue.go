// Package queue holds the tasks that an executor has accepted and not started.
//
// The queue is bounded. It orders tasks by priority class, with a bounded share
// for lower classes, and by earliest deadline inside a class. A Queue is not
// safe for concurrent use.
package queue

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Handle names one queued item. It is never used twice and never zero.
type Handle uint64

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
type Queue[T any] struct{ limit int }

// New returns an empty queue for at most limit items.
func New[T any](limit int) *Queue[T] { return &Queue[T]{limit: limit} }

// Push queues v. Deadline is a monotonic instant. A full queue evicts the
// latest deadline of the lowest class below class, or refuses v.
func (q *Queue[T]) Push(v T, class job.Class, deadline time.Duration) Pushed[T] {
	return Pushed[T]{}
}

// Pop removes the next item among the classes that admit allows. A nil admit
// allows every class.
func (q *Queue[T]) Pop(admit func(class job.Class) bool) (T, bool) {
	var zero T
	return zero, false
}

// Remove removes the item of h. It reports false when it is not queued.
func (q *Queue[T]) Remove(h Handle) (T, bool) {
	var zero T
	return zero, false
}

// RemoveFunc removes and returns all items for which match is true.
func (q *Queue[T]) RemoveFunc(match func(T) bool) []T { return nil }

// Expire removes and returns all items whose deadline is at or before now.
func (q *Queue[T]) Expire(now time.Duration) []T { return nil }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return 0 }

// LenClass returns the number of queued items of class.
func (q *Queue[T]) LenClass(class job.Class) int { return 0 }
