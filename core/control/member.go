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
	// Read is the offset before which the run had applied every record when it
	// asked to join. It is needed of an entry that was evicted.
	Read int64 `json:"read,omitempty"`
	// Joined is the offset of the record by which the run joined.
	Joined int64 `json:"joined,omitempty"`
	// Rejoined says that the run is an entry that joined again after an
	// eviction. It is not evicted a second time.
	Rejoined bool `json:"rejoined,omitempty"`
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
	// Evicted says that the run was an entry that another process removed.
	Evicted bool `json:"evicted,omitempty"`
}

// members holds the current members and the runs that ended last.
type members struct {
	byID map[node.ID]Member
	// ended is ordered by offset; see barred.
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
		s.remove(former, former.Addr == m.Addr, Ended{Offset: offset})
	}
	m.Joined = offset
	m.Rejoined = s.members.hasEnded(m.Ref)
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
	case ms.barred(m):
		return "run has ended"
	default:
		return ""
	}
}

// barred reports whether a run that has ended asks to join. An entry that was
// evicted and lives may join again: it starts nothing, so a wrong proof of its
// end does no harm. It states that it has read its eviction, which a late copy
// of its first join does not.
func (ms *members) barred(m Member) bool {
	return slices.ContainsFunc(ms.ended, func(e Ended) bool {
		return e.Ref == m.Ref && !(e.Evicted && m.Read > e.Offset)
	})
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
	m, _ := s.Member(e.Ref)
	if m.Rejoined {
		return Effect{Rejected: "evicted before, and has joined again"}
	}
	return s.applyRemoval(e.Ref, Ended{Offset: offset, Evicted: m.Role == RoleEntry})
}

// applyRemoval removes a member whose end is proven or announced.
func (s *State) applyRemoval(ref node.Ref, e Ended) Effect {
	m, ok := s.Member(ref)
	if !ok {
		return Effect{Rejected: "not a member"}
	}
	s.remove(m, true, e)
	s.members.rebuild()
	return Effect{MembersChanged: true}
}

// remove removes a member; the caller rebuilds the lists. Proven says that the
// run provably makes no statement any more. The caller states when and how in e.
func (s *State) remove(m Member, proven bool, e Ended) {
	delete(s.members.byID, m.Ref.ID)
	e.Ref, e.Role, e.From = m.Ref, m.Role, m.Effective
	s.members.end(e)
	if m.Role == RoleAgent {
		s.sets.add(agentOp{Offset: e.Offset, Ref: m.Ref, Ended: proven})
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
