package sessions

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// inspect requests the reports of all agents through the entry e. It returns a
// function that returns how many answers the request got so far.
func (c *cluster) inspect(e *process) func() int {
	c.calls++
	answers := 0
	call := c.calls
	c.waiting[call] = func(step.Action) { answers++ }
	c.step(e, entry.InspectCall{Call: call})
	return func() int { return answers }
}

// statusOf returns what the entry e knows of an agent.
func statusOf(e *process, id node.ID) entry.AgentStatus {
	for _, a := range e.entry.Status().Agents {
		if a.Ref.ID == id {
			return a
		}
	}
	return entry.AgentStatus{}
}

// TestInspection checks the reports of agents that work, that are paused, and whose
// tasks all fail. Calls within a short time must share one round of queries.
func TestInspection(t *testing.T) {
	c := newCluster(1, steady, 3, 2)
	queries := 0
	c.onSend = func(m message.Message) {
		if m.Status != nil && m.Status.WantReport {
			queries++
		}
	}
	first, second := c.inspect(c.e1), c.inspect(c.e1)
	c.run(10 * time.Millisecond)
	again := c.inspect(c.e1)
	if first() != 1 || second() != 1 || again() != 1 || queries != 3 {
		t.Errorf("got %d, %d and %d answers after %d queries, want 1 each after 3", first(), second(), again(), queries)
	}
	a := statusOf(c.e1, "a1")
	if a.ReportOverdue || a.Report == nil || a.Report.RemainingLease <= 0 || !a.Report.Synced || a.Offset != c.e1.entry.Offset() {
		t.Errorf("unexpected status of a1: %+v, report %+v", a, a.Report)
	}

	c.run(time.Second)
	c.agents[1].paused = true
	late := c.inspect(c.e1)
	c.run(entry.InspectTimeout - 10*time.Millisecond)
	if late() != 0 {
		t.Error("the call was answered before the timeout of the paused agent")
	}
	c.run(20 * time.Millisecond)
	if late() != 1 || !statusOf(c.e1, "a2").ReportOverdue || statusOf(c.e1, "a1").ReportOverdue {
		t.Errorf("got %d answers, a1 %+v and a2 %+v; want 1 answer and only a2 overdue", late(), statusOf(c.e1, "a1"), statusOf(c.e1, "a2"))
	}

	c.cond.taskFails = 1
	for range 12 {
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(200 * time.Millisecond)
	}
	c.inspect(c.e1)
	c.run(2 * entry.InspectTimeout)
	quarantines := statusOf(c.e1, "a1").Report.Quarantines
	if len(quarantines) == 0 || quarantines[0].Agent != "a1" {
		t.Errorf("a1 reports the quarantines %+v, want one of a1 first", quarantines)
	}
}
