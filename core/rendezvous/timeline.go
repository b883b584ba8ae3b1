package rendezvous

import (
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
)

// Timeline finds the home of a job by the agents that were in force when the
// job was created, so that a change of membership moves no job that exists. It
// describes one state and is not safe for concurrent use.
type Timeline struct {
	state  *control.State
	times  []int64
	tables []*Table
}

// NewTimeline returns the timeline of s. It must be made anew when the
// membership changes.
func NewTimeline(s *control.State) *Timeline {
	times := s.OwnerTimes()
	return &Timeline{state: s, times: times, tables: make([]*Table, len(times)+1)}
}

// Home returns the home of a job created at a time in milliseconds since the
// Unix epoch. It reports false when there was no agent.
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
