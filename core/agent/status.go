package agent

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/home"
	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Status is a snapshot of an agent for the status page.
type Status struct {
	Self     node.Ref     `json:"self"`
	Domain   string       `json:"domain"`
	Worker   string       `json:"worker"`
	Offset   int64        `json:"offset"`
	Revision int64        `json:"revision"`
	Synced   bool         `json:"synced"`
	Load     message.Load `json:"load"`
	// LeaseLeft is how long the agent may still start tasks without new
	// evidence. It is negative once the lease has expired.
	LeaseLeft  time.Duration             `json:"lease_left"`
	Agents     int                       `json:"agents"`
	Watched    int                       `json:"watched"`
	Home       home.Stats                `json:"home"`
	Upstreams  []message.Upstream        `json:"upstreams"`
	Violations map[invariant.Name]uint64 `json:"violations"`
	// Report is what the agent reports to entries that ask for it.
	Report *message.Report `json:"report"`
}

// Status returns a snapshot at the time of the last event.
func (c *Core) Status() Status {
	s := Status{
		Self: c.cfg.Self, Domain: c.cfg.Domain, Worker: c.cfg.Worker,
		Offset: c.state.Next(), Revision: c.state.Config().Revision(), Synced: c.state.Synced(),
		Load: c.Load(), LeaseLeft: c.lease.Until() - c.now.Mono,
		Agents: len(c.state.Agents()), Watched: len(c.watched),
		Home: c.home.Stats(), Upstreams: c.exec.Upstreams(),
		Violations: make(map[invariant.Name]uint64), Report: c.report(),
	}
	for _, name := range invariant.Names {
		s.Violations[name] = c.invariants.Count(name)
	}
	return s
}
