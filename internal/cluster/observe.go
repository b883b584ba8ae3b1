package cluster

import (
	"context"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/internal/transport"
)

// Revision is the configuration revision that one run has.
type Revision struct {
	Ref      node.Ref
	Revision int64
}

// Revisions returns the revision of every process that runs.
func (c *Cluster) Revisions(ctx context.Context) []Revision {
	var all []Revision
	for _, e := range c.Entries {
		if s, err := e.daemon().Snapshot(ctx); err == nil {
			all = append(all, Revision{Ref: s.Self, Revision: s.Revision})
		}
	}
	for _, a := range c.Agents {
		if s, err := a.daemon().Snapshot(ctx); err == nil {
			all = append(all, Revision{Ref: s.Self, Revision: s.Revision})
		}
	}
	return all
}

// RunStats is the transport's counters of one run.
type RunStats struct {
	Ref   node.Ref
	Stats transport.Stats
}

// Stats returns the counters of every process that runs.
func (c *Cluster) Stats(ctx context.Context) []RunStats {
	var all []RunStats
	for _, e := range c.Entries {
		if s, err := e.daemon().Snapshot(ctx); err == nil {
			all = append(all, RunStats{Ref: s.Self, Stats: s.Transport})
		}
	}
	for _, a := range c.Agents {
		if s, err := a.daemon().Snapshot(ctx); err == nil {
			all = append(all, RunStats{Ref: s.Self, Stats: s.Transport})
		}
	}
	return all
}
