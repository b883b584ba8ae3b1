package sessions

import (
	"slices"
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
	"github.com/dogwoodgauge/dogwoodgauge/core/job"
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

// TestSilentHomeIsRefusedAtOnce checks that a job whose home is silent is refused
// while there is time, and runs once under the same ID and attempt afterwards;
// and that an entry that hears less than half of the agents gives no new IDs.
func TestSilentHomeIsRefusedAtOnce(t *testing.T) {
	c := newCluster(1, steady, 5, 2)
	j := c.newJob(c.mintFor(c.agents[0]), 1)
	var kinds []errkind.Kind
	submit := func(j job.Job) {
		c.submit(c.e1, j, func(r entry.Reply) { kinds = append(kinds, r.Answer.Kind) })
		c.run(500 * time.Millisecond)
	}
	c.pause(c.agents[0])
	c.run(2 * time.Second)
	submit(j)
	c.pause(c.agents[1])
	c.pause(c.agents[2])
	c.run(2 * time.Second)
	submit(c.newJob("", 1))
	if ids := c.mint(c.e1, 1); len(ids) > 0 {
		t.Errorf("%v was minted while most agents are silent", ids)
	}
	for _, p := range c.agents[:3] {
		c.resume(p)
	}
	c.run(time.Second)
	submit(j)
	submit(c.newJob("", 1))
	want := []errkind.Kind{errkind.Unavailable, errkind.NotRun, errkind.None, errkind.None}
	if !slices.Equal(kinds, want) {
		t.Errorf("answers %q, want %q", kinds, want)
	}
}

// TestHomeWithoutLeaseAsksToComeBack checks that a job that reaches its home
// before the home has evidence again that it still is one is not failed for good.
func TestHomeWithoutLeaseAsksToComeBack(t *testing.T) {
	c := newCluster(1, steady, 3, 2)
	j := c.newJob(ownedBy("a1", "a2", "a3"), 1)
	j.Timeout = 20 * time.Second
	var kinds []errkind.Kind
	submit := func() {
		c.submit(c.e1, j, func(r entry.Reply) { kinds = append(kinds, r.Answer.Kind) })
	}
	c.pause(c.agents[0])
	submit()
	c.run(5 * time.Second)
	c.resume(c.agents[0])
	c.run(time.Second)
	submit()
	c.run(time.Second)
	if want := []errkind.Kind{errkind.Unavailable, errkind.None}; !slices.Equal(kinds, want) {
		t.Errorf("answers %q, want %q", kinds, want)
	}
}
