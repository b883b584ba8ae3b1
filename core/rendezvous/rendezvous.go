// Package rendezvous assigns jobs and other keys to agents by rendezvous hashing
// (highest random weight).
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// The shifts and multipliers of the finalizer of SplitMix64.
const (
	mixShift1 = 30
	mixShift2 = 27
	mixShift3 = 31
	mixMul1   = 0xbf58476d1ce4e5b9
	mixMul2   = 0x94d049bb133111eb
)

// Rank returns the rank of node n for the key id: its random weight. It depends on
// the ID of the node and not on its incarnation, so a restart of a node moves no
// keys.
func Rank(id string, n node.ID) uint64 {
	return rank(xxhash.Sum64String(id), n)
}

// rank combines the hash of a key with the hash of n, so that callers compute the hash
// of the key only once for all nodes.
func rank(idHash uint64, n node.ID) uint64 {
	return mix(idHash ^ xxhash.Sum64String(string(n)))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>mixShift1) * mixMul1
	x = (x ^ x>>mixShift2) * mixMul2
	return x ^ x>>mixShift3
}

// Home returns the agent with the highest rank for a job. It reports false when
// agents is empty. Table.Home gives the same result and is faster for many jobs.
func Home(id job.ID, agents []control.Member) (control.Member, bool) {
	idHash := xxhash.Sum64String(string(id))
	return highest(agents, func(i int) uint64 { return rank(idHash, agents[i].Ref.ID) })
}

// highest returns the agent with the highest rank, and among equal ranks the one with
// the lowest ID. rankOf(i) is the rank of agents[i].
func highest(agents []control.Member, rankOf func(i int) uint64) (control.Member, bool) {
	if len(agents) == 0 {
		return control.Member{}, false
	}
	best := 0
	bestRank := rankOf(0)
	for i := 1; i < len(agents); i++ {
		r := rankOf(i)
		if r > bestRank || r == bestRank && agents[i].Ref.ID < agents[best].Ref.ID {
			best, bestRank = i, r
		}
	}
	return agents[best], true
}

// Table holds a list of agents with the hashes of their IDs. It is immutable and
// safe for concurrent use.
type Table struct {
	agents []control.Member
	hashes []uint64
}

// NewTable returns the table of agents. The caller must not modify the slice
// afterwards.
func NewTable(agents []control.Member) Table {
	hashes := make([]uint64, len(agents))
	for i, m := range agents {
		hashes[i] = xxhash.Sum64String(string(m.Ref.ID))
	}
	return Table{agents: agents, hashes: hashes}
}

// Home returns the agent with the highest rank for a job. It reports false when
// the table is empty.
func (t Table) Home(id job.ID) (control.Member, bool) {
	idHash := xxhash.Sum64String(string(id))
	return highest(t.agents, func(i int) uint64 { return mix(idHash ^ t.hashes[i]) })
}

// RanksAbove reports whether node a comes before node b in the rank order for
// the key id.
func RanksAbove(id string, a, b node.ID) bool {
	return compare(xxhash.Sum64String(id), a, b) < 0
}

// compare orders nodes by descending rank, then by ID.
func compare(idHash uint64, a, b node.ID) int {
	return cmp.Or(cmp.Compare(rank(idHash, b), rank(idHash, a)), cmp.Compare(a, b))
}

// Candidates returns the n agents with the highest ranks for the key id, highest
// first. It returns all agents if there are fewer.
func Candidates(id string, agents []control.Member, n int) []control.Member {
	idHash := xxhash.Sum64String(id)
	ordered := slices.Clone(agents)
	slices.SortFunc(ordered, func(a, b control.Member) int {
		return compare(idHash, a.Ref.ID, b.Ref.ID)
	})
	return ordered[:max(0, min(n, len(ordered)))]
}

// Position returns the place of node n, counted from 0, in the rank order of agents
// for the key id. It returns the number of agents when n is not among them.
func Position(id string, agents []control.Member, n node.ID) int {
	idHash := xxhash.Sum64String(id)
	position := 0
	found := false
	for _, m := range agents {
		if m.Ref.ID == n {
			found = true
		} else if compare(idHash, m.Ref.ID, n) < 0 {
			position++
		}
	}
	if !found {
		return len(agents)
	}
	return position
}
