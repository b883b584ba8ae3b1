// Package rendezvous places keys on agents by highest random weight hashing.
package rendezvous

import (
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Rank returns the weight of node n for id. It depends on the node's ID alone,
// so a restart of a node moves nothing.
func Rank(id string, n node.ID) uint64 { return 0 }

// Home returns the agent with the highest rank for a job. It reports false when
// agents is empty.
func Home(id job.ID, agents []control.Member) (control.Member, bool) {
	return control.Member{}, false
}

// Candidates returns the n agents with the highest ranks for id, highest first.
func Candidates(id string, agents []control.Member, n int) []control.Member { return nil }

// Position returns the place of node n in the rank order for id, from 0, or the
// number of agents when n is not among them.
func Position(id string, agents []control.Member, n node.ID) int { return 0 }
