package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/control"
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
	Entries    []EntryStatus             `json:"entries"`
	Agents     []AgentStatus             `json:"agents"`
	Violations map[invariant.Name]uint64 `json:"violations"`
}

// EntryStatus describes an entry that has joined.
type EntryStatus struct {
	Ref    node.Ref `json:"ref"`
	Addr   string   `json:"addr"`
	Domain string   `json:"domain"`
}

// AgentStatus is what an entry knows of one agent.
type AgentStatus struct {
	Ref    node.Ref     `json:"ref"`
	Addr   string       `json:"addr"`
	Domain string       `json:"domain"`
	Worker string       `json:"worker"`
	Load   message.Load `json:"load"`
	// Age is the age of Load.
	Age time.Duration `json:"age"`
	// Offset is the highest offset that the agent has reported.
	Offset    int64              `json:"offset"`
	Dead      bool               `json:"dead"`
	Upstreams []message.Upstream `json:"upstreams"`
	// Report is the last report that the entry has received from the agent, or
	// nil.
	Report *message.Report `json:"report,omitempty"`
	// ReportAge is the age of Report.
	ReportAge time.Duration `json:"report_age,omitempty"`
	// ReportOverdue is true when the agent has not answered the last request
	// for a report.
	ReportOverdue bool `json:"silent,omitempty"`
}

// Status returns a snapshot at the time of the last event.
func (c *Core) Status() Status {
	s := Status{
		Self: c.cfg.Self, Domain: c.cfg.Domain, Offset: c.state.Next(),
		Revision: c.state.Config().Revision(), Synced: c.state.Synced(), Calls: len(c.calls),
		Violations: make(map[invariant.Name]uint64),
	}
	for _, m := range c.state.Members() {
		if m.Role == control.RoleEntry {
			s.Entries = append(s.Entries, EntryStatus{Ref: m.Ref, Addr: m.Addr, Domain: m.Domain})
		}
	}
	for _, a := range c.orderedAgents {
		s.Agents = append(s.Agents, a.status(c.now.Mono))
	}
	for _, name := range invariant.Names {
		s.Violations[name] = c.invariants.Count(name)
	}
	return s
}

func (a *agent) status(now time.Duration) AgentStatus {
	s := AgentStatus{
		Ref: a.member.Ref, Addr: a.member.Addr, Domain: a.member.Domain, Worker: a.member.Worker,
		Load: a.load, Age: now - a.loadAt, Offset: a.offset, Dead: a.dead, Upstreams: a.upstreams,
		Report: a.report, ReportOverdue: a.reportOverdue(),
	}
	if a.report != nil {
		s.ReportAge = now - a.reportReceivedAt
	}
	return s
}
