package control

import (
	"cmp"
	"slices"
)

// OwnerTimes returns the creation times at which the set of agents that own
// jobs by hashing changes, in ascending order, in milliseconds since the Unix
// epoch.
func (s *State) OwnerTimes() []int64 {
	var times []int64
	for _, m := range s.members.agents {
		times = append(times, m.Effective)
	}
	for _, e := range s.members.ended {
		if e.owns() {
			times = append(times, e.From, e.Effective)
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// OwnersAt returns the agents on which jobs created at a time are placed by
// hashing, ordered by ref. Of an agent that has left only Ref is set.
func (s *State) OwnersAt(created int64) []Member {
	var owners []Member
	for _, m := range s.members.agents {
		if m.Effective <= created {
			owners = append(owners, m)
		}
	}
	current := len(owners)
	for _, e := range s.members.ended {
		if !e.owns() || created < e.From || created >= e.Effective {
			continue
		}
		if !slices.ContainsFunc(owners[:current], func(m Member) bool { return m.Ref.ID == e.Ref.ID }) {
			owners = append(owners, Member{Ref: e.Ref, Role: e.Role})
		}
	}
	slices.SortFunc(owners, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return slices.CompactFunc(owners, func(a, b Member) bool { return a.Ref.ID == b.Ref.ID })
}

// owns reports whether jobs of some creation time are placed on the ended run.
func (e *Ended) owns() bool { return e.Role == RoleAgent && e.Effective > e.From }
