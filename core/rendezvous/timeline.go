package rendezvous

import (
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Timeline finds the home of a job among the agents that could be homes when the
// job was created, so that a membership change moves no existing job. It covers
// one control state and is not safe for concurrent use.
type Timeline struct {
	state *control.State
	// times are the times, in milliseconds since the Unix epoch, at which the set
	// of agents changed. tables[i] holds the agents just before times[i], and the
	// last table those after all times. A table is nil until it is needed.
	times  []int64
	tables []*Table
}

// NewTimeline returns the timeline of s. The caller must replace it when the
// membership in s changes.
func NewTimeline(s *control.State) *Timeline {
	times := s.OwnerTimes()
	return &Timeline{state: s, times: times, tables: make([]*Table, len(times)+1)}
}

// Home returns the home of a job that was created at the given time in
// milliseconds since the Unix epoch. If id is a UUIDv7, the time in it is used
// instead. Home reports false when there was no agent at that time.
func (t *Timeline) Home(id job.ID, created int64) (control.Member, bool) {
	if c, ok := id.UUIDv7Created(); ok {
		created = c
	}
	i, _ := slices.BinarySearch(t.times, created+1)
	if t.tables[i] == nil {
		table := NewTable(t.state.OwnersAt(created))
		t.tables[i] = &table
	}
	return t.tables[i].Home(id)
}
