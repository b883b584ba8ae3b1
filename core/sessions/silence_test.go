package sessions

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
)

// TestSilentAgentGetsNoNewWork stops one agent of five without notice. Once it is
// suspect it is nobody's new home and no home sends it a task, so that every job
// is complete while it is still stopped. It is taken back when it is heard.
func TestSilentAgentGetsNoNewWork(t *testing.T) {
	c := newCluster(1, steady, 5, 2)
	silent := c.agents[0]
	c.pause(silent)
	c.run(2 * time.Second)
	for range 2 {
		for _, id := range c.mint(c.e1, 2*len(c.agents)) {
			if c.homeOf(id) == silent {
				t.Fatalf("%s names the silent agent", id)
			}
		}
		complete := false
		c.submit(c.e2, c.newJob(c.mintFor(c.agents[1]), 12), func(r entry.Reply) { complete = r.Answer.Complete() })
		c.run(time.Second)
		if !complete {
			t.Error("a job that was submitted during the silence is not complete")
		}
	}
	c.resume(silent)
	c.run(time.Second)
	c.mintFor(silent)
}
