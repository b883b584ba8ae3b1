package cluster

import (
	"context"

	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Observation is what one run of a process says of itself.
type Observation struct {
	Ref node.Ref
	// Revision is the configuration revision that it has applied.
	Revision int64
	Stats    transport.Stats
	// Violations counts the invariants that it saw broken.
	Violations uint64
}

// Observe returns an observation of every process that runs.
func (c *Cluster) Observe(ctx context.Context) []Observation {
	var all []Observation
	for _, e := range c.Entries {
		if s, err := e.daemon().Snapshot(ctx); err == nil {
			all = append(all, Observation{s.Self, s.Revision, s.Transport, total(s.Violations)})
		}
	}
	for _, a := range c.Agents {
		if s, err := a.daemon().Snapshot(ctx); err == nil {
			all = append(all, Observation{s.Self, s.Revision, s.Transport, total(s.Violations)})
		}
	}
	return all
}

func total(violations map[invariant.Name]uint64) uint64 {
	var sum uint64
	for _, n := range violations {
		sum += n
	}
	return sum
}
