// Package timerqueue orders values by the time at which they are due.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue holds values until they are due. Values due at the same time are popped in
// the order in which they were added. The zero value is an empty queue.
type Queue[T any] struct {
	items items[T]
	seq   uint64
}

// Add adds v, which is due at the monotonic time at.
func (q *Queue[T]) Add(at time.Duration, v T) {
	q.seq++
	heap.Push(&q.items, item[T]{at: at, seq: q.seq, value: v})
}

// Next returns the earliest due time. It reports false when q is empty.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Pop removes and returns the value with the earliest due time. It reports false
// when no value is due at now.
func (q *Queue[T]) Pop(now time.Duration) (T, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		var zero T
		return zero, false
	}
	return heap.Pop(&q.items).(item[T]).value, true
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// item is a value with its due time. The sequence number orders values that are
// due at the same time.
type item[T any] struct {
	at    time.Duration
	seq   uint64
	value T
}

// items is a heap of values, earliest due time first.
type items[T any] []item[T]

func (s items[T]) Len() int      { return len(s) }
func (s items[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s items[T]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}

func (s *items[T]) Push(x any) { *s = append(*s, x.(item[T])) }

func (s *items[T]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = item[T]{}
	*s = old[:len(old)-1]
	return last
}
