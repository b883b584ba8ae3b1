// Package backlog predicts how long a job waits for capacity, from the demand that is placed
// before it and the rate at which demand was placed within the last second.
//
// Demand is expected work in core milliseconds: capacity times the estimated duration. The rate
// at which it is placed is about the capacity, whatever the durations of the tasks. A count of
// cores alone would place short tasks at a higher rate than long ones. Times are monotonic. Types
// of this package are not safe for concurrent use.
package backlog

import (
	"cmp"
	"slices"
	"time"
)

// bucketWidth is the resolution of objectives. Jobs whose objectives differ by less count as
// equal, and equal ones do not count as ahead, which shortens predictions by as much.
const bucketWidth = 32 * time.Millisecond

// Class is the standing of a job that waits.
type Class uint8

// The classes.
const (
	// Started: tasks of the job may have run. It keeps its place.
	Started Class = iota
	// OnTime: the job can still meet its objective.
	OnTime
	// Late: it cannot. It is placed behind all others of its priority.
	Late
	classes
)

// Entry is the demand of one job that waits to be placed.
type Entry struct {
	// Priority orders entries; 0 comes first.
	Priority int
	Class    Class
	// Objective orders the entries of one priority that are all late or all not late.
	Objective time.Duration
	Demand    int
}

// Queue holds sums of the demand that waits. The cost of its methods depends on the number of
// priorities and on the span of the objectives, not on the number of entries.
type Queue struct {
	priorities []prioritySums
}

// prioritySums holds the sums of one priority.
type prioritySums struct {
	priority int
	class    [classes]sums
}

func (p *prioritySums) total() int {
	return p.class[Started].total + p.class[OnTime].total + p.class[Late].total
}

// sums holds the demand by objective. It has no empty buckets.
type sums struct {
	total   int
	buckets []bucket
}

type bucket struct {
	index  int64
	demand int
}

func bucketIndex(objective time.Duration) int64 { return int64(objective / bucketWidth) }

// Add adds an entry.
func (q *Queue) Add(e Entry) { q.change(e, e.Demand) }

// Remove removes an entry that was added with the same fields.
func (q *Queue) Remove(e Entry) { q.change(e, -e.Demand) }

func (q *Queue) change(e Entry, demand int) {
	if demand == 0 {
		return
	}
	i, ok := slices.BinarySearchFunc(q.priorities, e.Priority, func(p prioritySums, priority int) int {
		return cmp.Compare(p.priority, priority)
	})
	if !ok {
		q.priorities = slices.Insert(q.priorities, i, prioritySums{priority: e.Priority})
	}
	q.priorities[i].class[e.Class].add(bucketIndex(e.Objective), demand)
}

func (s *sums) add(index int64, demand int) {
	s.total += demand
	i, ok := s.find(index)
	if !ok {
		s.buckets = slices.Insert(s.buckets, i, bucket{index: index})
	}
	s.buckets[i].demand += demand
	if s.buckets[i].demand == 0 {
		s.buckets = slices.Delete(s.buckets, i, i+1)
	}
}

func (s *sums) find(index int64) (int, bool) {
	return slices.BinarySearchFunc(s.buckets, index, func(b bucket, index int64) int { return cmp.Compare(b.index, index) })
}

// before returns the demand with an earlier objective.
func (s *sums) before(index int64) int {
	end, _ := s.find(index)
	n := 0
	for _, b := range s.buckets[:end] {
		n += b.demand
	}
	return n
}

// Ahead returns the demand that is placed before the entry, which may have been added or not.
// Jobs of the same priority that are on time do not count as ahead of a job that is not late:
// with more demand than capacity, most of them become late and fall behind it.
func (q *Queue) Ahead(e Entry) int {
	n := 0
	for i := range q.priorities {
		p := &q.priorities[i]
		switch {
		case p.priority < e.Priority:
			n += p.total()
		case p.priority > e.Priority:
			return n
		case e.Class == Late:
			n += p.class[Started].total + p.class[OnTime].total + p.class[Late].before(bucketIndex(e.Objective))
		default:
			n += p.class[Started].before(bucketIndex(e.Objective))
		}
	}
	return n
}

// InTurn returns the demand that is placed before an entry that is on time if no job before it
// becomes late: that of the more urgent priorities, and that of its own priority.
func (q *Queue) InTurn(e Entry) (moreUrgent, samePriority int) {
	for i := range q.priorities {
		p := &q.priorities[i]
		switch {
		case p.priority < e.Priority:
			moreUrgent += p.total()
		case p.priority == e.Priority:
			samePriority = p.class[Started].total + p.class[OnTime].before(bucketIndex(e.Objective))
		}
	}
	return moreUrgent, samePriority
}

// Through returns the demand of this priority and the more urgent ones.
func (q *Queue) Through(priority int) int {
	n := 0
	for i := range q.priorities {
		if p := &q.priorities[i]; p.priority <= priority {
			n += p.total()
		}
	}
	return n
}

// Total returns the demand of all entries.
func (q *Queue) Total() int {
	n := 0
	for i := range q.priorities {
		n += q.priorities[i].total()
	}
	return n
}
