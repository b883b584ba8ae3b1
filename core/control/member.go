package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Role is the function of a process in the system.
type Role string

// The roles of a member.
const (
	RoleAgent Role = "agent"
	RoleEntry Role = "entry"
)

// maxEnded is the number of former members that are kept.
const maxEnded = 1024

// maxNodeIDBytes limits the ID of a node.
const maxNodeIDBytes = 128

// Member is an incarnation of a process that has joined.
type Member struct {
	Ref    node.Ref `json:"ref"`
	Addr   string   `json:"addr"`
	Role   Role     `json:"role"`
	Domain string   `json:"domain,omitempty"`
	Worker string   `json:"worker,omitempty"`
	// OwnsFrom is a wall-clock time in milliseconds since the Unix epoch. Jobs
	// created from then on may be placed on the member by hashing. Zero means at
	// once.
	OwnsFrom int64 `json:"effective,omitempty"`
	// NextOffset is the next offset of the process when it asked to join: it had
	// applied every record before it. An evicted entry needs it to join again.
	NextOffset int64 `json:"read,omitempty"`
	// JoinOffset is the offset of the join record.
	JoinOffset int64 `json:"joined,omitempty"`
	// Rejoined is true for an entry that joined again after an eviction. It
	// cannot be evicted a second time.
	Rejoined bool `json:"rejoined,omitempty"`
}

// FormerMember is an incarnation that is no longer a member.
type FormerMember struct {
	Ref  node.Ref `json:"ref"`
	Role Role     `json:"role"`
	// Offset is the offset of the record that removed the member.
	Offset int64 `json:"offset"`
	// Jobs created at or after OwnsFrom and before OwnsUntil are placed on the
	// former member by hashing; both are in milliseconds since the Unix epoch.
	// OwnsUntil is zero when the process ended without a Leave record; no job is
	// placed on it then.
	OwnsFrom  int64 `json:"from,omitempty"`
	OwnsUntil int64 `json:"effective,omitempty"`
	// Evicted is true for an entry that another process removed.
	Evicted bool `json:"evicted,omitempty"`
}

// members holds the current members and the most recent former members.
type members struct {
	byID map[node.ID]Member
	// ended holds the last maxEnded former members, ordered by offset.
	ended []FormerMember
	// forgotten is the offset of the last removal that was dropped from ended,
	// or noOffset.
	forgotten int64

	all    []Member
	agents []Member
}

func newMembers() members {
	return members{byID: make(map[node.ID]Member), forgotten: noOffset}
}

// Members returns all members ordered by ID. The caller must not modify the
// slice.
func (s *State) Members() []Member { return s.members.all }

// Agents returns the members with RoleAgent ordered by ID. The caller must not
// modify the slice.
func (s *State) Agents() []Member { return s.members.agents }

// Member returns the member with the given ref.
func (s *State) Member(ref node.Ref) (Member, bool) {
	m, ok := s.members.byID[ref.ID]
	if !ok || m.Ref != ref {
		return Member{}, false
	}
	return m, true
}

// RemovedSince returns the members that were removed at or after offset, in the
// order of the stream. Complete is false when some of them are missing,
// because only the last maxEnded former members are kept.
func (s *State) RemovedSince(offset int64) (ended []FormerMember, complete bool) {
	i, _ := slices.BinarySearchFunc(s.members.ended, offset, func(e FormerMember, o int64) int {
		return cmp.Compare(e.Offset, o)
	})
	return s.members.ended[i:], s.members.forgotten < offset
}

func (s *State) applyJoin(offset int64, m Member) Effect {
	if reason := s.members.joinRejection(m); reason != "" {
		return Effect{Rejected: reason}
	}
	if former, ok := s.members.byID[m.Ref.ID]; ok {
		// A process binds its address before it joins. This proves that a former
		// incarnation has ended only if it had the same address.
		s.removeMember(former, former.Addr == m.Addr, FormerMember{Offset: offset})
	}
	m.JoinOffset = offset
	m.Rejoined = s.members.hasEnded(m.Ref)
	s.members.byID[m.Ref.ID] = m
	s.members.rebuild()
	if m.Role == RoleAgent {
		s.sets.add(agentOp{Offset: offset, Ref: m.Ref, Add: true})
	}
	return Effect{MembersChanged: true}
}

