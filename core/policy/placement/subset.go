package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// FanOut is the number of other executors whose load one process follows.
const FanOut = 32

// ranked is a member with its rank for one process.
type ranked struct {
	id   node.ID
	rank uint64
}

// Subset returns the n members of all whose load self follows, without self,
// sorted by ID. It ranks each other member by a hash of both IDs, so that a
// member that joins or leaves changes at most one member of each subset.
func Subset(self node.ID, all []node.ID, n int) []node.ID {
	others := make([]ranked, 0, len(all))
	prefix := append([]byte(self), 0)
	for _, id := range all {
		if id != self {
			key := append(prefix[:len(self)+1], id...)
			others = append(others, ranked{id: id, rank: xxhash.Sum64(key)})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
	})
	others = slices.Compact(others)
	others = others[:min(max(n, 0), len(others))]
	out := make([]node.ID, len(others))
	for i, o := range others {
		out[i] = o.id
	}
	slices.Sort(out)
	return out
}
