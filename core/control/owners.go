package control

import (
	"cmp"
	"slices"
)

// OwnerTimes returns, in ascending order, the job creation times at which the
// result of OwnersAt changes, in milliseconds since the Unix epoch.
func (s *State) OwnerTimes() []int64 {
	var times []int64
	for _, m := range s.members.agents {
		times = append(times, m.OwnsFrom)
	}
	for _, e := range s.members.ended {
		if e.ownsJobs() {
			times = append(times, e.OwnsFrom, e.OwnsUntil)
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// OwnersAt returns the agents among which hashing places the jobs created at a
// given time, in milliseconds since the Unix epoch. The agents are ordered by ID.
// For an agent that has left, only Ref and Role are set.
func (s *State) OwnersAt(created int64) []Member {
	var owners []Member
	for _, m := range s.members.agents {
		if m.OwnsFrom <= created {
			owners = append(owners, m)
		}
	}
	current := len(owners)
	for _, e := range s.members.ended {
		if !e.ownsJobs() || created < e.OwnsFrom || created >= e.OwnsUntil {
			continue
		}
		if !slices.ContainsFunc(owners[:current], func(m Member) bool { return m.Ref.ID == e.Ref.ID }) {
			owners = append(owners, Member{Ref: e.Ref, Role: e.Role})
		}
	}
	slices.SortFunc(owners, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return slices.CompactFunc(owners, func(a, b Member) bool { return a.Ref.ID == b.Ref.ID })
}

// ownsJobs reports whether jobs of some creation times are placed on the former
// member.
func (e *FormerMember) ownsJobs() bool { return e.Role == RoleAgent && e.OwnsUntil > e.OwnsFrom }
