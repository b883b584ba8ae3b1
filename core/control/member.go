package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Role is what a process does.
type Role string

// The roles of a member.
const (
	RoleAgent Role = "agent"
	RoleEntry Role = "entry"
)

// maxEnded is how many ended runs are remembered.
const maxEnded = 1024

// maxNodeIDBytes bounds the ID of a node.
const maxNodeIDBytes = 128

// Member is one run of one process that has joined.
type Member struct {
	Ref    node.Ref `json:"ref"`
	Addr   string   `json:"addr"`
	Role   Role     `json:"role"`
	Domain string   `json:"domain,omitempty"`
	Worker string   `json:"worker,omitempty"`
	// Effective is the wall-clock time in milliseconds since the Unix epoch from
	// which created jobs are placed on the run by hashing. Zero is at once.
	Effective int64 `json:"effective,omitempty"`
	// Joined is the offset of the record by which the run joined.
	Joined int64 `json:"joined,omitempty"`
}

// Ended is a run that was a member once.
type Ended struct {
	Ref  node.Ref `json:"ref"`
	Role Role     `json:"role"`
	// Offset is that of the record that removed the run.
	Offset int64 `json:"offset"`
	// From and Effective bound the creation times of the jobs that are placed on
	// the run by hashing, in milliseconds since the Unix epoch. Effective is zero
	// when the run ended without notice; no job is placed on it then.
	From      int64 `json:"from,omitempty"`
	Effective int64 `json:"effective,omitempty"`
}

// members holds the current members and the runs that ended last.
type members struct {
	byID map[node.ID]Member
	// ended is ordered by offset; ended runs cannot join again.
	ended []Ended
	// forgotten is the offset of the last removal that ended no longer holds.
	forgotten int64

	all    []Member
	agents []Member
}

func newMembers() members {
	return members{byID: make(map[node.ID]Member), forgotten: noOffset}
}

// Members returns all members ordered by ref. The caller must not modify it.
func (s *State) Members() []Member { return s.members.all }

// Agents returns the members with RoleAgent ordered by ref. The caller must not
// modify it.
func (s *State) Agents() []Member { return s.members.agents }

// Member returns the member with the given ref.
func (s *State) Member(ref node.Ref) (Member, bool) {
	m, ok := s.members.byID[ref.ID]
	if !ok || m.Ref != ref {
		return Member{}, false
	}
	return m, true
}

// EndedSince returns the runs that were removed at or past offset, in order.
// Complete is false when older ones among them are no longer remembered.
func (s *State) EndedSince(offset int64) (ended []Ended, complete bool) {
	i, _ := slices.BinarySearchFunc(s.members.ended, offset, func(e Ended, o int64) int {
		return cmp.Compare(e.Offset, o)
	})
	return s.members.ended[i:], s.members.forgotten < offset
}

func (s *State) applyJoin(offset int64, m Member) Effect {
	if reason := s.members.refuseJoin(m); reason != "" {
		return Effect{Rejected: reason}
	}
	if former, ok := s.members.byID[m.Ref.ID]; ok {
		// A run binds its address before it joins, which proves the end of a
		// former run at that address only.
		s.remove(offset, former, former.Addr == m.Addr, 0)
	}
	m.Joined = offset
	s.members.byID[m.Ref.ID] = m
	s.members.rebuild()
	if m.Role == RoleAgent {
		s.sets.add(agentOp{Offset: offset, Ref: m.Ref, Add: true})
	}
	return Effect{MembersChanged: true}
}

func (ms *members) refuseJoin(m Member) string {
	switch {
	case m.Ref.ID == "" || m.Ref.Incarnation == 0 || len(m.Ref.ID) > maxNodeIDBytes:
		return "join without a valid ref"
	case m.Role != RoleAgent && m.Role != RoleEntry:
		return "join with an unknown role"
	case ms.byID[m.Ref.ID].Ref == m.Ref:
		return "already a member"
	case ms.hasEnded(m.Ref):
		return "run has ended"
	default:
		return ""
	}
}

func (ms *members) hasEnded(ref node.Ref) bool {
	return slices.ContainsFunc(ms.ended, func(e Ended) bool { return e.Ref == ref })
}

func (s *State) applyEvict(offset int64, e *Evict) Effect {
	if _, ok := s.Member(e.By); !ok {
		return Effect{Rejected: "evicted by a process that is not a member"}
	}
	if s.sets.prove(e.Ref) {
		return Effect{}
	}
	return s.applyRemoval(offset, e.Ref, 0)
}

func (s *State) applyRemoval(offset int64, ref node.Ref, effective int64) Effect {
	m, ok := s.Member(ref)
	if !ok {
		return Effect{Rejected: "not a member"}
	}
	s.remove(offset, m, true, effective)
	s.members.rebuild()
	return Effect{MembersChanged: true}
}

// remove removes a member; the caller rebuilds the lists. Proven says that the
// run provably makes no statement any more.
func (s *State) remove(offset int64, m Member, proven bool, effective int64) {
	delete(s.members.byID, m.Ref.ID)
	s.members.end(Ended{Ref: m.Ref, Role: m.Role, Offset: offset, From: m.Effective, Effective: effective})
	if m.Role == RoleAgent {
		s.sets.add(agentOp{Offset: offset, Ref: m.Ref, Ended: proven})
	}
}

func (ms *members) end(e Ended) {
	ended := append(ms.ended, e)
	if extra := len(ended) - maxEnded; extra > 0 {
		ms.forgotten = ended[extra-1].Offset
		ended = ended[extra:]
	}
	ms.ended = ended
}

// rebuild makes new lists, so that slices handed out before stay as they were.
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
