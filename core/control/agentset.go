package control

import (
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// agentOp adds an incarnation of an agent to the set of agents or removes it.
// EndProven is true when a removed incarnation has provably ended, or has left
// and so answers no more Status queries.
type agentOp struct {
	Offset    int64    `json:"offset"`
	Ref       node.Ref `json:"ref"`
	Add       bool     `json:"add,omitempty"`
	EndProven bool     `json:"ended,omitempty"`
}

// agentSets holds every set of agents of which a process may still need a
// majority: base, the set in force at the offset confirmed, and the sets that
// result from applying ops to it one after another.
type agentSets struct {
	confirmed int64
	base      map[node.Ref]bool
	ops       []agentOp
}

func newAgentSets() agentSets {
	return agentSets{base: make(map[node.Ref]bool)}
}

func (a *agentSets) add(op agentOp) { a.ops = append(a.ops, op) }

// markEndProven records that a removed incarnation has provably ended. It reports
// whether ref was removed without such a proof.
func (a *agentSets) markEndProven(ref node.Ref) bool {
	i := slices.IndexFunc(a.ops, func(op agentOp) bool { return op.Ref == ref && !op.Add && !op.EndProven })
	if i < 0 {
		return false
	}
	a.ops = slices.Clone(a.ops)
	a.ops[i].EndProven = true
	return true
}

// provenEnded returns the removed incarnations that have provably ended.
func (a *agentSets) provenEnded() map[node.Ref]bool {
	ended := make(map[node.Ref]bool)
	for _, op := range a.ops {
		if op.EndProven {
			ended[op.Ref] = true
		}
	}
	return ended
}

// ConfirmedOffset returns the offset up to which the last accepted Confirm reaches.
// A process whose next offset is below it can no longer get replies from a
// majority of the agents.
func (s *State) ConfirmedOffset() int64 { return s.sets.confirmed }

// UnconfirmedOffset returns the offset of the last record that changed the set of
// agents. It reports false when that record is already confirmed.
func (s *State) UnconfirmedOffset() (int64, bool) {
	if len(s.sets.ops) == 0 {
		return 0, false
	}
	return s.sets.ops[len(s.sets.ops)-1].Offset, true
}

// MajorityApplied reports whether a majority has applied the record at the
// offset upTo. It checks every set of agents in force from the last
// confirmation up to and including upTo: more than half of the set must have
// applied the record or have provably ended. The function applied reports
// whether an agent is known to have applied that record.
func (s *State) MajorityApplied(upTo int64, applied func(node.Ref) bool) bool {
	ended := s.sets.provenEnded()
	t := tally{qualifies: func(ref node.Ref) bool { return ended[ref] || applied(ref) }}
	for ref := range s.sets.base {
		t.add(ref)
	}
	for i, op := range s.sets.ops {
		if op.Offset >= upTo {
			break
		}
		firstOfRecord := i == 0 || s.sets.ops[i-1].Offset != op.Offset
		if firstOfRecord && !t.majority() {
			return false
		}
		t.apply(op)
	}
	return t.majority()
}

// tally tracks the size of a changing set of agents, and how many of them
// satisfy qualifies.
type tally struct {
	qualifies func(node.Ref) bool
	size      int
	qualified int
}

func (t *tally) add(ref node.Ref) {
	t.size++
	if t.qualifies(ref) {
		t.qualified++
	}
}

func (t *tally) apply(op agentOp) {
	if op.Add {
		t.add(op.Ref)
		return
	}
	t.size--
	if t.qualifies(op.Ref) {
		t.qualified--
	}
}

// majority reports whether more than half of the set qualifies. It is true for
// the empty set, because no agents can form a majority of it.
func (t *tally) majority() bool { return t.size == 0 || 2*t.qualified > t.size }

func (s *State) applyConfirm(offset int64, c *Confirm) Effect {
	m, ok := s.Member(c.By)
	switch {
	case !ok || m.Role != RoleAgent:
		return Effect{Rejected: "confirmed by a process that is not an agent"}
	case c.Through > offset:
		return Effect{Rejected: "confirms records that are not in the stream yet"}
	case c.Through <= s.sets.confirmed:
		return Effect{Rejected: "these records are already confirmed"}
	}
	s.sets.confirm(c.Through)
	return Effect{}
}

// confirm applies the operations with offsets below through to base and drops
// them from ops.
func (a *agentSets) confirm(through int64) {
	a.confirmed = through
	n := slices.IndexFunc(a.ops, func(op agentOp) bool { return op.Offset >= through })
	if n < 0 {
		n = len(a.ops)
	}
	a.base = maps.Clone(a.base)
	for _, op := range a.ops[:n] {
		if op.Add {
			a.base[op.Ref] = true
		} else {
			delete(a.base, op.Ref)
		}
	}
	a.ops = slices.Clone(a.ops[n:])
}
