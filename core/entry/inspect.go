package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// InspectTimeout is how long the entry waits for the reports of the agents.
	InspectTimeout = time.Second
	// inspectInterval is the least time between the starts of two rounds. A
	// call within this interval is answered with the reports of the last round.
	inspectInterval = time.Second
)

// inspection is a round in which the entry requests a report from every agent.
type inspection struct {
	startedAt time.Duration
	// everStarted is true once a round has been started.
	everStarted bool
	// calls wait for the completion of the round. No round is in progress while
	// there are none.
	calls []uint64
	// unanswered holds the agents that have not answered.
	unanswered map[node.Ref]bool
}

// inspect starts a round, joins the one in progress, or answers with the
// reports of the last round if that started less than inspectInterval ago.
func (c *Core) inspect(call uint64) {
	i := &c.inspection
	inProgress := len(i.calls) > 0
	i.calls = append(i.calls, call)
	if inProgress {
		return
	}
	if i.everStarted && c.now.Mono-i.startedAt < inspectInterval {
		c.completeInspection()
		return
	}
	i.everStarted = true
	i.startedAt = c.now.Mono
	i.unanswered = make(map[node.Ref]bool, len(c.orderedAgents))
	for _, a := range c.orderedAgents {
		if a.dead {
			continue
		}
		a.reportRequestedAt = c.now.Mono
		i.unanswered[a.member.Ref] = true
		c.send(a.member.Ref, message.Message{Status: &message.Status{
			Query: true, Round: c.gossip.round, UpstreamVersion: a.upstreamVersion, WantReport: true,
		}})
	}
}

// storeReport stores the report of an agent.
func (c *Core) storeReport(a *agent, r *message.Report) {
	a.report = r
	a.reportReceivedAt = c.now.Mono
	delete(c.inspection.unanswered, a.member.Ref)
}

// checkInspection completes the round when all agents have answered or
// InspectTimeout has passed.
func (c *Core) checkInspection() {
	i := &c.inspection
	if len(i.calls) > 0 && (len(i.unanswered) == 0 || c.now.Mono-i.startedAt >= InspectTimeout) {
		c.completeInspection()
	}
}

func (c *Core) completeInspection() {
	for _, call := range c.inspection.calls {
		c.actions = append(c.actions, Inspected{Call: call})
	}
	c.inspection.calls = nil
}

// reportOverdue reports whether the agent has not answered the last request for
// a report.
func (a *agent) reportOverdue() bool {
	return !a.dead && a.reportRequestedAt > 0 && (a.report == nil || a.reportReceivedAt < a.reportRequestedAt)
}
