package queue

import (
	"slices"
	"time"
)

// entry is one queued item.
type entry[T any] struct {
	value    T
	handle   Handle
	level    int
	index    int
	deadline time.Duration
}

// before orders entries by deadline, then by age.
func (e *entry[T]) before(o *entry[T]) bool {
	if e.deadline != o.deadline {
		return e.deadline < o.deadline
	}
	return e.handle < o.handle
}

// items is a heap of entries, earliest deadline first.
type items[T any] []*entry[T]

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
	e := x.(*entry[T])
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

// last returns the entry with the latest deadline, which is among the leaves.
func (s items[T]) last() *entry[T] {
	best := s[len(s)-1]
	for _, e := range s[len(s)/2:] {
		if best.before(e) {
			best = e
		}
	}
	return best
}

// sorted returns the entries in order without changing the heap.
func (s items[T]) sorted() []*entry[T] {
	out := slices.Clone(s)
	slices.SortFunc(out, func(a, b *entry[T]) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out
}
