package home

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/clock"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

// OthersHaveFreeSlot reports whether, by the last load reports, another executor
// that may run the task has a free slot for it.
func (c *Core) OthersHaveFreeSlot(now clock.Now, s *message.Start) bool {
	c.now = now
	j := &job.Job{Team: s.Team, Class: s.Class}
	for _, l := range c.order {
		if l.dead || l.suspect || l.ref == c.cfg.Self || c.faults.Quarantined(now.Mono, l.ref.ID) {
			continue
		}
		free := placement.AnyFreeSlot([]placement.Candidate{c.candidate(l, s.Class)})
		if free && c.cfg.Eligibility.Eligible(l.ref, j, &s.Task) {
			return true
		}
	}
	return false
}
