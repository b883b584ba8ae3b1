package sessions

import (
	"testing"
	"time"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
	"github.com/dogwoodgauge/dogwoodgauge/core/entry"
	"github.com/dogwoodgauge/dogwoodgauge/core/step"
)

const (
	// teamQuota is the quota of the test's team in starts a second.
	teamQuota = 40
	// measureTime is how long a measurement of the admitted jobs lasts.
	measureTime = 4 * time.Second
	// evictionTime is enough for an eviction or a join to be read by all.
	evictionTime = 5 * time.Second
	// maxEvictions is the number of agents that watch one entry. Each asks for
	// its eviction once in evictionPause at most.
	maxEvictions  = 3
	evictionPause = 2 * time.Second
)

// setQuota publishes the quota of the team that newJob names.
func (c *cluster) setQuota() {
	team := config.Team{Name: "records", Quota: teamQuota}
	c.publish(control.EncodeChange(control.Change{
		ID: "quota", From: -1, Author: "operator", Edits: []config.Edit{{Put: &config.Object{Team: &team}}},
	}))
}

// admitted offers jobs of one task to an entry, more than the quota, and
// returns how many were complete.
func (c *cluster) admitted(e *process) int {
	n := 0
	for range measureTime / (10 * time.Millisecond) {
		c.submit(e, c.newJob("", 1), func(r entry.Reply) {
			if r.Answer.Complete() {
				n++
			}
		})
		c.run(10 * time.Millisecond)
	}
	c.run(time.Second)
	return n
}

// checkAdmitted verifies that a number of jobs is that of a share of the quota,
// and at most a second of it more.
func checkAdmitted(t *testing.T, got, share int) {
	t.Helper()
	least := share * int(measureTime/time.Second)
	if got < least || got > least+share {
		t.Errorf("%d jobs in %v, want %d to %d", got, measureTime, least, least+share)
	}
}

// TestDeadEntryIsEvicted checks that the share of a dead entry goes to the
// other one, also when the log is down at its death.
func TestDeadEntryIsEvicted(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Minute} {
		c := newCluster(1, steady, 6, 8)
		c.setQuota()
		c.run(time.Second)
		checkAdmitted(t, c.admitted(c.e2), teamQuota/2)
		c.cond.logDown = true
		c.kill(c.e1)
		c.run(outage)
		c.cond.logDown = false
		before := len(c.log)
		c.run(evictionTime)
		checkAdmitted(t, c.admitted(c.e2), teamQuota)
		if n := len(c.log) - before; n < 1 || n > maxEvictions {
			t.Errorf("%d records were appended", n)
		}
		if most := maxEvictions * int(outage/evictionPause+1); c.evictions > most {
			t.Errorf("%d evictions were asked for in %v, want %d at most", c.evictions, outage, most)
		}
		c.addEntry("e1")
		c.run(evictionTime)
		checkAdmitted(t, c.admitted(c.e2), teamQuota/2)
	}
}

// TestLivingEntryJoinsAgain checks that an entry whose end was proven wrongly
// joins again, once, however often its end is proven.
func TestLivingEntryJoinsAgain(t *testing.T) {
	c := newCluster(1, steady, 6, 8)
	before := len(c.log)
	evicted := false
	for range 4 {
		for _, p := range c.agents {
			c.deliver(p, func() { c.step(p, step.PeerDead{Ref: c.e1.ref}) })
		}
		for range evictionTime / (10 * time.Millisecond) {
			c.run(10 * time.Millisecond)
			evicted = evicted || len(c.e2.entry.Status().Entries) == 1
		}
		if n := len(c.e2.entry.Status().Entries); n != 2 {
			t.Errorf("%d entries share the quotas, want 2", n)
		}
	}
	if !evicted {
		t.Error("the entry was not evicted")
	}
	if n := len(c.log) - before; n > maxEvictions+1 {
		t.Errorf("%d records were appended", n)
	}
}
