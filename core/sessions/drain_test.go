package sessions

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
)

// TestPlannedStopCompletesTasks checks that a draining agent ends only after its
// longest task has completed, and that the caller gets the complete answer.
func TestPlannedStopCompletesTasks(t *testing.T) {
	long := steady
	long.service = 9 * time.Second
	c := newCluster(1, long, 3, 2)
	home := c.agents[0]
	j := c.newJob(c.mintFor(home), 1)
	j.Timeout = 30 * time.Second
	complete := false
	c.submit(c.e1, j, func(r entry.Reply) { complete = r.Answer.Complete() })
	c.run(50 * time.Millisecond)
	c.drain(home)
	c.run(8 * time.Second)
	if home.drained {
		t.Error("the agent ended while a task was running")
	}
	c.run(4 * time.Second)
	if !complete {
		t.Error("the job did not complete")
	}
	if !home.drained {
		t.Error("the agent did not end after its last task")
	}
}
