package control

import (
	"maps"
	"slices"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// agentOp adds an agent to the set of agents or removes it. Ended says that the
// end of a removed run is proven.
type agentOp struct {
	Offset int64    `json:"offset"`
	Ref    node.Ref `json:"ref"`
	Add    bool     `json:"add,omitempty"`
	Ended  bool     `json:"ended,omitempty"`
}

// agentSets holds every set of agents that a process may still count a majority
// of: the one in force at confirmed, and the operations since then.
type agentSets struct {
	confirmed int64
	base      map[node.Ref]bool
	ops       []agentOp
}

func newAgentSets() agentSets {
	return agentSets{base: make(map[node.Ref]bool)}
}

func (a *agentSets) add(op agentOp) { a.ops = append(a.ops, op) }

// prove notes that the end of a removed run is proven. It reports whether that
// was open.
func (a *agentSets) prove(ref node.Ref) bool {
	i := slices.IndexFunc(a.ops, func(op agentOp) bool { return op.Ref == ref && !op.Add && !op.Ended })
	if i < 0 {
		return false
	}
	a.ops = slices.Clone(a.ops)
	a.ops[i].Ended = true
	return true
}

// ended returns the removed runs whose end is proven.
func (a *agentSets) ended() map[node.Ref]bool {
	ended := make(map[node.Ref]bool)
	for _, op := range a.ops {
		if op.Ended {
			ended[op.Ref] = true
		}
	}
	return ended
}

// Confirmed returns the offset of the last confirmation: no process whose next
// offset is below it can gather word from a majority any more.
func (s *State) Confirmed() int64 { return s.sets.confirmed }

// Unconfirmed returns the offset of the last record that changed the set of
// agents when it is not yet confirmed.
func (s *State) Unconfirmed() (int64, bool) {
	if len(s.sets.ops) == 0 {
		return 0, false
	}
	return s.sets.ops[len(s.sets.ops)-1].Offset, true
}

// MajorityRead reports whether, for every set of agents that was in force at an
// offset up to and including upTo since the last confirmation, more than half
// has applied the record at upTo or has provably ended. Read tells whether an
// agent is known to have applied it.
func (s *State) MajorityRead(upTo int64, read func(node.Ref) bool) bool {
	ended := s.sets.ended()
	t := tally{counts: func(ref node.Ref) bool { return ended[ref] || read(ref) }}
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

// tally counts how many agents of a changing set satisfy counts.
type tally struct {
	counts  func(node.Ref) bool
	size    int
	counted int
}

func (t *tally) add(ref node.Ref) {
	t.size++
	if t.counts(ref) {
		t.counted++
	}
}

func (t *tally) apply(op agentOp) {
	if op.Add {
		t.add(op.Ref)
		return
	}
	t.size--
	if t.counts(op.Ref) {
		t.counted--
	}
}

// majority also holds for the empty set, of which nobody can be a majority.
func (t *tally) majority() bool { return t.size == 0 || 2*t.counted > t.size }

func (s *State) applyConfirm(offset int64, c *Confirm) Effect {
	m, ok := s.Member(c.By)
	switch {
	case !ok || m.Role != RoleAgent:
		return Effect{Rejected: "confirmed by a process that is not an agent"}
	case c.Through > offset:
		return Effect{Rejected: "confirms records that are not in the stream"}
	case c.Through <= s.sets.confirmed:
		return Effect{Rejected: "already confirmed"}
	}
	s.sets.confirm(c.Through)
	return Effect{}
}

// confirm folds the operations before through into the base.
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