// joinRejection returns the reason to reject the join of m, or "".
func (ms *members) joinRejection(m Member) string {
	switch {
	case m.Ref.ID == "" || m.Ref.Incarnation == 0 || len(m.Ref.ID) > maxNodeIDBytes:
		return "join without a valid ID and incarnation"
	case m.Role != RoleAgent && m.Role != RoleEntry:
		return "join with an unknown role"
	case ms.byID[m.Ref.ID].Ref == m.Ref:
		return "incarnation is already a member"
	case ms.mustNotRejoin(m):
		return "incarnation has ended"
	default:
		return ""
	}
}

// mustNotRejoin reports whether m is a former member that must not join again. An
// entry that was evicted although it is alive may: it starts no tasks, so a wrong
// proof of its end does no harm. Its new join record has a NextOffset past the
// eviction, which tells it from a late copy of its first join record.
func (ms *members) mustNotRejoin(m Member) bool {
	return slices.ContainsFunc(ms.ended, func(e FormerMember) bool {
		return e.Ref == m.Ref && !(e.Evicted && m.NextOffset > e.Offset)
	})
}

func (ms *members) hasEnded(ref node.Ref) bool {
	return slices.ContainsFunc(ms.ended, func(e FormerMember) bool { return e.Ref == ref })
}

func (s *State) applyEvict(offset int64, e *Evict) Effect {
	if _, ok := s.Member(e.By); !ok {
		return Effect{Rejected: "evicted by a process that is not a member"}
	}
	if s.sets.markEndProven(e.Ref) {
		return Effect{}
	}
	m, _ := s.Member(e.Ref)
	if m.Rejoined {
		return Effect{Rejected: "entry was evicted before and has joined again"}
	}
	return s.applyRemoval(e.Ref, FormerMember{Offset: offset, Evicted: m.Role == RoleEntry})
}

// applyRemoval removes a member that has provably ended or has announced that it
// leaves.
func (s *State) applyRemoval(ref node.Ref, e FormerMember) Effect {
	m, ok := s.Member(ref)
	if !ok {
		return Effect{Rejected: "not a member"}
	}
	s.removeMember(m, true, e)
	s.members.rebuild()
	return Effect{MembersChanged: true}
}

// removeMember moves a member to the former members. The caller sets the offset
// and the kind of removal in e, and must rebuild the lists afterwards.
// EndProven tells whether the process has provably stopped answering Status
// queries.
func (s *State) removeMember(m Member, endProven bool, e FormerMember) {
	delete(s.members.byID, m.Ref.ID)
	e.Ref, e.Role, e.OwnsFrom = m.Ref, m.Role, m.OwnsFrom
	s.members.addEnded(e)
	if m.Role == RoleAgent {
		s.sets.add(agentOp{Offset: e.Offset, Ref: m.Ref, EndProven: endProven})
	}
}

func (ms *members) addEnded(e FormerMember) {
	ended := append(ms.ended, e)
	if extra := len(ended) - maxEnded; extra > 0 {
		ms.forgotten = ended[extra-1].Offset
		ended = ended[extra:]
	}
	ms.ended = ended
}

// rebuild makes new lists of all members and of the agents. It does not modify
// the old slices, because callers may still hold them.
func (ms *members) rebuild() {
	ms.all = slices.SortedFunc(maps.Values(ms.byID), func(a, b Member) int {
		return cmp.Compare(a.Ref.ID, b.Ref.ID)
	})
	ms.agents = nil
	for _, m := range ms.all {
		if m.Role == RoleAgent {
			ms.agents = append(ms.agents, m)
		}
	}
}
