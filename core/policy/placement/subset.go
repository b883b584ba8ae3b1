package placement

import "github.com/dogwoodgauge/dogwoodgauge/core/node"

// FanOut is the number of peers that one process watches.
const FanOut = 32

// Subset returns the n members of all that self watches, self excluded, sorted
// by ID. Each other member is ranked by a hash of both names, so that a member
// that joins or leaves changes at most one place of a subset.
func Subset(self node.ID, all []node.ID, n int) []node.ID { return nil }
