package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/invariant"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

// Status is a snapshot of an entry for the status page.
type Status struct {
	Self       node.Ref                  `json:"self"`
	Domain     string                    `json:"domain"`
	Offset     int64                     `json:"offset"`
	Revision   int64                     `json:"revision"`
	Synced     bool                      `json:"synced"`
	Calls      int                       `json:"calls"`
	Agents     []AgentStatus             `json:"agents"`
	Violations map[invariant.Name]uint64 `json:"violations"`
}

// AgentStatus is what an entry knows of one agent.
type AgentStatus struct {
	Ref    node.Ref     `json:"ref"`
	Addr   string       `json:"addr"`
	Domain string       `json:"domain"`
	Worker string       `json:"worker"`
	Load   message.Load `json:"load"`
	// Age is the age of Load.
	Age       time.Duration      `json:"age"`
	Dead      bool               `json:"dead"`
	Upstreams []message.Upstream `json:"upstreams"`
}

// Status returns a snapshot at the time of the last event.
func (c *Core) Status() Status {
	s := Status{
		Self: c.cfg.Self, Domain: c.cfg.Domain, Offset: c.state.Next(),
		Revision: c.state.Config().Revision(), Synced: c.state.Synced(), Calls: len(c.calls),
		Violations: make(map[invariant.Name]uint64),
	}
	for _, a := range c.order {
		s.Agents = append(s.Agents, AgentStatus{
			Ref: a.member.Ref, Addr: a.member.Addr, Domain: a.member.Domain, Worker: a.member.Worker,
			Load: a.load, Age: c.now.Mono - a.loadAt, Dead: a.dead, Upstreams: a.upstreams,
		})
	}
	for _, name := range invariant.Names {
		s.Violations[name] = c.invariants.Count(name)
	}
	return s
}
