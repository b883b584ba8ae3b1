package agent

import "github.com/dogwoodgauge/dogwoodgauge/core/message"

// reportedQuarantines bounds the number of quarantines that a report lists.
const reportedQuarantines = 16

// report describes the agent for operators.
func (c *Core) report() *message.Report {
	restrictions := c.faults.Restrictions(c.now.Mono)
	r := &message.Report{
		RemainingLease: c.lease.Until() - c.now.Mono,
		Revision:       c.state.Config().Revision(),
		Synced:         c.state.Synced(),
		Records:        c.home.Stats().Records,
		Quarantined:    len(restrictions),
	}
	for _, x := range restrictions[:min(len(restrictions), reportedQuarantines)] {
		r.Quarantines = append(r.Quarantines, message.Quarantine{Agent: x.Worker, UntilProbation: x.UntilProbation})
	}
	return r
}
