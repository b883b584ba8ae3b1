package sessions

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/message"
	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

// inspect asks e for reports and returns a function that says how often it was
// answered.
func (c *cluster) inspect(e *process) func() int {
	c.calls++
	answers := 0
	call := c.calls
	c.waiting[call] = func(step.Action) { answers++ }
	c.step(e, entry.InspectCall{Call: call})
	return func() int { return answers }
}

func statusOf(e *process, id node.ID) entry.AgentStatus {
	for _, a := range e.entry.Status().Agents {
		if a.Ref.ID == id {
			return a
		}
	}
	return entry.AgentStatus{}
}

// TestInspection checks the reports of agents that work, that are paused and
// that fail every task, and that calls share one round of questions.
func TestInspection(t *testing.T) {
	c := newCluster(1, steady, 3, 2)
	asked := 0
	c.sent = func(m message.Message) {
		if m.Status != nil && m.Status.WantReport {
			asked++
		}
	}
	first, second := c.inspect(c.e1), c.inspect(c.e1)
	c.run(10 * time.Millisecond)
	again := c.inspect(c.e1)
	if first() != 1 || second() != 1 || again() != 1 || asked != 3 {
		t.Errorf("answers %d, %d, %d with %d questions, want 1 each with 3", first(), second(), again(), asked)
	}
	a := statusOf(c.e1, "a1")
	if a.ReportOverdue || a.Report == nil || a.Report.LeaseLeft <= 0 || !a.Report.Synced || a.Offset != c.e1.entry.Offset() {
		t.Errorf("a1: %+v, report %+v", a, a.Report)
	}

	c.run(time.Second)
	c.agents[1].paused = true
	late := c.inspect(c.e1)
	c.run(entry.InspectTimeout - 10*time.Millisecond)
	if late() != 0 {
		t.Error("answered before the paused agent's time was over")
	}
	c.run(20 * time.Millisecond)
	if late() != 1 || !statusOf(c.e1, "a2").ReportOverdue || statusOf(c.e1, "a1").ReportOverdue {
		t.Errorf("%d answers; a1 %+v, a2 %+v", late(), statusOf(c.e1, "a1"), statusOf(c.e1, "a2"))
	}

	c.cond.taskFails = 1
	for range 12 {
		c.submit(c.e1, c.newJob(c.mintFor(c.agents[0]), 1), nil)
		c.run(200 * time.Millisecond)
	}
	c.inspect(c.e1)
	c.run(2 * entry.InspectTimeout)
	marks := statusOf(c.e1, "a1").Report.Quarantines
	if len(marks) == 0 || marks[0].Agent != "a1" {
		t.Errorf("quarantines reported by a1: %+v", marks)
	}
}
