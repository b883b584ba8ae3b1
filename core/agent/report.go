package agent

import "github.com/dogwoodgauge/dogwoodgauge/core/message"

// reportedQuarantines bounds the number of quarantines that a report lists.
const reportedQuarantines = 16

// report describes the agent for operators.
func (c *Core) report() *message.Report {
	marks := c.faults.Restrictions(c.now.Mono)
	r := &message.Report{
		RemainingLease: c.lease.Until() - c.now.Mono,
		Revision:       c.state.Config().Revision(),
		Synced:         c.state.Synced(),
		Records:        c.home.Stats().Records,
		Quarantined:    len(marks),
	}
	for _, m := range marks[:min(len(marks), reportedQuarantines)] {
		r.Quarantines = append(r.Quarantines, message.Quarantine{Agent: m.Worker, UntilProbation: m.UntilProbation})
	}
	return r
}
