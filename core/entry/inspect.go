package entry

import (
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
)

const (
	// InspectTimeout is how long the reports of the agents are waited for.
	InspectTimeout = time.Second
	// inspectPause is the least time between the beginnings of two rounds of
	// questions. Within it a call is answered with the reports at hand.
	inspectPause = time.Second
)

// inspection is a round in which every agent is asked for a report.
type inspection struct {
	begun time.Duration
	// once is true after the first round.
	once bool
	// calls wait for the end of the round; it is over when there are none.
	calls []uint64
	// waiting holds the agents that have not answered.
	waiting map[node.Ref]bool
}

// inspect begins a round, joins the one that is under way, or answers with what
// the last one has brought.
func (c *Core) inspect(call uint64) {
	i := &c.inspection
	under := len(i.calls) > 0
	i.calls = append(i.calls, call)
	if under {
		return
	}
	if i.once && c.now.Mono-i.begun < inspectPause {
		c.endInspection()
		return
	}
	i.once = true
	i.begun = c.now.Mono
	i.waiting = make(map[node.Ref]bool, len(c.order))
	for _, a := range c.order {
		if a.dead {
			continue
		}
		a.inspectedAt = c.now.Mono
		i.waiting[a.member.Ref] = true
		c.send(a.member.Ref, message.Message{Status: &message.Status{
			Query: true, Round: c.gossip.round, UpstreamVersion: a.upstreamVersion, WantReport: true,
		}})
	}
}

// reported takes the report of an agent.
func (c *Core) reported(a *agent, r *message.Report) {
	a.report = r
	a.reportAt = c.now.Mono
	delete(c.inspection.waiting, a.member.Ref)
}

// checkInspection ends the round when all have answered or its time is over.
func (c *Core) checkInspection() {
	i := &c.inspection
	if len(i.calls) > 0 && (len(i.waiting) == 0 || c.now.Mono-i.begun >= InspectTimeout) {
		c.endInspection()
	}
}

func (c *Core) endInspection() {
	for _, call := range c.inspection.calls {
		c.actions = append(c.actions, Inspected{Call: call})
	}
	c.inspection.calls = nil
}

// silent reports whether the agent was asked for a report and has not answered
// since.
func (a *agent) silent() bool {
	return !a.dead && a.inspectedAt > 0 && (a.report == nil || a.reportAt < a.inspectedAt)
}
