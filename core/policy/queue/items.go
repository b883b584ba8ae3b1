package queue

import (
	"slices"
	"time"
)

// item is one queued item with its place in the queue.
type item[T any] struct {
	value  T
	handle Handle
	// level is the index of the class, index the place in the heap of the class.
	level    int
	index    int
	deadline time.Duration
}

// before orders items by deadline. Of equal deadlines, the item that was pushed
// first comes first.
func (e *item[T]) before(o *item[T]) bool {
	if e.deadline != o.deadline {
		return e.deadline < o.deadline
	}
	return e.handle < o.handle
}

// items is a heap of queued items, earliest deadline first.
type items[T any] []*item[T]

// Len implements heap.Interface.
func (s items[T]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s items[T]) Less(i, j int) bool { return s[i].before(s[j]) }

// Swap implements heap.Interface.
func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	e := x.(*item[T])
	e.index = len(*s)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	old := *s
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	return e
}

// latest returns the item with the latest deadline. It is among the leaves of the
// heap, which are the second half of the slice.
func (s items[T]) latest() *item[T] {
	best := s[len(s)-1]
	for _, e := range s[len(s)/2:] {
		if best.before(e) {
			best = e
		}
	}
	return best
}

// sorted returns the items in order of deadline and does not change the heap.
func (s items[T]) sorted() []*item[T] {
	out := slices.Clone(s)
	slices.SortFunc(out, func(a, b *item[T]) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out
}
